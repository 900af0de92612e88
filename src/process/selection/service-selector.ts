/**
 * Selects targets for the requests of one service: sends load probes to a few candidates right before the request and
 * selects the first suitable one. Requests that find none wait in one queue; each response offers its target to the head
 * of the queue. A request that cannot meet its latency target is rejected while others that can are waiting.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { LoadReport } from '../../request/selection/load-report.ts'
import { computePenalty } from '../../request/selection/candidate-penalty.ts'
import { canMeetLatencyTarget, createRequestQueue } from '../../request/selection/request-queue.ts'
import type { QueuedRequest } from '../../request/selection/request-queue.ts'
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'
import type { TargetRegistry } from '../discovery/target-registry.ts'
import type { TargetLimiter } from '../target-limits/target-limiter.ts'
import { createLoadProber, getFaster } from './load-prober.ts'
import type { RequestOutcome, EstimatedTarget, LoadProberOptions } from './load-prober.ts'
import type { TargetState, TargetStates } from './target-states.ts'

/** A request that needs a target. */
export interface SelectionRequest extends QueuedRequest {
  /** Penalty of targets in other zones; 1 is the penalty of a target whose slots are all taken. */
  crossZonePenalty: number
  /** Targets that earlier attempts of the request used. */
  excluded: ReadonlySet<TargetId>
}

/**
 * Why a target was selected. Suitable targets: `looked` by a load probe, `reported` by a recent load report, `waited`
 * by a response while the request was queued. Others: `best-seen` is the fastest of the probed ones, `untold` is the
 * best by this process's own counts.
 */
export type SelectionReason = 'looked' | 'reported' | 'waited' | 'best-seen' | 'untold'

/** The target selected for a request. */
export interface TargetSelection {
  state: TargetState
  /** Expected time from sending the request to its response, in ms. */
  expectedMs: number
  /** How long the selection took, with the time in the queue, in ms. */
  waitedMs: number
  reason: SelectionReason
  /** Rate limit that the target names, in requests per second over all entries; undefined without one. */
  limitPerSecond: number | undefined
}

/** Totals since the start: load probes sent, requests queued, requests rejected. */
export interface SelectorCounts { loadProbes: number, queued: number, rejected: number }

/** Selects targets for the requests of one service. */
export interface ServiceSelector {
  /** Selects a target and counts the request as in flight there. Errors: `no-target`, `queue-full`, `queue-timeout`. */
  select(request: SelectionRequest): Promise<Result<TargetSelection, AppError>>
  /** Stops counting a request as in flight at a target, and records the load report of its response. */
  release(state: TargetState, report: LoadReport | undefined): void
  /** Undoes a selection whose request was not sent. */
  cancel(selection: TargetSelection): void
  /** Records how a request ended at a target, for ejection. */
  recordOutcome(state: TargetState, outcome: RequestOutcome): void
  /** Returns the number of queued requests. */
  countWaiting(): number
  /** Returns the totals since the start. */
  report(): SelectorCounts
}

/** Options of `createServiceSelector`. */
export interface ServiceSelectorOptions extends LoadProberOptions {
  service: ServiceId
  zone: ZoneId
  registry: TargetRegistry
  states: TargetStates
  limiter: Pick<TargetLimiter, 'getPerSecond' | 'getAvailableAtMs' | 'isAvailable' | 'acquire' | 'release'>
  random: () => number
}

/** Load probes sent in parallel in each round of a search. */
const PROBES_PER_ROUND = [2, 3, 3] as const
const PROBES_PER_QUEUE_ROUND = 3
/** Pause between two rounds of probes for the head of the queue, in ms. */
const ROUND_PAUSE_MS = 15
/** A load report up to this age makes a probe unnecessary, in ms. */
const MAX_FRESH_REPORT_AGE_MS = 6
/** Assumed time between two requests leaving the queue, until it has been observed, in ms. */
const INITIAL_DISPATCH_INTERVAL_MS = 10
/** Longer observed intervals count as this one, in ms. */
const MAX_DISPATCH_INTERVAL_MS = 100
/** Weight of a new interval in the moving average. */
const DISPATCH_INTERVAL_WEIGHT = 0.1
const MS_PER_SECOND = 1_000
/** Shortest `Retry-After` of a rejected request, in s; up to as much again is added at random to spread the retries. */
const MIN_RETRY_AFTER_S = 0.2

/** When at least this share of the targets is ejected, ejections are ignored, since the few others could not take the load. */
const MAX_EJECTED_SHARE = 0.6
/** Targets for which a permit is requested when none can be probed. */
const MAX_UNPROBED_CANDIDATES = 3

interface QueueItem {
  request: SelectionRequest
  queuedAtMs: number
  isSettled: boolean
  settle(result: Result<TargetSelection, AppError>): void
}

/** Creates the target selector of a service. */
export function createServiceSelector (options: ServiceSelectorOptions): ServiceSelector {
  const { service, zone, registry, states, limiter, clock, random, logger } = options
  const prober = createLoadProber(options)
  const queue = createRequestQueue<QueueItem>()
  const counts = { queued: 0, rejected: 0 }
  let isDispatching = false
  /** Moving average of the time between two requests leaving the queue, in ms. */
  let dispatchIntervalMs = INITIAL_DISPATCH_INTERVAL_MS
  let lastDispatchAtMs = -Infinity

  const listUsable = ({ excluded }: SelectionRequest): TargetState[] => {
    const nowMs = clock.monotonicMs()
    const all = registry.list(service).filter((target) => !target.isLeaving && !excluded.has(target.report.id)).map((target) => states.get(target))
    const notEjected = all.filter((state) => state.ejectedUntilMs <= nowMs)
    return notEjected.length > all.length * (1 - MAX_EJECTED_SHARE) ? notEjected : all
  }
  const orderCandidates = (request: SelectionRequest, probed: ReadonlySet<TargetState>): TargetState[] => {
    const nowMs = clock.monotonicMs()
    const candidates = listUsable(request).filter((state) => !probed.has(state) && limiter.isAvailable(state.registered.report.id))
    const scored = candidates.map((state) => ({
      state,
      penalty: computePenalty({
        inFlight: state.inFlight + state.probesInFlight,
        slots: state.registered.report.slots,
        isSameZone: state.registered.report.zone === zone,
        hasIdleConnection: state.pool.countConnections().idle > 0,
        isWarming: state.registered.warmupEndsAtMs > nowMs,
        isLimited: limiter.getPerSecond(state.registered.report.id) !== undefined,
        unsuitableReportAgeMs: state.isReportUnsuitable ? nowMs - state.reportAtMs : undefined
      }, request, random())
    }))
    return scored.sort((a, b) => a.penalty - b.penalty).map(({ state }) => state)
  }
  const countInFlight = ({ state, estimate }: EstimatedTarget, startedAtMs: number, reason: SelectionReason): TargetSelection => {
    state.inFlight += 1
    state.sentCount += 1
    const limitPerSecond = limiter.getPerSecond(state.registered.report.id)
    return { state, expectedMs: estimate.totalMs, waitedMs: clock.monotonicMs() - startedAtMs, reason, limitPerSecond }
  }
  const cancel = ({ state, limitPerSecond }: TargetSelection): void => {
    state.inFlight -= 1
    state.sentCount -= 1
    if (limitPerSecond !== undefined) limiter.release(state.registered.report.id)
  }
  /** Selects a target if its rate limit allows one more request. */
  const tryAcquireTarget = async (candidate: EstimatedTarget, startedAtMs: number, reason: SelectionReason): Promise<TargetSelection | undefined> => {
    const selection = countInFlight(candidate, startedAtMs, reason)
    const { id } = candidate.state.registered.report
    if (selection.limitPerSecond === undefined || await limiter.acquire(id)) return { ...selection, waitedMs: clock.monotonicMs() - startedAtMs }
    candidate.state.inFlight -= 1
    candidate.state.sentCount -= 1
    return undefined
  }
  const reject = (kind: 'no-target' | 'queue-full' | 'queue-timeout', message: string, minRetryAfterS = MIN_RETRY_AFTER_S): Result<TargetSelection, AppError> => {
    counts.rejected += 1
    return err({ ...createError(kind, message), retryAfterS: minRetryAfterS * (1 + random()) })
  }
  /** Finds a target whose recent load report shows it suitable. */
  const findReported = (ordered: readonly TargetState[], workMs: number): EstimatedTarget | undefined => {
    const nowMs = clock.monotonicMs()
    for (const state of ordered) {
      if (nowMs - state.reportAtMs > MAX_FRESH_REPORT_AGE_MS) continue
      const estimate = prober.estimate(state, workMs, state.sentCountAtReport)
      if (estimate.isSuitable) return { state, estimate }
    }
    return undefined
  }
  /** Whether a response from the target would meet the latency target or, when that is no longer possible, the deadline. */
  const isOnTime = ({ estimate: { totalMs } }: EstimatedTarget, request: SelectionRequest): boolean => {
    const nowMs = clock.monotonicMs()
    return nowMs + totalMs <= (canMeetLatencyTarget(request, nowMs) ? request.latencyTargetAtMs : request.deadlineAtMs)
  }
  /** Selects the best target by this process's own counts, when no load probe can be sent or none returns a load. */
  const acquireUnprobed = async (request: SelectionRequest, startedAtMs: number): Promise<TargetSelection | undefined> => {
    for (const state of orderCandidates(request, new Set()).slice(0, MAX_UNPROBED_CANDIDATES)) {
      const candidate = { state, estimate: prober.estimate(state, request.workMs, state.sentCountAtReport) }
      if (prober.hasLoadReports() !== false && !isOnTime(candidate, request)) return undefined
      const selection = await tryAcquireTarget(candidate, startedAtMs, 'untold')
      if (selection) return selection
    }
    return undefined
  }
  /** Probes candidates in rounds of these sizes; returns the first suitable target, else the fastest if it is on time. */
  const search = async (request: SelectionRequest, sizes: readonly number[], startedAtMs: number): Promise<TargetSelection | undefined> => {
    const probed = new Set<TargetState>()
    let best: EstimatedTarget | undefined
    for (const size of sizes) {
      const ordered = orderCandidates(request, probed)
      const reported = findReported(ordered, request.workMs)
      const acquired = reported && await tryAcquireTarget(reported, startedAtMs, 'reported')
      if (acquired) return acquired
      const candidates = prober.acquireProbes(ordered.filter((state) => state !== reported?.state), size)
      if (candidates.length === 0) break
      for (const state of candidates) probed.add(state)
      const candidate = await prober.probeCandidates(candidates, request.workMs)
      const selection = candidate?.estimate.isSuitable ? await tryAcquireTarget(candidate, startedAtMs, 'looked') : undefined
      if (selection) return selection
      if (!candidate?.estimate.isSuitable) best = getFaster(best, candidate)
    }
    if (probed.size === 0) return acquireUnprobed(request, startedAtMs)
    return best && isOnTime(best, request) ? tryAcquireTarget(best, startedAtMs, 'best-seen') : undefined
  }
  const settle = (item: QueueItem, result: Result<TargetSelection, AppError>): void => {
    item.isSettled = true
    item.settle(result)
  }
  const settleWithTarget = (item: QueueItem, selection: TargetSelection): void => {
    const nowMs = clock.monotonicMs()
    dispatchIntervalMs += DISPATCH_INTERVAL_WEIGHT * (Math.min(nowMs - lastDispatchAtMs, MAX_DISPATCH_INTERVAL_MS) - dispatchIntervalMs)
    lastDispatchAtMs = nowMs
    queue.remove(item)
    settle(item, ok(selection))
  }
  /** Rejects queued requests that have expired, and those that miss their latency target while others can meet theirs. */
  const rejectLate = (): void => {
    const nowMs = clock.monotonicMs()
    for (const item of queue.removeExpired(nowMs)) settle(item, reject('queue-timeout', 'No target became available before the queue timeout.'))
    for (const item of queue.removeLate(nowMs)) settle(item, reject('queue-full', 'The request would miss its latency target while other queued requests can still meet theirs.'))
  }
  const dispatch = async (): Promise<void> => {
    for (;;) {
      rejectLate()
      const head = queue.peek(clock.monotonicMs())
      if (!head) {
        // Reset before the promise resolves: a request queued between resolution and its callback would start no dispatch.
        isDispatching = false
        return
      }
      const selection = await search(head.request, [PROBES_PER_QUEUE_ROUND], head.queuedAtMs)
      if (selection) {
        // A response may have offered its target to the request during the search.
        if (head.isSettled) cancel(selection)
        else settleWithTarget(head, selection)
        continue
      }
      await clock.wait(ROUND_PAUSE_MS)
    }
  }
  const startDispatching = (): void => {
    if (isDispatching) return
    isDispatching = true
    dispatch().catch((cause: unknown) => {
      isDispatching = false
      logger.error('Dispatching queued requests failed.', { service, err: cause })
    })
  }
  const waitForTarget = (request: SelectionRequest, queuedAtMs: number): Promise<Result<TargetSelection, AppError>> => new Promise((resolve) => {
    const nowMs = clock.monotonicMs()
    const expectedStartAtMs = nowMs + queue.countAhead(request, nowMs) * dispatchIntervalMs
    const isTooLate = queue.count() > 0 && !canMeetLatencyTarget(request, expectedStartAtMs)
    if (isTooLate) {
      resolve(reject('queue-full', 'Too many requests are queued ahead for this one to meet its latency target.'))
      return
    }
    counts.queued += 1
    if (queue.count() === 0) lastDispatchAtMs = nowMs
    queue.add({ request, queuedAtMs, isSettled: false, settle: resolve })
    startDispatching()
  })
  const selectTarget = async (request: SelectionRequest): Promise<Result<TargetSelection, AppError>> => {
    const startedAtMs = clock.monotonicMs()
    const usable = listUsable(request)
    if (usable.length === 0) return reject('no-target', `No usable target is left for service ${service}.`)
    const permitAtMs = Math.min(...usable.map((state) => limiter.getAvailableAtMs(state.registered.report.id)))
    if (permitAtMs + request.workMs > request.deadlineAtMs) {
      const waitS = (permitAtMs - startedAtMs) / MS_PER_SECOND
      return reject('queue-full', `All targets of service ${service} are at the rate limits that they name until after the deadline.`, waitS)
    }
    if (prober.hasLoadReports() === false) {
      const unprobed = await acquireUnprobed(request, startedAtMs)
      if (unprobed) return ok(unprobed)
    }
    if (queue.count() > 0) return waitForTarget(request, startedAtMs)
    const selection = await search(request, PROBES_PER_ROUND, startedAtMs)
    return selection ? ok(selection) : waitForTarget(request, startedAtMs)
  }
  const offerTarget = async (candidate: EstimatedTarget, item: QueueItem): Promise<void> => {
    const { id } = candidate.state.registered.report
    if (!limiter.isAvailable(id)) return
    const selection = limiter.getPerSecond(id) === undefined
      ? countInFlight(candidate, item.queuedAtMs, 'waited')
      : await tryAcquireTarget(candidate, item.queuedAtMs, 'waited')
    if (selection && item.isSettled) cancel(selection)
    else if (selection) settleWithTarget(item, selection)
  }
  /** Offers a target with a new load report to the head of the queue. */
  const offerToQueue = (state: TargetState): void => {
    const nowMs = clock.monotonicMs()
    const head = queue.peek(nowMs)
    if (!head || state.registered.isLeaving || state.ejectedUntilMs > nowMs || head.request.excluded.has(state.registered.report.id)) return
    const estimate = prober.estimate(state, head.request.workMs, state.sentCountAtReport)
    if (estimate.isSuitable) offerTarget({ state, estimate }, head).catch((cause: unknown) => logger.error('Offering a target failed.', { service, err: cause }))
  }
  return {
    select: selectTarget,
    release (state, report) {
      state.inFlight -= 1
      if (!report) return
      prober.recordReport(state, report)
      offerToQueue(state)
    },
    cancel,
    recordOutcome: prober.recordOutcome,
    countWaiting: () => queue.count(),
    report: () => ({ ...counts, loadProbes: prober.countProbes() })
  }
}
