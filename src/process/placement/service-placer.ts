/**
 * Places the requests of one service: looks at a few promising targets right before sending and takes the first good
 * one. Requests that find none wait in one queue; each answer gives its target to the first of them. What cannot be
 * answered in time while others wait is refused at once.
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

/** A request that looks for a target. */
export interface PlacementRequest extends QueueOrder {
  /** What crossing zones costs it; 1 stands for a full target. */
  farPenalty: number
  /** Targets that were tried already. */
  excluded: ReadonlySet<TargetId>
}

/** Why a target was chosen: a good one by a look, by a fresh report or after a wait; the best of those seen; or by own counts alone. */
export type PlacementReason = 'looked' | 'reported' | 'waited' | 'best-seen' | 'untold'

/** A target for a request. */
export interface Placement {
  state: TargetState
  /** How long the answer should take, in ms. */
  expectedMs: number
  /** How long the request waited for its place, in ms. */
  waitedMs: number
  reason: PlacementReason
}

/** What the placer of a service has done. */
export interface PlacerCounts { looks: number, queued: number, refused: number }

/** Places the requests of one service. */
export interface ServicePlacer {
  /** Finds a target and counts the request there. Errors: `no-target`, `queue-full`, `queue-timeout`. */
  place(request: PlacementRequest): Promise<Result<Placement, AppError>>
  /** Notes the end of a request at a target, with the load that its answer told. */
  release(state: TargetState, report: LoadReport | undefined): void
  /** Notes how a target ended a request. */
  recordEnd(state: TargetState, end: RequestEnd): void
  countWaiting(): number
  report(): PlacerCounts
}

/** How to create a placer. */
export interface ServicePlacerOptions extends TargetLooksOptions {
  service: ServiceId
  zone: ZoneId
  registry: TargetRegistry
  states: TargetStates
  random: () => number
}

/** Looks at once, in each round of a search. */
const ROUND_SIZES = [2, 3, 3] as const
const QUEUE_ROUND_SIZE = 3
/** Between two rounds for waiting requests that found no good target, in ms. */
const ROUND_PAUSE_MS = 15
/** A report younger than this stands in for a look, in ms. */
const FRESH_REPORT_MS = 6
/** What the pause between two places is taken to be until one has told, in ms. */
const FIRST_PLACE_INTERVAL_MS = 10
const LONGEST_PLACE_INTERVAL_MS = 100
const INTERVAL_WEIGHT = 0.1
/** A refused request may return after this long, spread by as much again, in s. */
const RETURN_AFTER_S = 0.2

/** When more than this share of the targets fails, none is avoided. */
const MOST_AVOIDED_SHARE = 0.6

interface Waiting {
  request: PlacementRequest
  queuedAtMs: number
  isSettled: boolean
  settle(result: Result<Placement, AppError>): void
}

/** Creates the placer of a service. */
export function createServicePlacer (options: ServicePlacerOptions): ServicePlacer {
  const { service, zone, registry, states, clock, random, logger } = options
  const looks = createTargetLooks(options)
  const queue = createWaitingQueue<Waiting>()
  const counts = { queued: 0, refused: 0 }
  let isDispatching = false
  /** The usual pause between two places for waiting requests, in ms. */
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
  /** Finds a target that has just told that it is good. */
  const findReported = (ordered: readonly TargetState[], workMs: number): Sighting | undefined => {
    const nowMs = clock.monotonicMs()
    for (const state of ordered) {
      if (nowMs - state.reportAtMs > FRESH_REPORT_MS) continue
      const estimate = looks.estimate(state, workMs, state.sentAtReport)
      if (estimate.isGood) return { state, estimate }
    }
    return undefined
  }
  /** Whether an answer from there would still be in time. */
  const isInTime = ({ estimate: { totalMs } }: Sighting, request: PlacementRequest): boolean => {
    const nowMs = clock.monotonicMs()
    return nowMs + totalMs <= (canMeetAim(request, nowMs) ? request.aimAtMs : request.deadlineAtMs)
  }
  /** Takes the least loaded target by own requests, when no look can tell more. */
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
  /** Refuses the waiting requests that have nothing to wait for any more. */
  const refuseHopeless = (): void => {
    const nowMs = clock.monotonicMs()
    for (const waiting of queue.takeExpired(nowMs)) settle(waiting, refuse('queue-timeout', 'No target became free in time.'))
    for (const waiting of queue.takeLateBehindOthers(nowMs)) settle(waiting, refuse('queue-full', 'The answer would come too late, and others wait whose would not.'))
  }
  const dispatch = async (): Promise<void> => {
    for (;;) {
      refuseHopeless()
      const head = queue.peek(clock.monotonicMs())
      if (!head) {
        // Not in a callback of the promise: what queues before that callback runs would find nobody to search for it.
        isDispatching = false
        return
      }
      const placement = await search(head.request, [QUEUE_ROUND_SIZE], head.queuedAtMs)
      if (placement) {
        // An answer may have given the request another target during the search.
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
      logger.error('Dispatching failed.', { service, err: cause })
    })
  }
  const waitForPlace = (request: PlacementRequest, queuedAtMs: number): Promise<Result<Placement, AppError>> => new Promise((resolve) => {
    const nowMs = clock.monotonicMs()
    const turnAtMs = nowMs + queue.countBefore(request, nowMs) * placeIntervalMs
    const isBehind = queue.count() > 0 && !canMeetAim(request, turnAtMs)
    if (isBehind) {
      resolve(refuse('queue-full', 'Too many requests wait before this one.'))
      return
    }
    counts.queued += 1
    if (queue.count() === 0) lastPlaceAtMs = nowMs
    queue.add({ request, queuedAtMs, isSettled: false, settle: resolve })
    startDispatching()
  })
  const place = async (request: PlacementRequest): Promise<Result<Placement, AppError>> => {
    const startedAtMs = clock.monotonicMs()
    if (listUsable(request).length === 0) return refuse('no-target', `No target of service ${service} can take the request.`)
    if (looks.getTellsLoad() === false) {
      const untold = takeUntold(request, startedAtMs)
      if (untold) return ok(untold)
    }
    if (queue.count() > 0) return waitForPlace(request, startedAtMs)
    const placement = await search(request, ROUND_SIZES, startedAtMs)
    return placement ? ok(placement) : waitForPlace(request, startedAtMs)
  }
  /** Gives a target that has just told its load to the first waiting request. */
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
