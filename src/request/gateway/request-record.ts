/**
 * The data of a request's log line: the inputs of each target selection, and the outcome.
 */
import type { CrashFinding } from '../../connection/check-for-crash.ts'
import type { Quota } from '../../version/customer-keys.ts'
import type { LoadReport } from '../selection/load-report.ts'

/** One attempt at a target. Times in ms. */
export interface AttemptRecord {
  target: string
  /** Why this target was selected, as a `SelectionReason`. */
  reason: string
  /** How long the selection took, with the time in the queue. */
  waitedMs: number
  /** Expected time from sending to the response, estimated at the selection. */
  expectedMs: number
  /** Latest load report of the target when the attempt started. */
  load: LoadReport | undefined
  /** Age of that report; `Infinity` without one. */
  loadAgeMs: number
  /** Rate limit that the target advertises, in requests per second; undefined without one. */
  limitPerSecond: number | undefined
  /** Time from the start of the request to the start of the attempt. */
  startedMs: number
  /** Why the target closed the connection, if it did so without a response. */
  finding?: CrashFinding
  /** Outcome of the attempt; `pending` until it ends. */
  end: string
  /** HTTP status of the target's response, if any. */
  status: number | undefined
}

/** One request. Times in ms. The log line writes out all fields under their names. */
export interface RequestRecord {
  id: string
  route: string
  service: string
  /** Name of the customer that holds the request's key; undefined without one. */
  customer?: string | undefined
  /** Quota of that customer, and how long the request waited for its token; undefined without a quota. */
  quota?: Quota | undefined
  quotaWaitMs?: number
  /** Version of the configuration that was in effect when the request arrived; 0 for none. */
  version: number
  /** Time until the deadline when the request arrived. */
  leftMs: number
  attempts: AttemptRecord[]
  /** Which attempt was a hedge, from 1; undefined without one. */
  hedge?: number
  /** Fingerprint of the request; only set when a connection broke while a target had the request. */
  fingerprint?: string
  /** Kind of the error, if the gateway could not relay a response. */
  error?: string
  /** Message of the error, or why the response was truncated. */
  detail?: string
  /** HTTP status sent to the caller. */
  status?: number
  /** How the response ended: `whole`, `broken` (truncated), `caller-gone`, or `unread` (dropped behind a response that closed the connection). */
  end?: string
  /** Time from the arrival of the request to the end of its response. */
  tookMs: number
}
