/**
 * The faults of the log stand-in, which `POST /control` switches on and off.
 */
import { z } from 'zod'

const count = z.number().int().nonnegative()
const share = z.number().min(0).max(1)

/** The faults that `POST /control` sets; omitted fields keep their value. */
export const faultsSchema = z.strictObject({
  /** `refuse` responds 503, `hang` never responds, `reset` resets the connection; no record is appended under any of them. */
  outage: z.enum(['none', 'refuse', 'hang', 'reset']),
  /** Delay before each response, in ms; an append has taken effect before the delay. */
  slowMs: count,
  /** Share of appends whose response is lost after the record was appended. */
  loseAnswersShare: share,
  /** Number of appends from now on whose response is lost after the record was appended. */
  loseNextAnswers: count,
  /** Delay before a record is appended, in ms; it is appended even if the client has disconnected. */
  delayAppendsMs: count,
  /** Share of appends that are delayed by `delayAppendsMs`. */
  delayAppendsShare: share,
  /** Maximum appends per second; further ones get a 503 response. 0 sets no limit. */
  largestAppendsPerSecond: count,
  /** Age beyond which records are dropped, in ms. 0 keeps all records. */
  retentionMs: count,
  /** Maximum number of records that a stream keeps. 0 keeps all records. */
  retentionCount: count
})

/** The faults in effect. */
export type LogFaults = z.infer<typeof faultsSchema>

/** Actions that run once, when the request arrives. */
const actionsSchema = z.strictObject({
  /** Drops the records of a stream below an offset. */
  dropBefore: z.strictObject({ stream: z.string(), offset: count }).optional(),
  /** Stops responding on the connections that are open now; new connections work. */
  silenceConnections: z.boolean().optional()
})

/** The body of `POST /control`. */
export const controlSchema = faultsSchema.partial().extend(actionsSchema.shape)

/** The initial state: no faults. */
export const NO_FAULTS: LogFaults = {
  outage: 'none',
  slowMs: 0,
  loseAnswersShare: 0,
  loseNextAnswers: 0,
  delayAppendsMs: 0,
  delayAppendsShare: 1,
  largestAppendsPerSecond: 0,
  retentionMs: 0,
  retentionCount: 0
}

/** Creates a function that returns true for the given share of its calls, spread evenly so that runs are reproducible. */
export function createShareChooser () {
  let sum = 0
  return (chosenShare: number): boolean => {
    sum += chosenShare
    if (sum < 1) return false
    sum -= 1
    return true
  }
}
