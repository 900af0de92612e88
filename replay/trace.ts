/**
 * Recorded traces in JSON lines: each line is a request or a fault, ordered by time.
 */
import { readFileSync } from 'node:fs'
import { z } from 'zod'

const requestSchema = z.strictObject({
  /** Time when the caller sends it, in ms since the start of the trace. */
  time: z.number().nonnegative(),
  caller: z.string(),
  service: z.string(),
  operation: z.string(),
  /** Value of the first path parameter, and the idempotency key of a non-idempotent operation that has one. */
  key: z.string(),
  /** Size of a download in bytes; left out for other requests. */
  size: z.number().int().positive().optional(),
  /** The only entry that the caller uses; it fetches addresses when left out. */
  entry: z.string().optional()
})

const faultSchema = z.strictObject({
  /** Time when it is applied, in ms since the start of the trace. */
  time: z.number().nonnegative(),
  /** `control` sends a request to the control endpoint of a stand-in; the others act on the process of an entry. */
  what: z.enum(['control', 'kill', 'stop', 'start', 'freeze', 'resume']),
  /** `log`, `host-list`, an entry, `service/target`, `service/zone:zone` or `service/*`. */
  where: z.string(),
  /** Body of the request to the control endpoint. */
  with: z.record(z.string(), z.unknown()).optional()
})

/** One recorded request. */
export type TraceRequest = z.infer<typeof requestSchema>
/** One recorded fault. */
export type TraceFault = z.infer<typeof faultSchema>

/** A recorded trace. */
export interface Trace {
  requests: TraceRequest[]
  faults: TraceFault[]
  /** Largest time of a line, in ms. */
  lengthMs: number
}

/**
 * Parses a trace; `file` names it in errors.
 *
 * Errors: throws with file and line when a line is malformed.
 */
export function parseTrace (text: string, file: string): Trace {
  const trace: Trace = { requests: [], faults: [], lengthMs: 0 }
  text.split('\n').forEach((line, index) => {
    if (line.trim() === '') return
    try {
      const value = JSON.parse(line) as object
      if ('what' in value) trace.faults.push(faultSchema.parse(value))
      else trace.requests.push(requestSchema.parse(value))
    } catch (cause) {
      const reason = cause instanceof z.ZodError ? z.prettifyError(cause) : String(cause)
      throw new Error(`${file}:${index + 1}: malformed trace line: ${reason}`)
    }
  })
  trace.lengthMs = Math.max(0, ...trace.requests.map(({ time }) => time), ...trace.faults.map(({ time }) => time))
  return trace
}

/** Reads a trace file; throws with file and line when a line is malformed. */
export function readTrace (file: string): Trace {
  return parseTrace(readFileSync(file, 'utf8'), file)
}

/** Builds a trace that repeats another; every round after the first gets keys of its own. */
export function buildRepeatedTrace (trace: Trace, rounds: number): Trace {
  const roundMs = Math.ceil(trace.lengthMs)
  const roundNumbers = Array.from({ length: rounds }, (_, round) => round)
  return {
    requests: roundNumbers.flatMap((round) => trace.requests.map((line) => ({ ...line, time: line.time + round * roundMs, key: round === 0 ? line.key : `${line.key}-r${round}` }))),
    faults: roundNumbers.flatMap((round) => trace.faults.map((line) => ({ ...line, time: line.time + round * roundMs }))),
    lengthMs: roundMs * rounds
  }
}
