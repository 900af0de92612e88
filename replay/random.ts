/**
 * A seeded source of random numbers, so that traces and baselines are the same on every run.
 */
const STEP = 0x6d2b79f5
const RANGE = 4_294_967_296

/** Creates a function that returns numbers from 0 to below 1 (mulberry32). */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + STEP) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE
  }
}
