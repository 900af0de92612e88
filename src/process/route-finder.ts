/**
 * Finds the service and operation for a caller's path in the contract in effect.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.ts'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Call } from '../request/call.ts'
import { toBrand } from '../types.ts'
import type { CustomerId, RequestId, ServiceId } from '../types.ts'
import type { ServiceContract } from '../version/contract.ts'
import { findOperation } from '../version/route-table.ts'
import type { ContractState } from './contracts/contract-state.ts'
import type { PartLogger } from './logger.ts'
import type { ServiceDirectory } from './service-links.ts'

/** The parts of a caller's path `/{customer}/{service}/{rest}`; `path` is the rest with its leading slash and the query. */
export interface CallerPath { customer: CustomerId, serviceId: ServiceId, path: string }

/** A call without the fields that come from the caller's message. */
export type RoutedCall = Omit<Call, 'headers' | 'body' | 'caller' | 'maxPauseMs' | 'method' | 'firstAttemptNumber'>

/** Options of the route finder. */
export interface RouteFinderOptions {
  /** A prefix that no other process uses for its request ids. */
  idPrefix: string
  clock: Clock
  contracts: ContractState
  services: ServiceDirectory
  log: PartLogger
}

/** Finds the operation for a request. */
export interface RouteFinder {
  /** Returns the call for a request. Errors: `no-contract`, `unknown-customer`, `unknown-service`, `unknown-operation`, `method-not-allowed`. */
  findRoute(method: string, route: CallerPath): Result<RoutedCall, AppError>
}

const PATH_PATTERN = /^\/([^/?]+)\/([^/?]+)(\/[^#]*)$/
const ID_RADIX = 36

/** Splits a caller's path into its parts. Errors: `malformed-request`. */
export function parseCallerPath (url: string): Result<CallerPath, AppError> {
  const match = PATH_PATTERN.exec(url)
  const [, customer, service, path] = match ?? []
  if (!customer || !service || !path) return err(createError('malformed-request', 'The path does not have the form /{customer}/{service}/...'))
  return ok({ customer: toBrand<CustomerId>(customer), serviceId: toBrand<ServiceId>(service), path })
}

/** Creates a route finder. It also assigns the request ids. */
export function createRouteFinder (options: RouteFinderOptions): RouteFinder {
  const { clock, contracts, services, log } = options
  let sequence = 0
  const createId = (): RequestId => toBrand<RequestId>(`${options.idPrefix}-${(sequence++).toString(ID_RADIX)}`)

  return {
    findRoute (method, route) {
      const { customer, serviceId, path } = route
      const contract = contracts.getContract(customer)
      if (contract.isErr()) return err(contract.error)
      const service: ServiceContract | undefined = contract.value.services[serviceId]
      const links = services.getLinks(customer, serviceId)
      if (!service || !links) return err(createError('unknown-service', `Customer ${customer} has no service ${serviceId}.`))
      return findOperation(service, method, path.split('?')[0] ?? '').map(({ operation }) => ({
        id: createId(),
        customer,
        serviceId,
        contract: contract.value,
        service,
        operation,
        links,
        path,
        deadlineMs: clock.monotonicMs() + operation.deadlineMs,
        clock,
        triedTargets: new Set<never>(),
        recordIncompleteResponse: (error) => log.warn('The response to a caller was incomplete.', { customer, service: serviceId, kind: error.kind, cause: error.message })
      }))
    }
  }
}
