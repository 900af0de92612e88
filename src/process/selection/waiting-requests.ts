/**
 * The requests of one service that wait for a target: decides which may wait, gives each target that becomes available to the
 * first of them, and rejects those for which it is too late while others can be on time.
 */
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { CustomerShares } from '../../request/selection/customer-shares.ts'
import { canMeetLatencyTarget, createRequestQueue } from '../../request/selection/request-queue.ts'
import { createDispatchRate } from './dispatch-rate.ts'
import type { EstimatedTarget, LoadProber } from './load-prober.ts'
import { canJoinQueue } from './queue-admission.ts'
import { computeReturnWindow } from './rejections.ts'
import type { Rejections } from './rejections.ts'
import type { SelectionRequest, TargetSearch, TargetSearchOptions, TargetSelection } from './target-search.ts'
import { isProven } from './target-states.ts'
import type { TargetState } from './target-states.ts'

/** How a request came. */
export interface Arrival {
  /** When, by the monotonic clock in ms. */
  startedAtMs: number
  /** Whether it is beyond the share of its customer. */
  isExcess: boolean
}

/** Requests that wait for a target. */
export interface WaitingRequests {
  /** Waits until a target is selected for a request, or rejects it. */
  wait(request: SelectionRequest, arrival: Arrival): Promise<Result<TargetSelection, AppError>>
  /** Offers a target with a new load report to the first request. */
  offer(state: TargetState): void
  count(): number
  /** Counts the requests of each priority. */
  countByPriority(): Map<number, number>
  /** Returns how many requests have waited since the start. */
  countQueued(): number
}

/** Options of `createWaitingRequests`. */
export interface WaitingRequestsOptions extends Pick<TargetSearchOptions, 'service' | 'limiter' | 'clock' | 'logger' | 'isEvacuated'> {
  targets: TargetSearch
  prober: LoadProber
  demand: CustomerShares
  rejections: Rejections
  /** Cancels a selection that would crowd its target while the request can wait; returns whether it did. */
  cancelCrowding(selection: TargetSelection, request: SelectionRequest): boolean
  /** Rejects a request because no target can be reached. */
  rejectCutOff(): Result<TargetSelection, AppError>
  /** Rejects a request because all targets are in evacuated zones. */
  rejectEvacuated(): Result<TargetSelection, AppError>
}

const PROBES_PER_QUEUE_ROUND = 3
/** Pause between two rounds of probes for the head of the queue, in ms. */
const ROUND_PAUSE_MS = 15

interface QueueItem {
  request: SelectionRequest
  isExcess: boolean
  queuedAtMs: number
  isSettled: boolean
  settle(result: Result<TargetSelection, AppError>): void
}

/** Creates the waiting requests of a service; none waits yet. */
export function createWaitingRequests (options: WaitingRequestsOptions): WaitingRequests {
  const { service, limiter, clock, logger, targets, prober, rejections, cancelCrowding, rejectCutOff, rejectEvacuated } = options
  const { reachability } = prober
  const queue = createRequestQueue<QueueItem>(options.demand)
  const rate = createDispatchRate()
  let queuedCount = 0
  let isDispatching = false
  /** When the first request was queued, since the queue was empty last. */
  let queuedSinceMs = -Infinity

  const settle = (item: QueueItem, result: Result<TargetSelection, AppError>): void => {
    item.isSettled = true
    item.settle(result)
  }
  const settleWithTarget = (item: QueueItem, selection: TargetSelection): void => {
    const nowMs = clock.monotonicMs()
    rate.record(nowMs)
    queue.take(item, nowMs)
    settle(item, ok(selection))
  }
  /** Rejects a request that would wait too long behind others. */
  const rejectBehind = (request: SelectionRequest, aheadCount: number, expectedWaitMs: number): Result<TargetSelection, AppError> => {
    const nowMs = clock.monotonicMs()
    const window = computeReturnWindow(queue.count() * rate.computeExpectedMs(nowMs), request.deadlineAtMs - nowMs)
    return rejections.rejectUntilRoom(`The request would wait too long: ${aheadCount} queued requests are ahead, which take about ${Math.round(expectedWaitMs)} ms.`, window)
  }
  /** Rejects queued requests that have expired, and those that miss their latency target while others can meet theirs. */
  const rejectLate = (): void => {
    const nowMs = clock.monotonicMs()
    for (const item of queue.removeExpired(nowMs)) settle(item, rejections.reject('queue-timeout', 'No target became available before the queue timeout.'))
    for (const item of queue.removeLate(nowMs)) settle(item, rejections.reject('queue-full', 'The request would miss its latency target while other queued requests can still meet theirs.'))
  }
  const dispatch = async (): Promise<void> => {
    for (;;) {
      rejectLate()
      if (reachability.hasLostAll()) for (const item of queue.removeAll()) settle(item, rejectCutOff())
      if (targets.isEvacuated()) for (const item of queue.removeAll()) settle(item, rejectEvacuated())
      const head = queue.peek(clock.monotonicMs())
      if (!head) {
        // Reset before the promise resolves: a request queued between resolution and its callback would start no dispatch.
        isDispatching = false
        return
      }
      const selection = await targets.search(head.request, [PROBES_PER_QUEUE_ROUND], head.queuedAtMs)
      // A response may have offered its target to the request during the search.
      if (selection && head.isSettled) targets.cancel(selection)
      else if (selection && !cancelCrowding(selection, head.request)) settleWithTarget(head, selection)
      else await clock.wait(ROUND_PAUSE_MS)
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
  /** Rejects the last request when those that came after it and go first leave it too late. */
  const rejectDisplaced = (nowMs: number): void => {
    const last = queue.findLast(nowMs)
    const aheadCount = queue.count() - 1
    const expectedWaitMs = aheadCount * rate.computeExpectedMs(nowMs)
    if (last?.request.customer === undefined || canMeetLatencyTarget(last.request, nowMs + expectedWaitMs)) return
    queue.remove(last)
    settle(last, rejectBehind(last.request, aheadCount, expectedWaitMs))
  }
  const add = (request: SelectionRequest, { startedAtMs, isExcess }: Arrival, nowMs: number): Promise<Result<TargetSelection, AppError>> => new Promise((resolve) => {
    queuedCount += 1
    if (queue.count() === 0) {
      rate.start(nowMs)
      queuedSinceMs = nowMs
    }
    queue.add({ request, isExcess, queuedAtMs: startedAtMs, isSettled: false, settle: resolve })
    rejectDisplaced(nowMs)
    startDispatching()
  })
  const offerTarget = async (candidate: EstimatedTarget, item: QueueItem): Promise<void> => {
    const { id } = candidate.state.registered.report
    if (!limiter.isAvailable(id)) return
    const selection = limiter.getPerSecond(id) === undefined
      ? targets.acquireUnlimited(candidate, item.queuedAtMs, 'waited')
      : await targets.tryAcquire(candidate, item.queuedAtMs, 'waited')
    if (selection && item.isSettled) targets.cancel(selection)
    else if (selection) settleWithTarget(item, selection)
  }
  return {
    async wait (request, arrival) {
      const nowMs = clock.monotonicMs()
      const item = { request, isExcess: arrival.isExcess }
      const aheadCount = queue.countAhead(item, nowMs)
      if (request.customer === undefined) {
        const isTooLate = queue.count() > 0 && !canMeetLatencyTarget(request, nowMs + aheadCount * rate.getMeanMs())
        return isTooLate ? rejections.reject('queue-full', 'Too many requests are queued ahead for this one to meet its latency target.') : await add(request, arrival, nowMs)
      }
      const expectedWaitMs = aheadCount * rate.computeExpectedMs(nowMs)
      const canJoin = queue.count() === 0 || canJoinQueue(request, { nowMs, queuedSinceMs, expectedWaitMs, hasLessUrgent: queue.hasLessUrgent(item, nowMs) })
      return canJoin ? await add(request, arrival, nowMs) : rejectBehind(request, aheadCount, expectedWaitMs)
    },
    offer (state) {
      const nowMs = clock.monotonicMs()
      const head = queue.peek(nowMs)
      if (!head || state.registered.isLeaving || options.isEvacuated(state.registered.report.zone) || Math.max(state.ejectedUntilMs, state.pausedUntilMs) > nowMs || head.request.excluded.has(state.registered.report.id)) return
      if (head.request.isTrial && !isProven(state)) return
      const estimate = prober.estimate(state, head.request.workMs, state.sentCountAtReport)
      if (estimate.isSuitable) offerTarget({ state, estimate }, head).catch((cause: unknown) => logger.error('Offering a target failed.', { service, err: cause }))
    },
    count: queue.count,
    countByPriority: queue.countByPriority,
    countQueued: () => queuedCount
  }
}
