/**
 * Explains where a request would go now, without sending it: its route, its customer, and the targets of its services.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { createError, getErrorResponse } from '../../errors.ts'
import type { AppError, ErrorKind } from '../../errors.ts'
import { getKey } from '../../platform/wire-names.ts'
import { findRequestCustomer } from '../../request/gateway/request-customer.ts'
import { CROSS_ZONE_PENALTY, INITIAL_WORK_SHARE } from '../../request/gateway/selection-request.ts'
import type { EntryId } from '../../types.ts'
import type { Route, RouteKind } from '../../version/configuration.ts'
import type { CustomerTerms, Quota } from '../../version/customer-keys.ts'
import type { SelectionExplanation } from '../selection/explain-selection.ts'
import type { ConfigurationInEffect, GatewayState } from './gateway-state.ts'

/** The request that is asked about. */
export interface ExplainedRequest {
  host: string
  path: string
  /** Name of the customer whose request it would be; undefined when a key in `headers` says so, or nothing does. */
  customer: string | undefined
  headers: IncomingHttpHeaders
}

/** Where the request would go at one service of its route. */
export interface ExplainedService extends SelectionExplanation {
  service: string
  /** Weight among the services of the route. */
  weight: number
  /** Requests that wait for a target at this entry. */
  waiting: number
  /** What would happen to the request, in one sentence. */
  outcome: string
}

/** Where a request would go. */
export interface RequestExplanation {
  entry: EntryId
  /** Version of the configuration in effect; 0 for none. */
  version: number
  route?: { name: string, kind: RouteKind, priority: number }
  customer?: string
  quota?: Quota
  /** Why the request would be rejected before any target is selected. */
  rejection?: { status: number, error: ErrorKind, message: string }
  services: ExplainedService[]
}

/** Options of `explainRequest`. */
export interface ExplainRequestOptions { entry: EntryId, state: GatewayState, nowMs: number }

function describeRejection (error: AppError): Pick<RequestExplanation, 'rejection'> {
  return { rejection: { status: getErrorResponse(error.kind).status, error: error.kind, message: error.message } }
}

/** Finds the customer by the key, if there is one, else by the name given. Errors: `key-unknown`. */
function findCustomer ({ customer, headers }: ExplainedRequest, route: Route, { configuration, findCustomer: findByKey }: ConfigurationInEffect): Result<CustomerTerms | undefined, AppError> {
  if (customer === undefined || getKey(headers) !== undefined) return findRequestCustomer(headers, route, findByKey)
  const named = configuration.customers?.find(({ name }) => name === customer)
  return named ? ok(named) : err(createError('key-unknown', `The configuration in effect has no customer ${customer}.`))
}

function describeOutcome ({ targets }: SelectionExplanation, waiting: number): string {
  if (targets.length === 0) return 'rejected, since no target may get it'
  if (waiting > 0) return `it would wait behind ${waiting} requests for the first target that becomes free`
  return `the load of the first targets would be asked, ${targets[0]?.target} first`
}

function explainServices (route: Route, customer: CustomerTerms | undefined, { state, nowMs }: ExplainRequestOptions): ExplainedService[] {
  return route.services.map(({ service, weight }) => {
    const { selector } = state.getService(service)
    const explanation = selector.explain({
      customer: customer?.name,
      priority: customer?.priority ?? route.priority,
      workMs: route.targetLatencyMs * INITIAL_WORK_SHARE,
      latencyTargetAtMs: nowMs + route.targetLatencyMs,
      deadlineAtMs: nowMs + route.timeoutMs,
      crossZonePenalty: CROSS_ZONE_PENALTY[route.kind],
      excluded: new Set(),
      isTrial: false,
      isCallerGone: () => false
    })
    const waiting = selector.countWaiting()
    return { service, weight, waiting, outcome: describeOutcome(explanation, waiting), ...explanation }
  })
}

/** Explains where a request would go now. Nothing is sent, and nothing is taken from a quota or a budget; a service that was never used is created. */
export function explainRequest (request: ExplainedRequest, options: ExplainRequestOptions): RequestExplanation {
  const { entry, state } = options
  const inEffect = state.getInEffect()
  if (!inEffect) return { entry, version: 0, services: [], ...describeRejection(createError('no-configuration', 'This entry has not received a configuration yet.')) }
  const base = { entry, version: inEffect.configuration.version, services: [] }
  const route = inEffect.findRoute(request.host, request.path)
  if (!route) return { ...base, ...describeRejection(createError('unknown-route', 'No route matches this host and path.')) }
  const customer = findCustomer(request, route, inEffect)
  const routed = { ...base, route: { name: route.name, kind: route.kind, priority: route.priority } }
  if (customer.isErr()) return { ...routed, ...describeRejection(customer.error) }
  return {
    ...routed,
    ...(customer.value ? { customer: customer.value.name } : {}),
    ...(customer.value?.quota ? { quota: customer.value.quota } : {}),
    services: explainServices(route, customer.value, options)
  }
}
