/**
 * Decides whether a request may join the queue of its service: whether it would still be on time when its turn comes, and,
 * in a queue that stands, whether it would wait only briefly.
 */
import { canMeetLatencyTarget } from '../../request/selection/request-queue.ts'
import type { QueuedRequest } from '../../request/selection/request-queue.ts'

/** What is known about the queue when a request comes. Times in ms. */
export interface QueueSituation {
  nowMs: number
  /** When the first request joined, since the queue was empty last. */
  queuedSinceMs: number
  /** Expected wait of the request. */
  expectedWaitMs: number
  /** Whether less urgent requests wait, which the request goes ahead of. */
  hasLessUrgent: boolean
}

/** Longest expected wait in a queue that stands, as a share of the time until the latency target. */
const STANDING_WAIT_SHARE = 1 / 8
/** The same for a request that goes ahead of less urgent ones: it must not be rejected while they are served. */
const URGENT_WAIT_SHARE = 1 / 4

/**
 * Returns whether a request may join the queue. A queue that empties now and then takes in short bursts. One that has not been
 * empty for as long as this request could wait is a standing queue: making it longer only lets every request wait longer. So it
 * is kept short, and the rest is rejected while callers have time left.
 */
export function canJoinQueue (request: QueuedRequest, { nowMs, queuedSinceMs, expectedWaitMs, hasLessUrgent }: QueueSituation): boolean {
  if (expectedWaitMs === 0) return true
  if (!canMeetLatencyTarget(request, nowMs + expectedWaitMs)) return false
  const queueAgeMs = nowMs - queuedSinceMs
  const isStanding = !canMeetLatencyTarget(request, nowMs + queueAgeMs)
  const waitShare = hasLessUrgent ? URGENT_WAIT_SHARE : STANDING_WAIT_SHARE
  return !isStanding || expectedWaitMs <= (request.latencyTargetAtMs - nowMs) * waitShare
}
