/**
 * Decides whether a request goes to a target that is crowded, slow or warming up, when no suitable one was found.
 */
import type { Estimate } from './estimate-target.ts'
import { canMeetLatencyTarget } from './request-queue.ts'
import type { QueuedRequest } from './request-queue.ts'

/** A late request may wait in the queue of a target when less than this many times its expected time there is left. */
const MAX_EXPECTED_TIMES_LEFT = 2

/** Whether a response at the expected time would meet the latency target. */
export function isOnTime ({ totalMs }: Estimate, { latencyTargetAtMs }: QueuedRequest, nowMs: number): boolean {
  return nowMs + totalMs <= latencyTargetAtMs
}

/**
 * Whether a request should go to a target: it meets its latency target there or, when no target could do that any more, its
 * deadline. A request that is late anyway does not fill the queue of a target while it has time, since requests that are not
 * late would wait behind it.
 */
export function canAccept (estimate: Estimate, request: QueuedRequest, nowMs: number): boolean {
  if (canMeetLatencyTarget(request, nowMs)) return isOnTime(estimate, request, nowMs)
  const leftMs = request.deadlineAtMs - nowMs
  const startsAtOnce = estimate.occupancy <= 1
  return estimate.totalMs <= leftMs && (startsAtOnce || leftMs < estimate.totalMs * MAX_EXPECTED_TIMES_LEFT)
}
