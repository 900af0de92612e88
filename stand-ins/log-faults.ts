/**
 * The faults of the log stand-in, switched on by `POST /control`.
 */
import { z } from 'zod'

const count = z.number().int().nonnegative()
const share = z.number().min(0).max(1)

/** Every field that `POST /control` takes; fields that are left out stay as they are. */
export const faultsSchema = z.strictObject({
  /** `refuse` answers 503 and takes nothing, `hang` never answers, `reset` cuts the connection; none of them takes a record. */
  outage: z.enum(['none', 'refuse', 'hang', 'reset']),
  /** Delay before each answer, in ms; a write has taken effect before it. */
  slowMs: count,
  /** Share of appends whose answer is lost after the write took effect. */
  loseAnswersShare: share,
  /** Number of appends from now on whose answer is lost after the write took effect. */
  loseNextAnswers: count,
  /** Delay before an append takes effect, in ms; it takes effect even when the client has gone. */
  delayAppendsMs: count,
  /** Share of appends that are delayed by `delayAppendsMs`. */
  delayAppendsShare: share,
  /** Appends a second that are taken; more are answered 503. 0 is no limit. */
  largestAppendsPerSecond: count,
  /** Records older than this age out, in ms. 0 keeps all. */
  retentionMs: count,
  /** Records that one stream keeps. 0 keeps all. */
  retentionCount: count
})

/** The faults at present. */
export type LogFaults = z.infer<typeof faultsSchema>

/** Things that happen once. */
const actionsSchema = z.strictObject({
  /** Drops the records of a stream below an offset. */
  dropBefore: z.strictObject({ stream: z.string(), offset: count }).optional(),
  /** Never answers again on connections that are open now; new connections work. */
  silenceConnections: z.boolean().optional()
})

/** A body of `POST /control`. */
export const controlSchema = faultsSchema.partial().extend(actionsSchema.shape)

/** No fault at all. */
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

/** Chooses a share of calls evenly, so that runs repeat. */
export function createShareChooser () {
  let sum = 0
  return (part: number): boolean => {
    sum += part
    if (sum < 1) return false
    sum -= 1
    return true
  }
}
