import type { Parameters } from 'fast-check'

const FIXED_SEED = 20_270_115

/**
 * Parameters of a model test: a fixed seed, so that every run gives the same verdict.
 * MODEL_RUNS multiplies the runs and MODEL_SEED gives another seed, for longer searches by hand.
 */
export function createModelRuns<T> (numRuns: number): Parameters<T> {
  const factor = Number(process.env.MODEL_RUNS ?? 1)
  const seed = Number(process.env.MODEL_SEED ?? FIXED_SEED)
  return { seed, numRuns: numRuns * factor }
}
