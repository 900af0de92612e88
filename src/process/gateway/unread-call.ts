/**
 * A caller's request that the configuration in effect allows, before and after its body has been read.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { Clock } from '../../clock.ts'
import type { RequestPlace } from '../../connection/pipelined-requests.ts'
import { getDeadlineMs } from '../../platform/wire-names.ts'
import type { GatewayCall } from '../../request/gateway/gateway-call.ts'
import { filterCustomerHeaders, filterRequestHeaders } from '../../request/gateway/gateway-headers.ts'
import { createRequestAdmission } from '../../request/gateway/request-admission.ts'
import { createFingerprintReader } from '../../request/request-fingerprint.ts'
import type { CallerWaits } from '../../request/selection/caller-waits.ts'
import type { RequestId } from '../../types.ts'
import type { Route } from '../../version/configuration.ts'
import type { CustomerTerms } from '../../version/customer-keys.ts'
import type { RequestQuarantine } from '../quarantine/request-quarantine.ts'
import type { WorkMeter } from '../selection/work-meter.ts'
import type { ConfigurationInEffect, GatewayState } from './gateway-state.ts'
import type { Shutdown } from './shutdown.ts'

/** A request that the configuration in effect allows. */
export interface RoutedRequest {
  id: RequestId
  route: Route
  customer: CustomerTerms | undefined
  inEffect: ConfigurationInEffect
  place: RequestPlace
}

/** A request whose body has not been read yet. */
export type UnreadCall = Omit<GatewayCall, 'body' | 'bodyHolders' | 'getFingerprint' | 'admission'>

/** The parts of an entry that its calls use. */
export interface CallParts {
  state: Pick<GatewayState, 'getService'>
  clock: Clock
  shutdown: Shutdown
  workMeter: WorkMeter
  callerWaits: CallerWaits
}

/** Subtracted from the caller's deadline, for the transfer of the response to the caller, in ms. */
const RESPONSE_MARGIN_MS = 5

/** Creates the call of a request whose body has not been read. */
export function createUnreadCall (incoming: IncomingMessage, { id, route, customer, inEffect, place }: RoutedRequest, parts: CallParts): UnreadCall {
  const { state, clock, shutdown, workMeter, callerWaits } = parts
  const { arrivedAtMs } = place
  const statedMs = getDeadlineMs(incoming.headers)
  const deadlineMs = statedMs ?? route.timeoutMs
  const leftMs = Math.min(route.timeoutMs, Math.max(1, deadlineMs - RESPONSE_MARGIN_MS))
  const service = state.getService(inEffect.selectService(route))
  const { version } = inEffect.configuration
  return {
    id,
    route,
    version,
    service,
    customer,
    priority: customer?.priority ?? route.priority,
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers: inEffect.findCustomer ? filterCustomerHeaders(incoming.headers, customer?.name) : filterRequestHeaders(incoming.headers),
    startedAtMs: arrivedAtMs,
    waitedBeforeMs: inEffect.findCustomer && statedMs !== undefined ? callerWaits.recordDeadline(route.name, statedMs, arrivedAtMs) : 0,
    deadlineAtMs: arrivedAtMs + leftMs,
    caller: place.caller,
    place,
    shutdown,
    workMeter,
    clock,
    record: { id, route: route.name, service: service.name, customer: customer?.name, version, leftMs, attempts: [], tookMs: 0 }
  }
}

/** Adds the body that was read to a call. */
export function addBody (call: UnreadCall, { host = '', authorization = '' }: IncomingHttpHeaders, { body, bodyHolders }: Pick<GatewayCall, 'body' | 'bodyHolders'>, quarantine: RequestQuarantine): GatewayCall {
  const { method, path, customer } = call
  // All keys of a customer ask for the same work.
  const getFingerprint = createFingerprintReader({ method, host, path, authorization: customer?.name ?? authorization, body })
  return { ...call, body, bodyHolders, getFingerprint, admission: createRequestAdmission({ ...call, quarantine, getFingerprint }) }
}
