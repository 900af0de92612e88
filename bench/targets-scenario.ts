/**
 * One run of the bench of target choices: callers, entries, servers and faults for a while, and what callers saw.
 */
import { toBrand } from '../src/types.ts'
import type { EntryId, TargetId } from '../src/types.ts'
import type { ServiceContract } from '../src/version/contract.ts'
import { createBalancer } from './targets-balancers.ts'
import type { BenchBalancer, BenchPlace, BenchPolicy } from './targets-balancers.ts'
import { buildService } from '../test/support/target-service.ts'
import { createEventClock } from './targets-clock.ts'
import type { EventClock } from './targets-clock.ts'
import { createBenchServer, startSlowDowns } from './targets-model.ts'
import type { BenchServer, Placed, SlowDowns } from './targets-model.ts'
import { createRandom } from '../replay/random.ts'
import { computeExponential } from './targets-random.ts'

/** What is run. */
export interface Scenario {
  policy: BenchPolicy
  seed: number
  /** Servers of 4 slots. */
  servers: number
  zones: number
  /** Offered work as a share of all slots. */
  load: number
  entries: number
  /** Share of the callers at the first entry; the others share the rest evenly. */
  firstEntryShare: number
  /** Mean work of a request, in ms. */
  workMs: number
  /** Whether another attempt takes the same work, or draws its own. */
  isWorkOfRequest: boolean
  /** When a request without an answer is hedged, in ms; undefined for never. */
  hedgeAfterMs: number | undefined
  slow: SlowDowns | undefined
  /** Servers that fail fast from the start of measuring on. */
  failing: number
  warmUpMs: number
  durationMs: number
  /** Whether the product probes. Default false: the choice takes nothing from probes. */
  isProbing?: boolean
  service?: Partial<ServiceContract>
}

/** What callers saw. */
export interface ScenarioResult {
  requests: number
  p50: number
  p99: number
  p999: number
  /** Extra requests by hedging and retries, as a share of all requests. */
  hedgeShare: number
  retryShare: number
  /** Requests that ended in an error, as a share. */
  failedShare: number
  refusedShare: number
  /** Share of attempts that went to a failing server. */
  failingShare: number
  /** Cost of probes as a share of all server time, from the start on. */
  probeShare: number
}

interface Run {
  scenario: Scenario
  clock: EventClock
  /** Draws arrivals and work. */
  random: () => number
  /** Draws the work of further attempts, so that arrivals are the same for every policy. */
  attemptRandom: () => number
  latencies: number[]
  counts: { hedges: number, retries: number, failed: number, refused: number, attempts: number, toFailing: number }
}

interface Request { run: Run, balancer: BenchBalancer, startMs: number, workMs: number, isOver: boolean, tried: Set<TargetId>, open: Map<BenchPlace, Placed>, isCounted: boolean }

const MS_PER_SECOND = 1000
const SLOTS = 4
const REFUSED_AFTER_MS = 5_000
const BENCH_LIMITS: Partial<ServiceContract> = {
  hedging: { afterMs: 90, budgetShare: 0.025 },
  retries: { budgetShare: 0.005, largestAttempts: 3 },
  queue: { longest: 100, longestWaitMs: 1_000 }
}

/** Ends a request: the first answer counts, all other attempts are cancelled. */
function settleRequest (request: Request, isGood: boolean): void {
  request.isOver = true
  for (const [place, placed] of request.open) {
    placed.cancel()
    place.release({ kind: 'cancelled' })
  }
  request.open.clear()
  if (!request.isCounted) return
  const { run } = request
  if (isGood) run.latencies.push(run.clock.monotonicMs() - request.startMs)
  else run.counts.failed += 1
}

async function sendAttempt (request: Request, canWait: boolean): Promise<boolean> {
  const { run } = request
  const place = await request.balancer.take(request.tried, canWait)
  if (!place) return false
  if (request.isOver) {
    place.release({ kind: 'cancelled' })
    return false
  }
  request.tried.add(toBrand<TargetId>(place.server.id))
  if (request.isCounted) {
    run.counts.attempts += 1
    if (place.server.isFailing) run.counts.toFailing += 1
  }
  const isFirst = request.tried.size === 1 || run.scenario.isWorkOfRequest
  const workMs = isFirst ? request.workMs : computeExponential(run.attemptRandom, run.scenario.workMs)
  const sentMs = run.clock.monotonicMs()
  request.open.set(place, place.server.send(workMs, (isGood) => {
    if (!request.open.delete(place)) return
    place.release({ kind: 'answered', status: isGood ? 200 : 500, firstByteMs: run.clock.monotonicMs() - sentMs })
    if (isGood) settleRequest(request, true)
    else sendRetry(request).catch(() => {})
  }))
  return true
}

async function sendRetry (request: Request): Promise<void> {
  if (request.open.size > 0) return
  if (request.balancer.takeRetry() && await sendAttempt(request, true)) {
    if (request.isCounted) request.run.counts.retries += 1
    return
  }
  settleRequest(request, false)
}

async function runRequest (run: Run, balancer: BenchBalancer): Promise<void> {
  const { scenario, clock, random } = run
  const request: Request = {
    run, balancer, startMs: clock.monotonicMs(), workMs: computeExponential(random, scenario.workMs), isOver: false, tried: new Set(), open: new Map(), isCounted: clock.monotonicMs() >= scenario.warmUpMs
  }
  balancer.addRequest()
  if (scenario.hedgeAfterMs !== undefined) {
    clock.startTimer(scenario.hedgeAfterMs, () => startHedge(request))
  }
  if (await sendAttempt(request, true)) return
  request.isOver = true
  if (request.isCounted) run.counts.refused += 1
}

function startHedge (request: Request): void {
  const [place] = request.open.keys()
  if (request.isOver || !place || request.open.size > 1) return
  if (!request.balancer.takeHedge(toBrand<TargetId>(place.server.id))) return
  sendAttempt(request, false).then((isSent) => {
    if (isSent && request.isCounted) request.run.counts.hedges += 1
  }, () => {})
}

function startCallers (run: Run, balancer: BenchBalancer, requestsPerMs: number): void {
  const startNext = () => run.clock.startTimer(computeExponential(run.random, 1 / requestsPerMs), () => {
    startNext()
    runRequest(run, balancer).catch(() => {})
  })
  startNext()
}

function getPercentile (sorted: Float64Array, share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

function buildResult (run: Run, balancers: readonly BenchBalancer[]): ScenarioResult {
  const { servers, warmUpMs, durationMs } = run.scenario
  const probeMs = balancers.reduce((sum, balancer) => sum + (balancer.set?.report().probeCostMs ?? 0), 0)
  const { counts } = run
  const sorted = Float64Array.from(run.latencies).sort()
  const requests = sorted.length + counts.failed + counts.refused
  return {
    requests,
    p50: getPercentile(sorted, 0.5),
    p99: getPercentile(sorted, 0.99),
    p999: getPercentile(sorted, 0.999),
    hedgeShare: counts.hedges / requests,
    retryShare: counts.retries / requests,
    failedShare: counts.failed / requests,
    refusedShare: counts.refused / requests,
    failingShare: counts.toFailing / counts.attempts,
    probeShare: probeMs / ((warmUpMs + durationMs) * servers * SLOTS)
  }
}

/** Runs a scenario to its end. */
export async function runScenario (scenario: Scenario): Promise<ScenarioResult> {
  const clock = createEventClock()
  const random = createRandom(scenario.seed)
  const service = buildService(scenario.servers, { ...BENCH_LIMITS, ...scenario.service })
  const servers: BenchServer[] = service.targets.map((target, index) => createBenchServer(clock, target.id, index % scenario.zones))
  const entries = Array.from({ length: scenario.entries }, (_, index) => toBrand<EntryId>(`entry-${index}`))
  const run: Run = { scenario, clock, random, attemptRandom: createRandom(scenario.seed + 2), latencies: [], counts: { hedges: 0, retries: 0, failed: 0, refused: 0, attempts: 0, toFailing: 0 } }
  // Faults draw from their own numbers, so that every policy meets the same ones.
  if (scenario.slow) startSlowDowns(clock, servers, scenario.slow, createRandom(scenario.seed + 1))
  clock.startTimer(scenario.warmUpMs, () => {
    for (const server of servers.slice(0, scenario.failing)) server.isFailing = true
  })
  const requestsPerMs = scenario.load * scenario.servers * SLOTS / scenario.workMs
  const balancers = entries.map((self, index) => {
    const balancer = createBalancer(scenario.policy, { clock, servers, service, entries, self, random: createRandom(scenario.seed + 100 + index), deadlineMs: REFUSED_AFTER_MS, isProbing: scenario.isProbing ?? false })
    const share = index === 0 ? scenario.firstEntryShare : (1 - scenario.firstEntryShare) / (scenario.entries - 1)
    startCallers(run, balancer, requestsPerMs * share)
    return balancer
  })
  await clock.runUntil(scenario.warmUpMs + scenario.durationMs)
  for (const balancer of balancers) balancer.set?.close()
  return buildResult(run, balancers)
}

/** The scenario of the brief's slot booking: others are made by changing it. */
export const BASE_SCENARIO: Scenario = {
  policy: 'product',
  seed: 1,
  servers: 30,
  zones: 4,
  load: 0.5,
  entries: 6,
  firstEntryShare: 1 / 6,
  workMs: 20,
  isWorkOfRequest: false,
  hedgeAfterMs: 90,
  slow: { factor: 6, durationMs: 150, everyMs: 3 * MS_PER_SECOND, byZone: false },
  failing: 0,
  warmUpMs: 2 * MS_PER_SECOND,
  durationMs: 30 * MS_PER_SECOND
}
