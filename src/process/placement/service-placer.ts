/**
 * Selects targets for the requests of one service: sends load probes to a few candidates right before the request and
 * selects the first suitable one. Requests that find none wait in one queue; each response offers its target to the head
 * of the queue. A request that cannot meet its latency target is rejected while others that can are waiting.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { LoadReport } from '../../request/placement/load-report.ts'
import { computePenalty } from '../../request/placement/order-candidates.ts'
import { canMeetAim, createWaitingQueue } from '../../request/placement/waiting-queue.ts'
import type { QueueOrder } from '../../request/placement/waiting-queue.ts'
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'
import type { TargetRegistry } from '../discovery/target-registry.ts'
import { createTargetLooks, getBetter } from './target-looks.ts'
import type { RequestEnd, Sighting, TargetLooksOptions } from './target-looks.ts'
import type { TargetState, TargetStates } from './target-states.ts'

/** A request that needs a target. */
export interface PlacementRequest extends QueueOrder {
  /** Score added to targets in other zones; 1 is the score of a target whose slots are all taken. */
  farPenalty: number
  /** Targets that earlier attempts of the request used. */
  excluded: ReadonlySet<TargetId>
}

/**
 * Why a target was selected. Suitable targets: `looked` by a load probe, `reported` by a recent load report, `waited`
 * by a response while the request was queued. Others: `best-seen` is the fastest of the probed ones, `untold` is the
 * best by this process's own counts.
 */
export type PlacementReason = 'looked' | 'reported' | 'waited' | 'best-seen' | 'untold'

/** The target selected for a request. */
export interface Placement {
  state: TargetState
  /** Expected time from sending the request to its response, in ms. */
  expectedMs: number
  /** How long the selection took, with the time in the queue, in ms. */
  waitedMs: number
  reason: PlacementReason
}

/** Totals since the start: load probes sent, requests queued, requests rejected. */
export interface PlacerCounts { looks: number, queued: number, refused: number }

/** Selects targets for the requests of one service. */
export interface ServicePlacer {
  /** Selects a target and counts the request as in flight there. Errors: `no-target`, `queue-full`, `queue-timeout`. */
  place(request: PlacementRequest): Promise<Result<Placement, AppError>>
  /** Counts a request out at a target, with the load report of its response. */
  release(state: TargetState, report: LoadReport | undefined): void
  /** Records how a request ended at a target, for ejection. */
  recordEnd(state: TargetState, end: RequestEnd): void
  /** Returns the number of queued requests. */
  countWaiting(): number
  report(): PlacerCounts
}

/** Options of `createServiceSelector`. */
export interface ServicePlacerOptions extends TargetLooksOptions {
  service: ServiceId
  zone: ZoneId
  registry: TargetRegistry
  states: TargetStates
  random: () => number
}

/** Load probes sent in parallel in each round of a search. */
const ROUND_SIZES = [2, 3, 3] as const
const QUEUE_ROUND_SIZE = 3
/** Pause between two rounds of probes for the head of the queue, in ms. */
const ROUND_PAUSE_MS = 15
/** A load report up to this age makes a probe unnecessary, in ms. */
const FRESH_REPORT_MS = 6
/** Assumed time between two requests leaving the queue, until it has been observed, in ms. */
const FIRST_PLACE_INTERVAL_MS = 10
const LONGEST_PLACE_INTERVAL_MS = 100
const INTERVAL_WEIGHT = 0.1
/** Shortest `Retry-After` of a rejected request, in s; up to as much again is added at random to spread the retries. */
const RETURN_AFTER_S = 0.2

/** When at least this share of the targets is ejected, ejections are ignored, since the few others could not take the load. */
const MOST_AVOIDED_SHARE = 0.6

interface Waiting {
  request: PlacementRequest
  queuedAtMs: number
  isSettled: boolean
  settle(result: Result<Placement, AppError>): void
}

/** Creates the target selector of a service. */
export function createServicePlacer (options: ServicePlacerOptions): ServicePlacer {
  const { service, zone, registry, states, clock, random, logger } = options
  const looks = createTargetLooks(options)
  const queue = createWaitingQueue<Waiting>()
  const counts = { queued: 0, refused: 0 }
  let isDispatching = false
  /** Moving average of the time between two requests leaving the queue, in ms. */
  let placeIntervalMs = FIRST_PLACE_INTERVAL_MS
  let lastPlaceAtMs = -Infinity

  const listUsable = ({ excluded }: PlacementRequest): TargetState[] => {
    const nowMs = clock.monotonicMs()
    const all = registry.list(service).filter((target) => !target.isLeaving && !excluded.has(target.report.id)).map((target) => states.get(target))
    const calm = all.filter((state) => state.avoidUntilMs <= nowMs)
    return calm.length > all.length * (1 - MOST_AVOIDED_SHARE) ? calm : all
  }
  const orderCandidates = (request: PlacementRequest, seen: ReadonlySet<TargetState>): TargetState[] => {
    const nowMs = clock.monotonicMs()
    const ranked = listUsable(request).filter((state) => !seen.has(state)).map((state) => ({
      state,
      penalty: computePenalty({
        inFlight: state.inFlight + state.looking,
        slots: state.registered.report.slots,
        isNear: state.registered.report.zone === zone,
        hasIdleConnection: state.pool.countConnections().idle > 0,
        isWarming: state.registered.warmUntilMs > nowMs,
        badReportAgeMs: state.isReportBad ? nowMs - state.reportAtMs : undefined
      }, request, random())
    }))
    return ranked.sort((a, b) => a.penalty - b.penalty).map(({ state }) => state)
  }
  const take = ({ state, estimate }: Sighting, startedAtMs: number, reason: PlacementReason): Placement => {
    state.inFlight += 1
    state.sent += 1
    return { state, expectedMs: estimate.totalMs, waitedMs: clock.monotonicMs() - startedAtMs, reason }
  }
  const refuse = (kind: 'no-target' | 'queue-full' | 'queue-timeout', message: string): Result<Placement, AppError> => {
    counts.refused += 1
    return err({ ...createError(kind, message), retryAfterS: RETURN_AFTER_S * (1 + random()) })
  }
  /** Finds a target whose recent load report shows it suitable. */
  const findReported = (ordered: readonly TargetState[], workMs: number): Sighting | undefined => {
    const nowMs = clock.monotonicMs()
    for (const state of ordered) {
      if (nowMs - state.reportAtMs > FRESH_REPORT_MS) continue
      const estimate = looks.estimate(state, workMs, state.sentAtReport)
      if (estimate.isGood) return { state, estimate }
    }
    return undefined
  }
  /** Whether a response from the target would meet the latency target, or the deadline when the former is out of reach. */
  const isInTime = ({ estimate: { totalMs } }: Sighting, request: PlacementRequest): boolean => {
    const nowMs = clock.monotonicMs()
    return nowMs + totalMs <= (canMeetAim(request, nowMs) ? request.aimAtMs : request.deadlineAtMs)
  }
  /** Selects the best target by this process's own counts, when no load probe can be sent or none returns a load. */
  const takeUntold = (request: PlacementRequest, startedAtMs: number): Placement | undefined => {
    const [state] = orderCandidates(request, new Set())
    if (!state) return undefined
    const sighting = { state, estimate: looks.estimate(state, request.workMs, state.sentAtReport) }
    return looks.getTellsLoad() === false || isInTime(sighting, request) ? take(sighting, startedAtMs, 'untold') : undefined
  }
  const search = async (request: PlacementRequest, sizes: readonly number[], startedAtMs: number): Promise<Placement | undefined> => {
    const seen = new Set<TargetState>()
    let best: Sighting | undefined
    for (const size of sizes) {
      const ordered = orderCandidates(request, seen)
      const reported = findReported(ordered, request.workMs)
      if (reported) return take(reported, startedAtMs, 'reported')
      const candidates = looks.takeCandidates(ordered, size)
      if (candidates.length === 0) break
      for (const state of candidates) seen.add(state)
      const sighting = await looks.lookAround(candidates, request.workMs)
      if (sighting?.estimate.isGood) return take(sighting, startedAtMs, 'looked')
      best = getBetter(best, sighting)
    }
    if (seen.size === 0) return takeUntold(request, startedAtMs)
    return best && isInTime(best, request) ? take(best, startedAtMs, 'best-seen') : undefined
  }
  const giveBack = ({ state }: Placement): void => {
    state.inFlight -= 1
    state.sent -= 1
  }
  const settle = (waiting: Waiting, result: Result<Placement, AppError>): void => {
    waiting.isSettled = true
    waiting.settle(result)
  }
  const placeWaiting = (waiting: Waiting, placement: Placement): void => {
    const nowMs = clock.monotonicMs()
    placeIntervalMs += INTERVAL_WEIGHT * (Math.min(nowMs - lastPlaceAtMs, LONGEST_PLACE_INTERVAL_MS) - placeIntervalMs)
    lastPlaceAtMs = nowMs
    queue.remove(waiting)
    settle(waiting, ok(placement))
  }
  /** Rejects queued requests that no target can answer in time any more. */
  const refuseHopeless = (): void => {
    const nowMs = clock.monotonicMs()
    for (const waiting of queue.takeExpired(nowMs)) settle(waiting, refuse('queue-timeout', 'No target became available before the queue timeout.'))
    for (const waiting of queue.takeLateBehindOthers(nowMs)) settle(waiting, refuse('queue-full', 'The request would miss its latency target while other queued requests can still meet theirs.'))
  }
  const dispatch = async (): Promise<void> => {
    for (;;) {
      refuseHopeless()
      const head = queue.peek(clock.monotonicMs())
      if (!head) {
        // Reset before the promise resolves: a request queued between resolution and its callback would start no dispatch.
        isDispatching = false
        return
      }
      const placement = await search(head.request, [QUEUE_ROUND_SIZE], head.queuedAtMs)
      if (placement) {
        // A response may have offered its target to the request during the search.
        if (head.isSettled) giveBack(placement)
        else placeWaiting(head, placement)
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
  const waitForPlace = (request: PlacementRequest, queuedAtMs: number): Promise<Result<Placement, AppError>> => new Promise((resolve) => {
    const nowMs = clock.monotonicMs()
    const turnAtMs = nowMs + queue.countBefore(request, nowMs) * placeIntervalMs
    const isBehind = queue.count() > 0 && !canMeetAim(request, turnAtMs)
    if (isBehind) {
      resolve(refuse('queue-full', 'Too many requests are queued ahead for this one to meet its latency target.'))
      return
    }
    counts.queued += 1
    if (queue.count() === 0) lastPlaceAtMs = nowMs
    queue.add({ request, queuedAtMs, isSettled: false, settle: resolve })
    startDispatching()
  })
  const place = async (request: PlacementRequest): Promise<Result<Placement, AppError>> => {
    const startedAtMs = clock.monotonicMs()
    if (listUsable(request).length === 0) return refuse('no-target', `No usable target is left for service ${service}.`)
    if (looks.getTellsLoad() === false) {
      const untold = takeUntold(request, startedAtMs)
      if (untold) return ok(untold)
    }
    if (queue.count() > 0) return waitForPlace(request, startedAtMs)
    const placement = await search(request, ROUND_SIZES, startedAtMs)
    return placement ? ok(placement) : waitForPlace(request, startedAtMs)
  }
  /** Offers a target with a new load report to the head of the queue. */
  const offerToWaiting = (state: TargetState): void => {
    const nowMs = clock.monotonicMs()
    const head = queue.peek(nowMs)
    if (!head || state.registered.isLeaving || state.avoidUntilMs > nowMs || head.request.excluded.has(state.registered.report.id)) return
    const estimate = looks.estimate(state, head.request.workMs, state.sentAtReport)
    if (estimate.isGood) placeWaiting(head, take({ state, estimate }, head.queuedAtMs, 'waited'))
  }
  return {
    place,
    release (state, report) {
      state.inFlight -= 1
      if (!report) return
      looks.recordReport(state, report)
      offerToWaiting(state)
    },
    recordEnd: looks.recordEnd,
    countWaiting: () => queue.count(),
    report: () => ({ ...counts, looks: looks.countLooks() })
  }
}
