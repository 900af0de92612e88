/**
 * Filters the headers that a gateway forwards between callers and targets.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { AUTHORIZATION_HEADER, CUSTOMER_HEADER, DEADLINE_HEADER, TARGET_HEADER } from '../../platform/wire-names.ts'
import type { CustomerId, TargetId } from '../../types.ts'
import { filterHeaders, joinValues, keepValues } from '../headers.ts'

/** Hop-by-hop headers, which apply to one connection only. */
const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])
/** Request headers that are not forwarded: hop-by-hop headers and those that the gateway sets. */
const DROPPED_REQUEST_HEADERS = new Set([...CONNECTION_HEADERS, 'content-length', DEADLINE_HEADER, TARGET_HEADER])

/** Of requests in a configuration with customers, the key and the customer's name that a caller states are not forwarded either. */
const DROPPED_CUSTOMER_HEADERS = new Set([...DROPPED_REQUEST_HEADERS, AUTHORIZATION_HEADER, CUSTOMER_HEADER])

/** Returns the request headers that are forwarded to a target. */
export function filterRequestHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  return filterHeaders(headers, DROPPED_REQUEST_HEADERS, joinValues)
}

/** Returns the request headers that are forwarded to a target in a configuration with customers; `customer` is undefined for a request without a key. */
export function filterCustomerHeaders (headers: IncomingHttpHeaders, customer: CustomerId | undefined): Record<string, string> {
  const forwarded = filterHeaders(headers, DROPPED_CUSTOMER_HEADERS, joinValues)
  return customer === undefined ? forwarded : { ...forwarded, [CUSTOMER_HEADER]: customer }
}

/** Adds the headers with the target's id and the time left until the deadline, in whole ms and at least 1. */
export function addAttemptHeaders (headers: Record<string, string>, target: TargetId, remainingMs: number): Record<string, string> {
  return { ...headers, [TARGET_HEADER]: target, [DEADLINE_HEADER]: String(Math.max(1, Math.floor(remainingMs))) }
}

/** Returns the response headers of a target that are forwarded to the caller. */
export function filterResponseHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]> {
  return filterHeaders(headers, CONNECTION_HEADERS, keepValues)
}
