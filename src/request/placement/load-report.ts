/**
 * The load of a target at one instant, as it tells it on an answer.
 */

/** What a target tells of its load. */
export interface LoadReport {
  /** Requests being processed. */
  running: number
  /** Requests queued at the target. */
  waiting: number
  /** Requests that it processes at once. */
  slots: number
  /** How long work takes that starts now, as a multiple of the usual time. */
  slowdown: number
}
