/**
 * What belongs to one request while it is served.
 */
import type { Clock } from '../clock.ts'
import type { TargetPool } from '../connection/target-pool.ts'
import type { AppError } from '../errors.ts'
import type { TargetSet } from '../process/targets/target-set.ts'
import type { CustomerId, RequestId, ServiceId, TargetId } from '../types.ts'
import type { CallerPresence } from './caller-presence.ts'
import type { Contract, ContractTarget, Operation, ServiceContract } from '../version/contract.ts'

/** The targets of a service with the connections to them. */
export interface ServiceLinks {
  targets: TargetSet
  getPool(target: ContractTarget): TargetPool
}

/** One request, with the version of the contract that it began with. */
export interface Call {
  id: RequestId
  customer: CustomerId
  serviceId: ServiceId
  contract: Contract
  service: ServiceContract
  operation: Operation
  links: ServiceLinks
  method: string
  /** Path below the service, with the query. */
  path: string
  headers: Record<string, string>
  body: Uint8Array | undefined
  /** The attempt number that the caller itself passed on, 1 for none. */
  firstAttempt: number
  /** The latest instant for the first byte of the answer, by the monotonic clock in ms. */
  deadlineMs: number
  caller: CallerPresence
  /** The longest that the caller may pause while it takes the answer, in ms. */
  longestPauseMs: number
  clock: Clock
  /** Targets that were tried. */
  tried: Set<TargetId>
  /** Records why an answer could not be given whole, for logs and metrics. */
  recordBrokenAnswer(error: AppError): void
}
