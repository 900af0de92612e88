/**
 * Outcomes files: the deployment that a trace is played on and the results that are expected, in JSON with comments.
 */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { formatFaults, parseJsonc } from '../src/version/jsonc.ts'
import { SAMPLES } from './deployment.ts'
import { POLICIES } from './policies.ts'

const DEFAULT_ENTRY_COUNT = 6

const outcomesSchema = z.strictObject({
  /** The sample whose contract is published. */
  sample: z.enum(SAMPLES),
  /** Number of entries. */
  entries: z.number().int().positive().default(DEFAULT_ENTRY_COUNT),
  /** Largest number of targets for each service. */
  targetsPerService: z.number().int().positive(),
  /** Mean work time of a request at a target, in ms. */
  workMs: z.number().positive(),
  /** Smallest share of requests that must get status 200. */
  answeredShare: z.number().min(0).max(1),
  /** Bounds on latency compared with a baseline in the same run. */
  tail: z.array(z.strictObject({
    baseline: z.enum(POLICIES).exclude(['entry']),
    /** Latency percentile, from 0 to 100. */
    percentile: z.number().min(0).max(100),
    /** Largest ratio of the latency through the entries to that of the baseline. */
    atMost: z.number().positive(),
    /**
     * Compares only requests of this service. Only idempotent requests are compared, since a baseline claims no
     * idempotency keys.
     */
    service: z.string().optional()
  })).default([])
})

/** The contents of an outcomes file. */
export type Outcomes = z.infer<typeof outcomesSchema>

/**
 * Reads an outcomes file.
 *
 * Errors: throws with file, line and column when the file is invalid.
 */
export function readOutcomes (file: string): Outcomes {
  const outcomes = parseJsonc(readFileSync(file, 'utf8'), outcomesSchema)
  if (outcomes.isErr()) throw new Error(formatFaults(file, outcomes.error))
  return outcomes.value
}
