/**
 * Which headers pass between callers and targets at a gateway.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { DEADLINE_HEADER, TARGET_HEADER } from '../../platform/wire-names.ts'
import type { TargetId } from '../../types.ts'
import { filterHeaders, joinValues, keepValues } from '../headers.ts'

/** Headers that concern one connection only. */
const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])
/** Those, and the ones that the gateway sets itself. */
const DROPPED_REQUEST_HEADERS = new Set([...CONNECTION_HEADERS, 'content-length', DEADLINE_HEADER, TARGET_HEADER])

/** Returns the caller's headers that go on to a target. */
export function filterRequestHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  return filterHeaders(headers, DROPPED_REQUEST_HEADERS, joinValues)
}

/** Adds the headers that name the target and the time that is left, in ms. */
export function addAttemptHeaders (headers: Record<string, string>, target: TargetId, remainingMs: number): Record<string, string> {
  return { ...headers, [TARGET_HEADER]: target, [DEADLINE_HEADER]: String(Math.max(1, Math.floor(remainingMs))) }
}

/** Returns the headers of a target's answer that go on to the caller. */
export function filterResponseHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]> {
  return filterHeaders(headers, CONNECTION_HEADERS, keepValues)
}
