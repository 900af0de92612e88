/**
 * The report of a replay: latencies, execution statuses, measuring cost, and check results of invariants and outcomes.
 */
import { build } from 'hdr-histogram-js'
import type { MeasuringCost, CheckResult } from './check-invariants.ts'
import type { Outcomes } from './outcomes.ts'
import type { Policy } from './policies.ts'
import type { PlayedRequest, PlayedTrace } from './run-trace.ts'

const US_PER_MS = 1000
const SIGNIFICANT_DIGITS = 3
const PERCENTILES = [50, 90, 99, 99.9] as const
const NAME_WIDTH = 18
const NUMBER_WIDTH = 9

/** Latency percentiles in ms. Written to the report. */
export interface LatencySummary { count: number, p50: number, p90: number, p99: number, p999: number, max: number }

/** Results of one policy. Written to the report. */
export interface PolicyReport {
  policy: Policy
  /** Of successful idempotent requests, without downloads. */
  latency: LatencySummary
  /** Of successful non-idempotent requests. */
  onceLatency: LatencySummary
  /**
   * Number of requests by the execution status of their last response: `ran`, `not-run` or `unknown`. The status code
   * takes its place when the response states none, and `broken` when there is no complete response.
   */
  fates: Record<string, number>
  /** Share of requests with status 200, from 0 to 1. */
  answeredShare: number
  costs: MeasuringCost[]
  /** Check results of the invariants; empty for a baseline. */
  verdicts: CheckResult[]
}

/** An expected outcome with the value that was reached. Written to the report. */
export interface OutcomeResult { outcome: string, reached: string, holds: boolean }

function createLatencyHistogram (played: readonly PlayedRequest[]) {
  const histogram = build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  for (const { latencyMs } of played) histogram.recordValue(Math.max(1, Math.round(latencyMs * US_PER_MS)))
  return histogram
}

/** Computes latency percentiles, in ms. */
export function computeLatency (played: readonly PlayedRequest[]): LatencySummary {
  const histogram = createLatencyHistogram(played)
  const [p50, p90, p99, p999] = PERCENTILES.map((percentile) => histogram.getValueAtPercentile(percentile) / US_PER_MS) as [number, number, number, number]
  return { count: played.length, p50, p90, p99, p999, max: histogram.maxValue / US_PER_MS }
}

/** Filters the requests whose latency is compared with that of a baseline: successful, idempotent and no downloads. */
export function filterCompared (played: readonly PlayedRequest[], service?: string): PlayedRequest[] {
  return played.filter(({ expected, line, response }) => {
    return expected.operation.repeatable && !expected.download && response.status === 200 && (service === undefined || line.service === service)
  })
}

function getFinalStatus ({ response }: PlayedRequest): string {
  return response.status === undefined ? 'broken' : response.executionStatus ?? String(response.status)
}

/** Whether the request got a complete response with status 200. */
function isServed ({ response }: PlayedRequest): boolean {
  return response.status === 200
}

/** Builds the report of one policy. */
export function buildPolicyReport (policy: Policy, trace: PlayedTrace, costs: MeasuringCost[], verdicts: CheckResult[]): PolicyReport {
  const fates: Record<string, number> = {}
  for (const played of trace.requests) fates[getFinalStatus(played)] = (fates[getFinalStatus(played)] ?? 0) + 1
  return {
    policy,
    latency: computeLatency(filterCompared(trace.requests)),
    onceLatency: computeLatency(trace.requests.filter((played) => !played.expected.operation.repeatable && isServed(played))),
    fates,
    answeredShare: trace.requests.filter(isServed).length / trace.requests.length,
    costs,
    verdicts
  }
}

/**
 * Compares the results of the entries with the outcomes file; returns nothing when the entries did not play the trace.
 */
export function compareOutcomes (outcomes: Outcomes, played: ReadonlyMap<Policy, PlayedTrace>): OutcomeResult[] {
  const entryTrace = played.get('entry')
  if (!entryTrace) return []
  const share = entryTrace.requests.filter(isServed).length / entryTrace.requests.length
  const servedShare = { outcome: `share of requests with status 200 at least ${outcomes.answeredShare}`, reached: share.toFixed(4), holds: share >= outcomes.answeredShare }
  const tailRatios = outcomes.tail.flatMap(({ baseline, percentile, atMost, service }) => {
    const baselineTrace = played.get(baseline)
    if (!baselineTrace) return []
    const [entryLatency, baselineLatency] = [entryTrace, baselineTrace].map((trace) => createLatencyHistogram(filterCompared(trace.requests, service)).getValueAtPercentile(percentile)) as [number, number]
    const ratio = entryLatency / baselineLatency
    return [{ outcome: `${percentile}th latency percentile${service ? ` of ${service}` : ''} at most ${atMost} times that of ${baseline}`, reached: ratio.toFixed(2), holds: ratio <= atMost }]
  })
  return [servedShare, ...tailRatios]
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

function formatCheckResult ({ invariant, holds, checked, faults }: CheckResult): string[] {
  return [`  ${holds ? 'holds ' : 'BROKEN'}  ${invariant} (${checked} checked)`, ...faults.map((fault) => `            ${fault}`)]
}

/** Renders the report as text. */
export function renderReport (title: string, reports: readonly PolicyReport[], results: readonly OutcomeResult[]): string {
  const entryReport = reports.find(({ policy }) => policy === 'entry')
  const header = `  ${''.padEnd(NAME_WIDTH)}${['requests', 'p50', 'p90', 'p99', 'p99.9', 'max'].map((name) => name.padStart(NUMBER_WIDTH)).join('')}`
  const lines = [title, '', 'Latency in ms, idempotent requests:', header, ...reports.map(({ policy, latency }) => formatLatency(policy === 'entry' ? 'medlarcove' : `direct ${policy}`, latency))]
  if (entryReport) {
    lines.push('', 'Latency in ms, non-idempotent requests:', header, formatLatency('medlarcove', entryReport.onceLatency))
    lines.push('', `Execution status: ${Object.entries(entryReport.fates).map(([status, count]) => `${status} ${count}`).join(', ')}`)
    lines.push('', 'Measuring cost:', ...entryReport.costs.map(formatCost))
    lines.push('', 'Invariants:', ...entryReport.verdicts.flatMap(formatCheckResult))
  }
  if (results.length > 0) lines.push('', 'Outcomes:', ...results.map(({ outcome, reached, holds }) => `  ${holds ? 'met   ' : 'MISSED'}  ${outcome}: ${reached}`))
  return lines.join('\n')
}
