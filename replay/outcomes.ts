/**
 * Outcomes files: what a played trace must come to, in JSON with comments.
 */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { formatFaults, parseJsonc } from '../src/version/jsonc.ts'
import { SAMPLES } from './deployment.ts'
import { POLICIES } from './policies.ts'

const ENTRY_COUNT = 6

const outcomesSchema = z.strictObject({
  /** The deployment whose contract is in force. */
  sample: z.enum(SAMPLES),
  entries: z.number().int().positive().default(ENTRY_COUNT),
  /** The largest number of targets for each service. */
  targetsPerService: z.number().int().positive(),
  /** Mean work of a request at a target, in ms. */
  workMs: z.number().positive(),
  /** The smallest share of requests that targets must have answered in full. */
  answeredShare: z.number().min(0).max(1),
  /** Ratios of latency to a baseline in the same run. */
  tail: z.array(z.strictObject({
    baseline: z.enum(POLICIES).exclude(['entry']),
    /** From 0 to 100. */
    percentile: z.number().min(0).max(100),
    /** The largest ratio of the entries' latency to the baseline's. */
    atMost: z.number().positive(),
    /** Only requests that may be repeated are compared, since the baseline claims no keys. */
    service: z.string().optional()
  })).default([])
})

/** What a played trace must come to. */
export type Outcomes = z.infer<typeof outcomesSchema>

/** Reads an outcomes file; throws with file, line and column when it is not valid. */
export function readOutcomes (file: string): Outcomes {
  const outcomes = parseJsonc(readFileSync(file, 'utf8'), outcomesSchema)
  if (outcomes.isErr()) throw new Error(formatFaults(file, outcomes.error))
  return outcomes.value
}
