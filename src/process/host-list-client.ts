/**
 * The narrow interface to the platform's list of live and leaving hosts, which lags behind reality.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../errors.ts'
import type { HostState, ZoneId } from '../types.ts'

/** One host of the platform's list. */
export interface ListedHost {
  /** An entry id or a target id. */
  id: string
  role: 'entry' | 'target'
  /** IP address. */
  address: string
  /** For a target its HTTP port; for an entry the port for callers. */
  port: number
  /** For an entry the port for peers. */
  peerPort?: number
  zone: ZoneId
  state: HostState
}

/** The platform's host list. */
export interface HostListClient {
  /** Reads the whole list. Errors: `host-list-unavailable`. */
  readHosts(): Promise<Result<ListedHost[], AppError>>
}
