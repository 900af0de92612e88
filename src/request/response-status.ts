/**
 * Classifies the status of a target's response.
 */
import type { ExecutionStatus } from '../types.ts'

const MIN_SERVER_ERROR_STATUS = 500

/** Returns whether a status is a server error, which doesn't show whether the request ran. */
export function isServerError (status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS
}

/** Returns the execution status of a request whose response is relayed. */
export function getRelayedExecutionStatus (status: number): ExecutionStatus {
  return isServerError(status) ? 'unknown' : 'ran'
}
