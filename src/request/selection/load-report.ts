/**
 * The load of a target at one instant, as reported on a response.
 */

/** A load report of a target. */
export interface LoadReport {
  /** Requests being processed. */
  running: number
  /** Requests queued at the target. */
  waiting: number
  /** Requests that it can process in parallel. */
  slots: number
  /** Duration of work that starts now, as a multiple of the normal duration. */
  slowdown: number
}
