/**
 * Slow start: the share of requests that a cold target gets grows linearly until it is warm.
 */

const MIN_SHARE = 0.05

/** Computes the share of its normal load that a target gets at `nowMs`, 0 to 1, if it has been cold since `sinceMs`. */
export function computeRampShare (sinceMs: number, nowMs: number, rampMs: number): number {
  if (rampMs <= 0) return 1
  return Math.min(1, Math.max(MIN_SHARE, (nowMs - sinceMs) / rampMs))
}

/** Computes the maximum number of in-flight requests at a cold target, at least 1. */
export function computeColdMaxInFlight (maxInFlight: number, share: number): number {
  return Math.max(1, Math.floor(maxInFlight * share))
}
