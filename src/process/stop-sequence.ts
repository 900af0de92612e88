/**
 * The planned stop of an entry: it cuts no request.
 */
import type { Clock } from '../clock.ts'
import type { AuditTrail } from './audit/audit-trail.ts'
import type { CallerServer } from './caller-server.ts'
import type { ClaimBook } from './claims/claim-book.ts'
import type { ContractState } from './contracts/contract-state.ts'
import type { PartLogger } from './logger.ts'
import type { PeerMesh } from './membership/peer-mesh.ts'
import type { RequestService } from './request-service.ts'

const PROGRESS_CHECK_MS = 50
const FLUSH_TIMEOUT_MS = 5_000

/** What a planned stop needs. */
export interface StopOptions {
  clock: Clock
  log: PartLogger
  mesh: PeerMesh
  contracts: ContractState
  callers: CallerServer
  requests: RequestService
  claims: ClaimBook
  audit: AuditTrail
  /** How long idle connections of callers are kept, in ms. */
  keepAliveMs: number
  /** Added to the lifetime of address answers, in ms. */
  slackMs: number
}

/** Returns the longest time for which a caller may keep an answer with this entry's address, in ms. */
function getLongestAddressLifetime (contracts: ContractState): number {
  const lifetimes = contracts.listContracts().map(({ newest }) => newest.contract.entries.addressLifetimeMs)
  return Math.max(0, ...lifetimes)
}

async function waitForRequests (options: StopOptions): Promise<void> {
  while (options.requests.countInProgress() > 0) await options.clock.wait(PROGRESS_CHECK_MS)
}

/** Leaves the address answers, serves until no caller knows this entry, ends the rest and writes what is kept. */
export async function runStopSequence (options: StopOptions): Promise<void> {
  const { clock, log, mesh, callers } = options
  log.info('Leaving the address answers.')
  mesh.markLeaving()
  await clock.wait(getLongestAddressLifetime(options.contracts) + options.slackMs)

  log.info('Asking callers to close their connections.')
  callers.closeAfterAnswers()
  // Closing idle connections would race with a request on its way; they end by the advertised time.
  await clock.wait(options.keepAliveMs)
  const closed = callers.close()

  log.info('Waiting for requests in progress.', { count: options.requests.countInProgress() })
  await waitForRequests(options)
  await closed

  log.info('Writing outcomes and audit.')
  await options.claims.flush(clock.monotonicMs() + FLUSH_TIMEOUT_MS)
  await options.audit.flush(clock.monotonicMs() + FLUSH_TIMEOUT_MS)
}
