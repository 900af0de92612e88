/**
 * Random amounts of work for the bench.
 */

/** Draws an exponential value. */
export function computeExponential (random: () => number, mean: number): number {
  return -mean * Math.log(1 - random())
}
