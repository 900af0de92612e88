/**
 * One run of the target selection bench: simulated callers, entries, servers and faults, and the results that callers saw.
 */
import { toBrand } from '../src/types.ts'
import type { EntryId, TargetId } from '../src/types.ts'
import type { ServiceContract } from '../src/version/contract.ts'
import { createBalancer } from './targets-balancers.ts'
import type { BenchBalancer, BenchSlot, BenchPolicy } from './targets-balancers.ts'
import { buildService } from '../test/support/target-service.ts'
import { createEventClock } from './targets-clock.ts'
import type { EventClock } from './targets-clock.ts'
import { createBenchServer, startSlowdowns } from './targets-model.ts'
import type { BenchServer, SentRequest, Slowdowns } from './targets-model.ts'
import { createRandom } from '../replay/random.ts'
import { computeExponential } from './targets-random.ts'

/** Parameters of a run. */
export interface Scenario {
  policy: BenchPolicy
  seed: number
  /** Number of servers, with 4 slots each. */
  serverCount: number
  zoneCount: number
  /** Offered work as a share of the capacity of all slots. */
  load: number
  entryCount: number
  /** Share of the requests that arrive at the first entry; the others get equal shares of the rest. */
  firstEntryShare: number
  /** Mean work of a request, in ms. */
  workMs: number
  /** Whether hedges and retries take the same work as the first attempt, instead of a new random amount. */
  isWorkFixedPerRequest: boolean
  /** Time without a response after which a request is hedged, in ms; undefined for never. */
  hedgeAfterMs: number | undefined
  /** Slowdowns of servers; undefined for none. */
  slowdowns: Slowdowns | undefined
  /** Number of servers that respond with errors at once after the warm-up. */
  failingServerCount: number
  warmUpMs: number
  durationMs: number
  /** Whether the product sends health probes. Default false, since the selection does not depend on them. */
  isProbing?: boolean
  /** Changes to the contract of the service. */
  service?: Partial<ServiceContract>
}

/** Results of a run after the warm-up, except where noted. Percentiles are latencies in ms. */
export interface ScenarioResult {
  requestCount: number
  p50Ms: number
  p99Ms: number
  p999Ms: number
  /** Hedged requests as a share of all requests. */
  hedgeShare: number
  /** Retries as a share of all requests. */
  retryShare: number
  /** Requests that ended in an error, as a share of all requests. */
  failedShare: number
  /** Requests that got no slot, as a share of all requests. */
  rejectedShare: number
  /** Attempts sent to a failing server, as a share of all attempts. */
  failingShare: number
  /** Cost of the probes as a share of the time of all slots, warm-up included. */
  probeShare: number
}

interface Run {
  scenario: Scenario
  clock: EventClock
  /** Random numbers for arrivals and the work of first attempts. */
  random: () => number
  /** Random numbers for the work of further attempts; separate, so that arrivals are the same for every policy. */
  attemptRandom: () => number
  latenciesMs: number[]
  counts: { hedges: number, retries: number, failed: number, rejected: number, attempts: number, failingAttempts: number }
}

/** A request of a caller; `isMeasured` is false during the warm-up. */
interface BenchRequest { run: Run, balancer: BenchBalancer, startMs: number, workMs: number, isSettled: boolean, tried: Set<TargetId>, inFlight: Map<BenchSlot, SentRequest>, isMeasured: boolean }

const MS_PER_SECOND = 1000
const SLOTS = 4
const SLOT_TIMEOUT_MS = 5_000
const BENCH_SERVICE: Partial<ServiceContract> = {
  hedging: { afterMs: 90, budgetShare: 0.025 },
  retries: { budgetShare: 0.005, largestAttempts: 3 },
  queue: { longest: 100, longestWaitMs: 1_000 }
}

/** Ends a request with the first successful response, or with an error, and cancels its other attempts. */
function settleRequest (request: BenchRequest, isSuccess: boolean): void {
  request.isSettled = true
  for (const [slot, sent] of request.inFlight) {
    sent.cancel()
    slot.release({ kind: 'cancelled' })
  }
  request.inFlight.clear()
  if (!request.isMeasured) return
  const { run } = request
  if (isSuccess) run.latenciesMs.push(run.clock.monotonicMs() - request.startMs)
  else run.counts.failed += 1
}

async function sendAttempt (request: BenchRequest, canWait: boolean): Promise<boolean> {
  const { run } = request
  const slot = await request.balancer.acquireSlot(request.tried, canWait)
  if (!slot) return false
  if (request.isSettled) {
    slot.release({ kind: 'cancelled' })
    return false
  }
  request.tried.add(toBrand<TargetId>(slot.server.id))
  if (request.isMeasured) {
    run.counts.attempts += 1
    if (slot.server.isFailing) run.counts.failingAttempts += 1
  }
  const isFirst = request.tried.size === 1 || run.scenario.isWorkFixedPerRequest
  const workMs = isFirst ? request.workMs : computeExponential(run.attemptRandom, run.scenario.workMs)
  const sentMs = run.clock.monotonicMs()
  request.inFlight.set(slot, slot.server.send(workMs, (isSuccess) => {
    if (!request.inFlight.delete(slot)) return
    slot.release({ kind: 'answered', status: isSuccess ? 200 : 500, firstByteMs: run.clock.monotonicMs() - sentMs })
    if (isSuccess) settleRequest(request, true)
    else sendRetry(request).catch(() => {})
  }))
  return true
}

async function sendRetry (request: BenchRequest): Promise<void> {
  if (request.inFlight.size > 0) return
  if (request.balancer.takeRetry() && await sendAttempt(request, true)) {
    if (request.isMeasured) request.run.counts.retries += 1
    return
  }
  settleRequest(request, false)
}

async function runRequest (run: Run, balancer: BenchBalancer): Promise<void> {
  const { scenario, clock, random } = run
  const request: BenchRequest = {
    run, balancer, startMs: clock.monotonicMs(), workMs: computeExponential(random, scenario.workMs), isSettled: false, tried: new Set(), inFlight: new Map(), isMeasured: clock.monotonicMs() >= scenario.warmUpMs
  }
  balancer.addRequest()
  if (scenario.hedgeAfterMs !== undefined) {
    clock.startTimer(scenario.hedgeAfterMs, () => startHedge(request))
  }
  if (await sendAttempt(request, true)) return
  request.isSettled = true
  if (request.isMeasured) run.counts.rejected += 1
}

function startHedge (request: BenchRequest): void {
  const [slot] = request.inFlight.keys()
  if (request.isSettled || !slot || request.inFlight.size > 1) return
  if (!request.balancer.takeHedge(toBrand<TargetId>(slot.server.id))) return
  sendAttempt(request, false).then((isSent) => {
    if (isSent && request.isMeasured) request.run.counts.hedges += 1
  }, () => {})
}

function startCallers (run: Run, balancer: BenchBalancer, requestsPerMs: number): void {
  const scheduleNext = () => run.clock.startTimer(computeExponential(run.random, 1 / requestsPerMs), () => {
    scheduleNext()
    runRequest(run, balancer).catch(() => {})
  })
  scheduleNext()
}

function getPercentile (sortedMs: Float64Array, share: number): number {
  return sortedMs[Math.min(sortedMs.length - 1, Math.floor(sortedMs.length * share))] ?? 0
}

function buildResult (run: Run, balancers: readonly BenchBalancer[]): ScenarioResult {
  const { serverCount: servers, warmUpMs, durationMs } = run.scenario
  const probeMs = balancers.reduce((sum, balancer) => sum + (balancer.set?.report().probeCostMs ?? 0), 0)
  const { counts } = run
  const sortedMs = Float64Array.from(run.latenciesMs).sort()
  const requests = sortedMs.length + counts.failed + counts.rejected
  return {
    requestCount: requests,
    p50Ms: getPercentile(sortedMs, 0.5),
    p99Ms: getPercentile(sortedMs, 0.99),
    p999Ms: getPercentile(sortedMs, 0.999),
    hedgeShare: counts.hedges / requests,
    retryShare: counts.retries / requests,
    failedShare: counts.failed / requests,
    rejectedShare: counts.rejected / requests,
    failingShare: counts.failingAttempts / counts.attempts,
    probeShare: probeMs / ((warmUpMs + durationMs) * servers * SLOTS)
  }
}

/** Runs a scenario in simulated time and returns its results. */
export async function runScenario (scenario: Scenario): Promise<ScenarioResult> {
  const clock = createEventClock()
  const random = createRandom(scenario.seed)
  const service = buildService(scenario.serverCount, { ...BENCH_SERVICE, ...scenario.service })
  const servers: BenchServer[] = service.targets.map((target, index) => createBenchServer(clock, target.id, index % scenario.zoneCount))
  const entries = Array.from({ length: scenario.entryCount }, (_, index) => toBrand<EntryId>(`entry-${index}`))
  const run: Run = { scenario, clock, random, attemptRandom: createRandom(scenario.seed + 2), latenciesMs: [], counts: { hedges: 0, retries: 0, failed: 0, rejected: 0, attempts: 0, failingAttempts: 0 } }
  // Faults have their own random numbers, so that they are the same for every policy.
  if (scenario.slowdowns) startSlowdowns(clock, servers, scenario.slowdowns, createRandom(scenario.seed + 1))
  clock.startTimer(scenario.warmUpMs, () => {
    for (const server of servers.slice(0, scenario.failingServerCount)) server.isFailing = true
  })
  const requestsPerMs = scenario.load * scenario.serverCount * SLOTS / scenario.workMs
  const balancers = entries.map((self, index) => {
    const balancer = createBalancer(scenario.policy, { clock, servers, service, entries, self, random: createRandom(scenario.seed + 100 + index), maxWaitMs: SLOT_TIMEOUT_MS, isProbing: scenario.isProbing ?? false })
    const share = index === 0 ? scenario.firstEntryShare : (1 - scenario.firstEntryShare) / (scenario.entryCount - 1)
    startCallers(run, balancer, requestsPerMs * share)
    return balancer
  })
  await clock.runUntil(scenario.warmUpMs + scenario.durationMs)
  for (const balancer of balancers) balancer.set?.close()
  return buildResult(run, balancers)
}

/** The base scenario, a slot booking service; the cases of the bench change single values of it. */
export const BASE_SCENARIO: Scenario = {
  policy: 'product',
  seed: 1,
  serverCount: 30,
  zoneCount: 4,
  load: 0.5,
  entryCount: 6,
  firstEntryShare: 1 / 6,
  workMs: 20,
  isWorkFixedPerRequest: false,
  hedgeAfterMs: 90,
  slowdowns: { factor: 6, durationMs: 150, everyMs: 3 * MS_PER_SECOND, byZone: false },
  failingServerCount: 0,
  warmUpMs: 2 * MS_PER_SECOND,
  durationMs: 30 * MS_PER_SECOND
}
