import type { Parameters } from 'fast-check'

const FIXED_SEED = 20_270_115

/**
 * Returns the parameters of a model test, with a fixed seed, so that every run gives the same result. For longer
 * searches, the environment variable `MODEL_RUNS` multiplies the number of runs and `MODEL_SEED` sets another seed.
 */
export function createModelRuns<T> (numRuns: number): Parameters<T> {
  const factor = Number(process.env.MODEL_RUNS ?? 1)
  const seed = Number(process.env.MODEL_SEED ?? FIXED_SEED)
  return { seed, numRuns: numRuns * factor }
}
