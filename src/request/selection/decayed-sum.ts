/**
 * A sum in which what was added long ago counts less and less.
 */

/** A sum that decays exponentially. Times in ms, by the monotonic clock. */
export interface DecayedSum { value: number, atMs: number, readonly timeConstantMs: number }

/** Creates a sum of nothing. */
export function createDecayed (timeConstantMs: number): DecayedSum {
  return { value: 0, atMs: -Infinity, timeConstantMs }
}

/** Returns the sum at an instant. */
export function readDecayed ({ value, atMs, timeConstantMs }: DecayedSum, nowMs: number): number {
  return value === 0 ? 0 : value * Math.exp((atMs - nowMs) / timeConstantMs)
}

/** Adds an amount at an instant. */
export function addToDecayed (sum: DecayedSum, amount: number, nowMs: number): void {
  sum.value = readDecayed(sum, nowMs) + amount
  sum.atMs = nowMs
}
