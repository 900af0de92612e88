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

/** Returns the caller's headers that go on to a target. */
export function filterCallerHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  const own = listConnectionHeaders(headers.connection)
  const passed: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || DROPPED_HEADERS.has(name) || own.has(name)) continue
    passed[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return passed
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
  const own = listConnectionHeaders(headers.connection)
  const passed: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || DROPPED_ANSWER_HEADERS.has(name) || own.has(name)) continue
    passed[name] = value
  }
  passed[FATE_HEADER] = fate
  passed[VERSION_HEADER] = String(version)
  return passed
}
