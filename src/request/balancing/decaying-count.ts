/**
 * A count with exponential decay: it halves in each half-life. Plain data, so that thousands need little memory.
 */

/** A decaying count as it stood at an instant. */
export interface DecayingCount {
  value: number
  /** The instant to which `value` applies, by the monotonic clock in ms. */
  atMs: number
}

/** Smaller values are treated as zero, which saves the arithmetic. */
const MIN_VALUE = 0.01

/** Creates a count of zero. */
export function createDecayingCount (): DecayingCount {
  return { value: 0, atMs: 0 }
}

/** Computes the value at an instant. */
export function computeDecayed (count: DecayingCount, nowMs: number, halfLifeMs: number): number {
  if (count.value === 0) return 0
  const value = count.value * 2 ** ((count.atMs - nowMs) / halfLifeMs)
  return value < MIN_VALUE ? 0 : value
}

/** Adds to a count at an instant. */
export function addDecayed (count: DecayingCount, amount: number, nowMs: number, halfLifeMs: number): void {
  count.value = computeDecayed(count, nowMs, halfLifeMs) + amount
  count.atMs = nowMs
}

/** Sets a count to zero. */
export function resetDecayed (count: DecayingCount): void {
  count.value = 0
}
