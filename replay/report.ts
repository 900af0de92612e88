/**
 * The report of a replay: latencies, fates, measuring cost and a verdict for each invariant and outcome.
 */
import { build } from 'hdr-histogram-js'
import type { MeasuringCost, Verdict } from './judge.ts'
import type { Outcomes } from './outcomes.ts'
import type { Policy } from './policies.ts'
import type { PlayedRequest, PlayedTrace } from './run-trace.ts'

const US_PER_MS = 1000
const SIGNIFICANT_DIGITS = 3
const PERCENTILES = [50, 90, 99, 99.9] as const
const NAME_WIDTH = 18
const NUMBER_WIDTH = 9

/** Latencies in ms. */
export interface LatencySummary { count: number, p50: number, p90: number, p99: number, p999: number, max: number }

/** What one policy came to. */
export interface PolicyReport {
  policy: Policy
  /** Over requests that may be repeated, downloads left out. */
  latency: LatencySummary
  /** Over requests that may not be repeated. */
  onceLatency: LatencySummary
  /** Requests by what the caller was told in the end: `ran`, `not-run`, `unknown` or `broken`. */
  fates: Record<string, number>
  answeredShare: number
  costs: MeasuringCost[]
  /** Whether the invariants held; a baseline is not judged. */
  verdicts: Verdict[]
}

/** A stated outcome with what was reached. */
export interface OutcomeResult { outcome: string, reached: string, holds: boolean }

function createHistogram (played: readonly PlayedRequest[]) {
  const histogram = build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  for (const { latencyMs } of played) histogram.recordValue(Math.max(1, Math.round(latencyMs * US_PER_MS)))
  return histogram
}

/** Computes percentiles of the latency, in ms. */
export function computeLatency (played: readonly PlayedRequest[]): LatencySummary {
  const histogram = createHistogram(played)
  const [p50, p90, p99, p999] = PERCENTILES.map((percentile) => histogram.getValueAtPercentile(percentile) / US_PER_MS) as [number, number, number, number]
  return { count: played.length, p50, p90, p99, p999, max: histogram.maxValue / US_PER_MS }
}

/** Keeps the requests whose latency is compared with a baseline. */
export function filterCompared (played: readonly PlayedRequest[], service?: string): PlayedRequest[] {
  return played.filter(({ expected, line, answer }) => {
    return expected.operation.repeatable && !expected.download && answer.status === 200 && (service === undefined || line.service === service)
  })
}

function getFate ({ answer }: PlayedRequest): string {
  return answer.status === undefined ? 'broken' : answer.fate ?? String(answer.status)
}

/** Whether a target answered the request in full. */
function isAnswered ({ answer }: PlayedRequest): boolean {
  return answer.status === 200
}

/** Puts together what one policy came to. */
export function buildPolicyReport (policy: Policy, trace: PlayedTrace, costs: MeasuringCost[], verdicts: Verdict[]): PolicyReport {
  const fates: Record<string, number> = {}
  for (const played of trace.requests) fates[getFate(played)] = (fates[getFate(played)] ?? 0) + 1
  return {
    policy,
    latency: computeLatency(filterCompared(trace.requests)),
    onceLatency: computeLatency(trace.requests.filter((played) => !played.expected.operation.repeatable && isAnswered(played))),
    fates,
    answeredShare: trace.requests.filter(isAnswered).length / trace.requests.length,
    costs,
    verdicts
  }
}

/** Compares what the entries reached with the outcomes file. */
export function compareOutcomes (outcomes: Outcomes, played: ReadonlyMap<Policy, PlayedTrace>): OutcomeResult[] {
  const own = played.get('entry')
  if (!own) return []
  const share = own.requests.filter(isAnswered).length / own.requests.length
  const answered = { outcome: `answered share at least ${outcomes.answeredShare}`, reached: share.toFixed(4), holds: share >= outcomes.answeredShare }
  const tails = outcomes.tail.flatMap(({ baseline, percentile, atMost, service }) => {
    const other = played.get(baseline)
    if (!other) return []
    const [ownMs, otherMs] = [own, other].map((trace) => createHistogram(filterCompared(trace.requests, service)).getValueAtPercentile(percentile)) as [number, number]
    const ratio = ownMs / otherMs
    return [{ outcome: `${percentile}th percentile${service ? ` of ${service}` : ''} at most ${atMost} of ${baseline}`, reached: ratio.toFixed(2), holds: ratio <= atMost }]
  })
  return [answered, ...tails]
}

function formatNumber (value: number): string {
  return value.toFixed(1).padStart(NUMBER_WIDTH)
}

function formatLatency (name: string, { count, p50, p90, p99, p999, max }: LatencySummary): string {
  return `  ${name.padEnd(NAME_WIDTH)}${String(count).padStart(NUMBER_WIDTH)}${[p50, p90, p99, p999, max].map(formatNumber).join('')}`
}

function formatCost ({ service, probes, costMs, budgetMs, shareOfServerTime }: MeasuringCost): string {
  return `  ${service.padEnd(NAME_WIDTH)}${probes} probes, ${costMs.toFixed(0)} ms of ${budgetMs.toFixed(0)} ms allowed, ${(shareOfServerTime * 100).toFixed(4)}% of server time`
}

function formatVerdict ({ invariant, holds, checked, faults }: Verdict): string[] {
  return [`  ${holds ? 'holds ' : 'BROKEN'}  ${invariant} (${checked} checked)`, ...faults.map((fault) => `            ${fault}`)]
}

/** Renders the report as text. */
export function renderReport (title: string, reports: readonly PolicyReport[], results: readonly OutcomeResult[]): string {
  const own = reports.find(({ policy }) => policy === 'entry')
  const header = `  ${''.padEnd(NAME_WIDTH)}${['requests', 'p50', 'p90', 'p99', 'p99.9', 'max'].map((name) => name.padStart(NUMBER_WIDTH)).join('')}`
  const lines = [title, '', 'Latency in ms, requests that may be repeated:', header, ...reports.map(({ policy, latency }) => formatLatency(policy === 'entry' ? 'medlarcove' : `direct ${policy}`, latency))]
  if (own) {
    lines.push('', 'Latency in ms, requests that may not be repeated:', header, formatLatency('medlarcove', own.onceLatency))
    lines.push('', `Fates: ${Object.entries(own.fates).map(([fate, count]) => `${fate} ${count}`).join(', ')}`)
    lines.push('', 'Measuring:', ...own.costs.map(formatCost))
    lines.push('', 'Invariants:', ...own.verdicts.flatMap(formatVerdict))
  }
  if (results.length > 0) lines.push('', 'Outcomes:', ...results.map(({ outcome, reached, holds }) => `  ${holds ? 'met   ' : 'MISSED'}  ${outcome}: ${reached}`))
  return lines.join('\n')
}
