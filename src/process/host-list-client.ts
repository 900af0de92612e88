/**
 * The interface to the platform's list of live and leaving hosts. The list lags behind the actual state of the hosts.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../errors.ts'
import type { HostState, ZoneId } from '../types.ts'

/** One host in the platform's list. */
export interface ListedHost {
  /** An entry id or a target id. */
  id: string
  role: 'entry' | 'target'
  /** IP address. */
  address: string
  /** The HTTP port of a target, or the port for callers of an entry. */
  port: number
  /** The port for peers of an entry; absent for a target. */
  peerPort?: number
  zone: ZoneId
  state: HostState
}

/** A client of the platform's host list. */
export interface HostListClient {
  /** Reads the complete list. Errors: `host-list-unavailable`. */
  readHosts(): Promise<Result<ListedHost[], AppError>>
}
