/**
 * The ramp of a cold target from a small share of work to its full share.
 */

const FIRST_SHARE = 0.05

/** Computes the share of ordinary work that a cold target gets, 0 to 1. */
export function computeRampShare (sinceMs: number, nowMs: number, rampMs: number): number {
  if (rampMs <= 0) return 1
  return Math.min(1, Math.max(FIRST_SHARE, (nowMs - sinceMs) / rampMs))
}

/** Computes the bound of requests in flight at a cold target: at least 1. */
export function computeColdBound (largestInFlight: number, share: number): number {
  return Math.max(1, Math.floor(largestInFlight * share))
}
