/**
 * The error kinds and the response that belongs to each.
 */
import type { ExecutionStatus } from './types.ts'

/** The response that a caller gets for an error. */
export interface ErrorResponse {
  /** HTTP status. */
  status: number
  /** The execution status of the request. */
  fate: Exclude<ExecutionStatus, 'ran'>
  /** Seconds to wait before another attempt; left out when waiting does not help. */
  retryAfterS?: number
  /** What the caller can do, in one sentence. */
  advice: string
}

/** Maps each error kind to its response. A kind may be used only where its execution status is correct. */
export const ERROR_RESPONSES = {
  // The request itself cannot be served.
  'malformed-request': { status: 400, fate: 'not-run', advice: 'Correct the request and send it again.' },
  'unknown-customer': { status: 404, fate: 'not-run', advice: 'Check the customer in the path: /{customer}/{service}/...' },
  'unknown-service': { status: 404, fate: 'not-run', advice: 'Check the service in the path: /{customer}/{service}/...' },
  'unknown-operation': { status: 404, fate: 'not-run', advice: 'Use a path that the contract lists.' },
  'method-not-allowed': { status: 405, fate: 'not-run', advice: 'Use a method that the contract lists for this path.' },
  'key-missing': { status: 400, fate: 'not-run', advice: 'Send the key where the contract says: header, path part or field.' },
  'key-reused': { status: 422, fate: 'not-run', advice: 'This key belongs to a different request; use a new key.' },
  'body-too-large': { status: 413, fate: 'not-run', advice: 'Send a smaller body; the contract states the limit.' },
  'request-timeout': { status: 408, fate: 'not-run', retryAfterS: 1, advice: 'Send the whole request without long pauses.' },
  'unknown-route': { status: 404, fate: 'not-run', advice: 'Use a host and path that the configuration lists.' },
  'key-unknown': { status: 401, fate: 'not-run', advice: 'Send a key that the operator has issued, as Authorization: Token KEY.' },
  'attempt-id-missing': { status: 400, fate: 'not-run', advice: 'Send a unique attempt id with each attempt.' },
  // The system does not accept the request now.
  'no-configuration': { status: 503, fate: 'not-run', retryAfterS: 0.3, advice: 'This entry has no configuration yet; try another entry.' },
  'no-contract': { status: 503, fate: 'not-run', retryAfterS: 2, advice: 'This entry has no contract yet; try another entry.' },
  'over-rate': { status: 429, fate: 'not-run', retryAfterS: 1, advice: 'The contract\'s rate is used up; wait and try again.' },
  'over-concurrency': { status: 429, fate: 'not-run', retryAfterS: 1, advice: 'Too many requests at once; wait for responses first.' },
  'over-quota': { status: 429, fate: 'not-run', retryAfterS: 1, advice: 'The customer\'s quota is used up; wait as long as Retry-After says.' },
  'bodies-full': { status: 503, fate: 'not-run', retryAfterS: 1, advice: 'This entry has no memory left for another body; try again, or use another entry.' },
  'queue-full': { status: 503, fate: 'not-run', retryAfterS: 1, advice: 'All targets are busy; wait and try again.' },
  'queue-timeout': { status: 503, fate: 'not-run', retryAfterS: 1, advice: 'No target became free in time; try again.' },
  'no-target': { status: 503, fate: 'not-run', retryAfterS: 2, advice: 'No target of this service can take work; try again later.' },
  'service-evacuated': { status: 503, fate: 'not-run', retryAfterS: 2, advice: 'The operator has taken all zones of this service out of use; try again later.' },
  'request-quarantined': { status: 503, fate: 'not-run', retryAfterS: 30, advice: 'Do not send this request again before the Retry-After has passed, and report it to the operators of the service: it seems to crash their servers.' },
  'request-on-trial': { status: 503, fate: 'not-run', retryAfterS: 0.5, advice: 'Try again; requests that may have crashed a server run one at a time.' },
  'deadline-passed': { status: 504, fate: 'not-run', retryAfterS: 1, advice: 'The deadline passed before the request was sent; try again.' },
  'platform-down': { status: 503, fate: 'not-run', retryAfterS: 5, advice: 'The platform cannot record this request now; try again later.' },
  'entry-stopping': { status: 503, fate: 'not-run', retryAfterS: 1, advice: 'This entry is stopping; request the addresses again and use another entry.' },
  // The request was sent, or was about to be sent, to a target.
  'target-unreachable': { status: 502, fate: 'not-run', retryAfterS: 1, advice: 'No byte reached a target; try again.' },
  'target-shed': { status: 503, fate: 'not-run', retryAfterS: 1, advice: 'The target rejected the request without running it; try again.' },
  'target-broken': { status: 502, fate: 'unknown', advice: 'The connection to the target broke; check whether the request took effect before trying again.' },
  'target-timeout': { status: 504, fate: 'unknown', advice: 'The target did not respond in time; check whether the request took effect before trying again.' },
  'route-timeout': { status: 504, fate: 'unknown', advice: 'The target did not respond within the timeout of the route; check whether the request took effect before trying again.' },
  'entry-stopped': { status: 502, fate: 'unknown', advice: 'This entry shut down before a target responded; check whether the request took effect before trying again.' },
  'target-failed': { status: 502, fate: 'unknown', advice: 'The target failed and may have run the request; check whether it took effect before trying again.' },
  'answer-mismatched': { status: 502, fate: 'unknown', advice: 'The response belongs to another request; check whether the request took effect before trying again.' },
  'answer-truncated': { status: 502, fate: 'unknown', advice: 'The response was truncated; check whether the request took effect before trying again.' },
  'claim-elsewhere': { status: 409, fate: 'unknown', advice: 'Another attempt with this key was accepted; check whether it took effect.' },
  // Not caused by a caller's request.
  'settings-invalid': { status: 500, fate: 'unknown', advice: 'Correct the settings file.' },
  'contract-invalid': { status: 400, fate: 'not-run', advice: 'Correct the contract file.' },
  'contract-rejected': { status: 409, fate: 'not-run', advice: 'Read the current contract, apply the change to it and publish again.' },
  'log-unavailable': { status: 503, fate: 'not-run', retryAfterS: 5, advice: 'The log is unavailable and stored nothing; try again later.' },
  'log-unknown': { status: 503, fate: 'unknown', advice: 'The log may have stored the record; read it back to find out.' },
  'log-gap': { status: 500, fate: 'unknown', advice: 'Records have expired from the log; start again from the newest checkpoint.' },
  'host-list-unavailable': { status: 503, fate: 'unknown', retryAfterS: 5, advice: 'The host list cannot be read; the last known list stays in use.' },
  'record-malformed': { status: 500, fate: 'unknown', advice: 'The record was skipped.' },
  'peer-unreachable': { status: 503, fate: 'not-run', advice: 'No byte reached the peer.' },
  'peer-broken': { status: 503, fate: 'unknown', advice: 'The link to the peer broke.' },
  'peer-refused': { status: 403, fate: 'not-run', advice: 'Check that all entries share the same peer key.' },
  'frame-malformed': { status: 400, fate: 'not-run', advice: 'The frame was rejected and its connection closed.' },
  usage: { status: 400, fate: 'not-run', advice: 'See --help.' },
  internal: { status: 500, fate: 'unknown', advice: 'Check whether the request took effect before trying again, and report this error.' }
} as const satisfies Record<string, ErrorResponse>

/** The kind of an error. Callers and commands show it by this name. */
export type ErrorKind = keyof typeof ERROR_RESPONSES

/** An error that is returned as a value. */
export interface AppError {
  kind: ErrorKind
  /** What happened, in one sentence. */
  message: string
  /** The underlying error, for logs only. */
  cause?: unknown
  /** Seconds after which another attempt is likely to be accepted; overrides the value of `ERROR_RESPONSES`. */
  retryAfterS?: number
}

/** Creates an error of a kind. */
export function createError (kind: ErrorKind, message: string, cause?: unknown): AppError {
  return cause === undefined ? { kind, message } : { kind, message, cause }
}

/** Returns the response for an error kind. */
export function getErrorResponse (kind: ErrorKind): ErrorResponse {
  return ERROR_RESPONSES[kind]
}

/** Describes an unknown thrown value in one line. */
export function describeCause (cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause)
}
