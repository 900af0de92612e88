/**
 * Measures how fast queued requests get targets.
 */

/** The rate at which requests leave the queue. Instants by the monotonic clock in ms. */
export interface DispatchRate {
  /** Begins to measure, when a request is queued and none was. */
  start(nowMs: number): void
  /** Records that a queued request got a target. */
  record(nowMs: number): void
  /** Returns the moving average of the time between two requests that leave the queue, in ms. */
  getMeanMs(): number
  /** Returns that time as it must be expected now: a dispatch that has been due for longer counts as one of that time. */
  computeExpectedMs(nowMs: number): number
}

/** Assumed time between two requests leaving the queue, until it has been observed, in ms. */
const INITIAL_DISPATCH_INTERVAL_MS = 10
/** Longer observed intervals count as this one, in ms. */
const MAX_DISPATCH_INTERVAL_MS = 100
/** Weight of a new interval in the moving average. */
const DISPATCH_INTERVAL_WEIGHT = 0.1

/** Creates the measurement. */
export function createDispatchRate (): DispatchRate {
  let meanMs = INITIAL_DISPATCH_INTERVAL_MS
  let lastAtMs = -Infinity
  const computeMeanMs = (nowMs: number): number => meanMs + DISPATCH_INTERVAL_WEIGHT * (Math.min(nowMs - lastAtMs, MAX_DISPATCH_INTERVAL_MS) - meanMs)
  return {
    start (nowMs) {
      lastAtMs = nowMs
    },
    record (nowMs) {
      meanMs = computeMeanMs(nowMs)
      lastAtMs = nowMs
    },
    getMeanMs: () => meanMs,
    computeExpectedMs: (nowMs) => Math.max(meanMs, computeMeanMs(nowMs))
  }
}
