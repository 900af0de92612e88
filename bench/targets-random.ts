/**
 * Random amounts of work for the target selection bench.
 */

/** Returns an exponentially distributed random value with the given mean; `random` returns numbers from 0 to below 1. */
export function computeExponential (random: () => number, mean: number): number {
  return -mean * Math.log(1 - random())
}
