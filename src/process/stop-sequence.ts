/**
 * The graceful shutdown of an entry, which interrupts no request.
 */
import type { Clock } from '../clock.ts'
import type { AuditTrail } from './audit/audit-trail.ts'
import type { CallerServer } from './caller-server.ts'
import type { ClaimStore } from './claims/claim-store.ts'
import type { ContractState } from './contracts/contract-state.ts'
import type { PartLogger } from './logger.ts'
import type { PeerMesh } from './membership/peer-mesh.ts'
import type { RequestService } from './request-service.ts'

const PROGRESS_CHECK_MS = 50
const FLUSH_TIMEOUT_MS = 5_000

/** Options of a graceful shutdown. */
export interface StopOptions {
  clock: Clock
  log: PartLogger
  mesh: PeerMesh
  contracts: ContractState
  callers: CallerServer
  requests: RequestService
  claims: ClaimStore
  audit: AuditTrail
  /** How long idle connections of callers stay open, in ms. */
  keepAliveMs: number
  /** Added to the lifetime of address responses, in ms. */
  slackMs: number
}

/** Returns the longest time for which a caller may cache this entry's address, in ms. */
function getMaxAddressLifetimeMs (contracts: ContractState): number {
  const lifetimes = contracts.listContracts().map(({ newest }) => newest.contract.entries.addressLifetimeMs)
  return Math.max(0, ...lifetimes)
}

async function waitForRequests (options: StopOptions): Promise<void> {
  while (options.requests.countInProgress() > 0) await options.clock.wait(PROGRESS_CHECK_MS)
}

/**
 * Shuts down gracefully: removes the entry from address responses, keeps serving until no caller has its address cached,
 * closes connections, waits for requests in progress, and writes outcomes and audit events to the log.
 */
export async function runStopSequence (options: StopOptions): Promise<void> {
  const { clock, log, mesh, callers } = options
  log.info('Draining: removing this entry from address responses.')
  mesh.markLeaving()
  await clock.wait(getMaxAddressLifetimeMs(options.contracts) + options.slackMs)

  log.info('Asking callers to close their connections.')
  callers.closeAfterResponses()
  // Closing an idle connection could cut off a request on its way; idle ones expire by the advertised keep-alive time instead.
  await clock.wait(options.keepAliveMs)
  const closed = callers.close()

  log.info('Waiting for requests in progress.', { count: options.requests.countInProgress() })
  await waitForRequests(options)
  await closed

  log.info('Writing outcomes and audit events.')
  await options.claims.flush(clock.monotonicMs() + FLUSH_TIMEOUT_MS)
  await options.audit.flush(clock.monotonicMs() + FLUSH_TIMEOUT_MS)
}
