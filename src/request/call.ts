/**
 * State of one request while it is served.
 */
import type { Clock } from '../clock.ts'
import type { TargetPool } from '../connection/target-pool.ts'
import type { AppError } from '../errors.ts'
import type { TargetSet } from '../process/targets/target-set.ts'
import type { CustomerId, RequestId, ServiceId, TargetId } from '../types.ts'
import type { CallerConnection } from './caller-connection.ts'
import type { Contract, ContractTarget, Operation, ServiceContract } from '../version/contract.ts'

/** The target set of a service and the connection pools of its targets. */
export interface ServiceLinks {
  targets: TargetSet
  getPool(target: ContractTarget): TargetPool
}

/** One request, with the contract version that was in effect when it began. */
export interface Call {
  id: RequestId
  customer: CustomerId
  serviceId: ServiceId
  contract: Contract
  service: ServiceContract
  operation: Operation
  links: ServiceLinks
  method: string
  /** Path below the service, including the query. */
  path: string
  headers: Record<string, string>
  body: Uint8Array | undefined
  /** Number of the first attempt: the one in the request's attempt header, 1 without it. */
  firstAttemptNumber: number
  /** Deadline of the response's first byte, by the monotonic clock in ms. */
  deadlineMs: number
  caller: CallerConnection
  /** Timeout after which a caller that accepts no more of the response is disconnected, in ms. */
  maxPauseMs: number
  clock: Clock
  /** Targets that an attempt was sent to. */
  triedTargets: Set<TargetId>
  /** Records why a response could not be relayed completely, for logs and metrics. */
  recordIncompleteResponse(error: AppError): void
}
