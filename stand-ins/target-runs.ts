/**
 * The record of what ran on the target stand-in: the judge of tests on at-most-once and fates.
 */

/** One request that a slot began to work on. */
export interface Run {
  /** The key as the caller gave it: header, or a field of the body. */
  key: string | undefined
  requestId: string | undefined
  /** Method and path. */
  operation: string
  attempt: string | undefined
  /** Wall time of the start, in ms since 1970. */
  atMs: number
  state: 'running' | 'done' | 'cancelled'
}

/** Counts of what did not run, and what measuring cost. */
export interface RunCounts { shed: number, droppedUnstarted: number, failedUnstarted: number, probes: number, connections: number, silenced: number }

/** What ran and what did not. */
export interface RunBook {
  runs: Run[]
  counts: RunCounts
}

/** Creates an empty book. */
export function createRunBook (): RunBook {
  return { runs: [], counts: { shed: 0, droppedUnstarted: 0, failedUnstarted: 0, probes: 0, connections: 0, silenced: 0 } }
}

const KEY_FIELDS = ['key', 'lot', 'slot', 'booking', 'visit']

/** Finds the key of a request: the `Idempotency-Key` header, else a field of the JSON body. */
export function findKey (header: string | undefined, body: string): string | undefined {
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
