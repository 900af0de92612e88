/**
 * Headers that pass between callers and targets, and those that the entry adds.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { ContractVersion, ExecutionStatus, RequestId } from '../types.ts'

/** Execution status of the request: `ran`, `not-run` or `unknown`. */
export const EXECUTION_STATUS_HEADER = 'x-medlarcove-fate'
/** Version of the contract that the request was served by. */
export const VERSION_HEADER = 'x-medlarcove-version'
/** Request id, sent to targets, which may echo it. */
export const REQUEST_ID_HEADER = 'x-request-id'
/** Attempt number, 1 for the first. */
export const ATTEMPT_HEADER = 'x-medlarcove-attempt'
/** Time left until the deadline, in ms. */
export const DEADLINE_HEADER = 'x-medlarcove-deadline-ms'
/** Set on a stored response that is returned to a repeated request. */
export const REPEATED_HEADER = 'x-medlarcove-repeated'
/** Set on the responses of a target that is leaving. */
export const LEAVING_HEADER = 'x-target-leaving'

/** Request headers that apply to one connection only (hop-by-hop), and those that the entry sets itself. */
const DROPPED_REQUEST_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding',
  'upgrade', 'expect', 'host', 'content-length', REQUEST_ID_HEADER, ATTEMPT_HEADER, DEADLINE_HEADER, EXECUTION_STATUS_HEADER,
  VERSION_HEADER
])
/** Response headers that apply to one connection only, and those that the entry sets or handles itself. */
const DROPPED_RESPONSE_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  REQUEST_ID_HEADER, LEAVING_HEADER, EXECUTION_STATUS_HEADER, VERSION_HEADER
])

const NO_HEADERS: ReadonlySet<string> = new Set()

/** Lists the hop-by-hop headers that a `Connection` header names. */
export function listConnectionHeaders (connection: string | undefined): ReadonlySet<string> {
  if (!connection || connection === 'keep-alive' || connection === 'close') return NO_HEADERS
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()))
}

/** Value of a header in a received message. */
type HeaderValue = string | string[]

/** Returns the headers that are neither dropped nor named by the `Connection` header, each value converted by `toValue`. */
export function filterHeaders<V extends HeaderValue> (
  headers: IncomingHttpHeaders, dropped: ReadonlySet<string>, toValue: (value: HeaderValue) => V
): Record<string, V> {
  const connectionHeaders = listConnectionHeaders(headers.connection)
  const passed: Record<string, V> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !dropped.has(name) && !connectionHeaders.has(name)) passed[name] = toValue(value)
  }
  return passed
}

/** Joins the values of a header that occurs several times. */
export function joinValues (value: HeaderValue): string {
  return Array.isArray(value) ? value.join(', ') : value
}

/** Returns the values of a header unchanged. */
export function keepValues (value: HeaderValue): HeaderValue {
  return value
}

/** Returns the request headers that are forwarded to a target. */
export function filterCallerHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  return filterHeaders(headers, DROPPED_REQUEST_HEADERS, joinValues)
}

/** Returns the headers with those added that the entry sets for a target; `remainingMs` is the time to the deadline. */
export function addTargetHeaders (headers: Record<string, string>, id: RequestId, attempt: number, remainingMs: number): Record<string, string> {
  return {
    ...headers,
    [REQUEST_ID_HEADER]: id,
    [ATTEMPT_HEADER]: String(attempt),
    [DEADLINE_HEADER]: String(Math.max(0, Math.round(remainingMs)))
  }
}

/** Returns the response headers that are forwarded to the caller, with execution status and contract version. */
export function filterResponseHeaders (headers: IncomingHttpHeaders, fate: ExecutionStatus, version: ContractVersion): Record<string, string | string[]> {
  const passed = filterHeaders(headers, DROPPED_RESPONSE_HEADERS, keepValues)
  passed[EXECUTION_STATUS_HEADER] = fate
  passed[VERSION_HEADER] = String(version)
  return passed
}
