/**
 * What the status of a target's answer says.
 */
import type { Fate } from '../types.ts'

const FIRST_SERVER_ERROR_STATUS = 500

/** Whether a status is a server error, which proves nothing about the request. */
export function isServerError (status: number): boolean {
  return status >= FIRST_SERVER_ERROR_STATUS
}

/** Returns the fate of a request whose answer is relayed. */
export function getRelayedFate (status: number): Fate {
  return isServerError(status) ? 'unknown' : 'ran'
}
