/**
 * Which headers pass between callers and targets, and those that the entry adds.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { ContractVersion, Fate, RequestId } from '../types.ts'

export const FATE_HEADER = 'x-medlarcove-fate'
export const VERSION_HEADER = 'x-medlarcove-version'
export const REQUEST_ID_HEADER = 'x-request-id'
export const ATTEMPT_HEADER = 'x-medlarcove-attempt'
export const DEADLINE_HEADER = 'x-medlarcove-deadline-ms'
/** Set on the kept answer that a repeated attempt gets. */
export const REPEATED_HEADER = 'x-medlarcove-repeated'
export const LEAVING_HEADER = 'x-target-leaving'

/** Headers that concern one connection only, and those that the entry sets itself. */
const DROPPED_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding',
  'upgrade', 'expect', 'host', 'content-length', REQUEST_ID_HEADER, ATTEMPT_HEADER, DEADLINE_HEADER, FATE_HEADER,
  VERSION_HEADER
])
const DROPPED_ANSWER_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  REQUEST_ID_HEADER, LEAVING_HEADER, FATE_HEADER, VERSION_HEADER
])

const NO_HEADERS: ReadonlySet<string> = new Set()

/** Lists the headers that a `Connection` header names as its own. */
export function listConnectionHeaders (connection: string | undefined): ReadonlySet<string> {
  if (!connection || connection === 'keep-alive' || connection === 'close') return NO_HEADERS
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()))
}

/** A header's value as it stands in a message that was received. */
type HeaderValue = string | string[]

/** Returns the headers that are neither dropped nor named by the `Connection` header, each value converted by `toValue`. */
export function filterHeaders<V extends HeaderValue> (
  headers: IncomingHttpHeaders, dropped: ReadonlySet<string>, toValue: (value: HeaderValue) => V
): Record<string, V> {
  const own = listConnectionHeaders(headers.connection)
  const passed: Record<string, V> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !dropped.has(name) && !own.has(name)) passed[name] = toValue(value)
  }
  return passed
}

/** Joins the values of a repeated header into one. */
export function joinValues (value: HeaderValue): string {
  return Array.isArray(value) ? value.join(', ') : value
}

/** Leaves the values of a repeated header apart. */
export function keepValues (value: HeaderValue): HeaderValue {
  return value
}

/** Returns the caller's headers that go on to a target. */
export function filterCallerHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  return filterHeaders(headers, DROPPED_HEADERS, joinValues)
}

/** Adds the headers that the entry sets towards a target. */
export function addTargetHeaders (headers: Record<string, string>, id: RequestId, attempt: number, remainingMs: number): Record<string, string> {
  return {
    ...headers,
    [REQUEST_ID_HEADER]: id,
    [ATTEMPT_HEADER]: String(attempt),
    [DEADLINE_HEADER]: String(Math.max(0, Math.round(remainingMs)))
  }
}

/** Returns the headers of an answer that go on to the caller, with fate and contract version. */
export function filterAnswerHeaders (headers: IncomingHttpHeaders, fate: Fate, version: ContractVersion): Record<string, string | string[]> {
  const passed = filterHeaders(headers, DROPPED_ANSWER_HEADERS, keepValues)
  passed[FATE_HEADER] = fate
  passed[VERSION_HEADER] = String(version)
  return passed
}
