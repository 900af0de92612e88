/**
 * Recorded traces: JSON lines, each a request or a fault, in order of time.
 */
import { readFileSync } from 'node:fs'
import { z } from 'zod'

const requestSchema = z.strictObject({
  /** When the caller sends it, in ms since the start of the trace. */
  time: z.number().nonnegative(),
  caller: z.string(),
  service: z.string(),
  operation: z.string(),
  /** Fills the first part of the path that begins with a colon, and is the key of an operation that may not be repeated. */
  key: z.string(),
  /** Bytes of a download. */
  size: z.number().int().positive().optional(),
  /** The only entry that the caller uses; it asks for addresses when left out. */
  entry: z.string().optional()
})

const faultSchema = z.strictObject({
  time: z.number().nonnegative(),
  /** `control` switches faults of a stand-in; the others act on an entry. */
  what: z.enum(['control', 'kill', 'stop', 'start', 'freeze', 'resume']),
  /** `log`, `host-list`, an entry, `service/target`, `service/zone:zone` or `service/*`. */
  where: z.string(),
  /** The body for the control endpoint. */
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
  /** Time of the last line, in ms. */
  lengthMs: number
}

/** Parses a trace; throws with file and line when a line is malformed. */
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
      throw new Error(`${file}:${index + 1}: not a line of a trace: ${reason}`)
    }
  })
  trace.lengthMs = Math.max(0, ...trace.requests.map(({ time }) => time), ...trace.faults.map(({ time }) => time))
  return trace
}

/** Reads a trace; throws when a line is malformed. */
export function readTrace (file: string): Trace {
  return parseTrace(readFileSync(file, 'utf8'), file)
}

/** Puts a trace behind itself several times; the keys of each round are its own. */
export function buildRepeatedTrace (trace: Trace, rounds: number): Trace {
  const roundMs = Math.ceil(trace.lengthMs)
  const list = Array.from({ length: rounds }, (_, round) => round)
  return {
    requests: list.flatMap((round) => trace.requests.map((line) => ({ ...line, time: line.time + round * roundMs, key: round === 0 ? line.key : `${line.key}-r${round}` }))),
    faults: list.flatMap((round) => trace.faults.map((line) => ({ ...line, time: line.time + round * roundMs }))),
    lengthMs: roundMs * rounds
  }
}
