/**
 * Seeded random numbers for the bench, so that every run is repeatable.
 */

const INCREMENT = 0x6d2b79f5
const RANGE = 4294967296

/** Creates a generator of numbers in [0, 1). */
export function createSeededRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + INCREMENT) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE
  }
}

/** Draws an exponential value. */
export function computeExponential (random: () => number, mean: number): number {
  return -mean * Math.log(1 - random())
}
