/**
 * The record of which requests ran on the target stand-in, against which tests check at-most-once execution and reported
 * execution statuses.
 */

/** A request on which work began. */
export interface Run {
  /** The idempotency key that the caller sent, in a header or a field of the body. */
  key: string | undefined
  requestId: string | undefined
  /** Method and path, with a space between. */
  operation: string
  attempt: string | undefined
  /** Wall time at which the request arrived in full, in ms since 1970. */
  atMs: number
  state: 'running' | 'done' | 'cancelled'
}

/** Counts of requests that did not run, of health probes, and of connections opened and silenced. */
export interface RunCounts { shed: number, droppedUnstarted: number, failedUnstarted: number, probes: number, connections: number, silenced: number }

/** The requests that ran, and counts of the rest. */
export interface RunLedger {
  runs: Run[]
  counts: RunCounts
}

/** Creates an empty ledger. */
export function createRunLedger (): RunLedger {
  return { runs: [], counts: { shed: 0, droppedUnstarted: 0, failedUnstarted: 0, probes: 0, connections: 0, silenced: 0 } }
}

const KEY_FIELDS = ['key', 'lot', 'slot', 'booking', 'visit']

/** Finds the idempotency key of a request: the `Idempotency-Key` header, else the first known key field of the JSON body. */
export function findIdempotencyKey (header: string | undefined, body: string): string | undefined {
  if (header !== undefined) return header
  const fields = parseFields(body)
  const name = KEY_FIELDS.find((field) => fields[field] !== undefined)
  return name === undefined ? undefined : String(fields[name])
}

function parseFields (body: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(body)
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {}
  } catch {
    return {}
  }
}
