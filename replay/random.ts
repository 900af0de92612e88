/**
 * A seeded random number generator, so that traces and baselines are the same on every run.
 */
const INCREMENT = 0x6d2b79f5
const UINT32_RANGE = 4_294_967_296

/** Creates a generator of numbers from 0 to below 1 by the mulberry32 algorithm. */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + INCREMENT) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE
  }
}
