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
  /** The customer whose key it carried; undefined without one. */
  customer?: string | undefined
  /** Whether it carried a key that nobody holds. */
  hasUnknownKey?: boolean
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
  | { type: 'run', atMs: number, id: string, target: string, service: number, zone?: string, customer?: string | undefined, hasKey?: boolean }
  /** A target has sent a 503 with `Retry-After`. */
  | { type: 'paused', atMs: number, id: string, target: string, untilMs: number }
  /** A target is cold from now on: it bears `perSecond` requests per second. */
  | { type: 'cold', atMs: number, target: string, untilMs: number, perSecond: number }
  /** The operator has asked that a zone gets nothing, until `untilMs`. */
  | { type: 'evacuated', atMs: number, zone: string, untilMs: number }
  /** The operator has taken away the key that the callers of a customer send. */
  | { type: 'revoked', atMs: number, customer: string }
  /** The operator has written everything again, since the store lost what it had acknowledged between `copiedAtMs` and `awayAtMs`. */
  | { type: 'written-again', atMs: number, copiedAtMs: number, awayAtMs: number }
  /** The quota of a customer. */
  | { type: 'quota', atMs: number, customer: string, ratePerSecond: number, burst: number }
  /** An entry has written a key to its log. */
  | { type: 'key-shown', atMs: number, entry: number }
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
