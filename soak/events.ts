/**
 * What callers, targets and the operating system saw in a run, by one clock, in ms after the start of the traffic.
 */

/** A request of a caller. */
export interface SentRequest {
  id: string
  atMs: number
  entry: number
  service: number
  isIdempotent: boolean
  isDeadly: boolean
  /** Whether it is the first attempt, not one after a failure. */
  isFirst: boolean
  /** Whether it was sent on a connection that had carried a response. */
  isReused: boolean
  timeoutMs: number
}

/** How a request ended for its caller. */
export type RequestEnd =
  | { kind: 'answered', status: number, body: string, signature: string | undefined, isLeaving: boolean, target: string | undefined }
  /** The connection closed, or was refused. */
  | { kind: 'closed' }
  /** The caller closed the connection, since it left or its patience was over. */
  | { kind: 'left' | 'given-up' }

/** One thing that was seen. */
export type SoakEvent =
  | { type: 'sent', atMs: number, request: SentRequest }
  | { type: 'ended', atMs: number, id: string, end: RequestEnd }
  /** A target begins to work on a request. */
  | { type: 'run', atMs: number, id: string, target: string, service: number }
  /** A target has sent a 503 with `Retry-After`. */
  | { type: 'paused', atMs: number, id: string, target: string, untilMs: number }
  | { type: 'crashed', atMs: number, target: string, isByRequest: boolean }
  | { type: 'entry-ended', atMs: number, entry: number, detail: string }
  /** Something was done to an entry or a target; it excuses what follows from it. */
  | { type: 'disturbed', atMs: number, untilMs: number, entry?: number, target?: string, what: string }

/** All events of a run, in the order of time. */
export interface EventLog {
  add(event: SoakEvent): void
  list(): readonly SoakEvent[]
  /** Returns the time since the start of the traffic, in ms. */
  nowMs(): number
}

/** Creates an empty log whose clock starts now. */
export function createEventLog (): EventLog {
  const startedAtMs = performance.now()
  const events: SoakEvent[] = []
  return {
    add: (event) => { events.push(event) },
    list: () => events,
    nowMs: () => performance.now() - startedAtMs
  }
}
