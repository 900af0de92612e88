/**
 * The platform's headers on requests and responses, and the format of its address responses.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { LoadReport } from '../request/selection/load-report.ts'
import type { AdvertisedLimit } from '../request/selection/advertised-limit.ts'
import type { TargetNotices } from '../request/selection/target-notices.ts'
import { toBrand } from '../types.ts'
import type { RequestId, TargetId, ZoneId } from '../types.ts'
import { formatDuration } from './durations.ts'

/** The id of one attempt of a caller; targets echo it. */
export const ATTEMPT_ID_HEADER = 'medlarcove-attempt-id'
/** How long the caller will still wait for the response, in ms: a duration, not an instant. */
export const DEADLINE_HEADER = 'medlarcove-deadline-ms'
/** The id of the intended target; any other target rejects the request without running it, with status 421. */
export const TARGET_HEADER = 'medlarcove-target-instance'
/** The name of the customer that holds the request's key, for the target. */
export const CUSTOMER_HEADER = 'medlarcove-tenant'
/** The caller's key, as `Token KEY`. */
export const AUTHORIZATION_HEADER = 'authorization'
const KEY_PATTERN = /^Token +(\S+)$/i
/** The id of the target that sent the response, on health checks and on requests rejected with status 421. */
const INSTANCE_HEADER = 'medlarcove-instance-id'
/** On a response: the target did not run the request. */
const NOT_EXECUTED_HEADER = 'medlarcove-not-executed'
/** The load report of the target that sent the response. */
const LOAD_HEADER = 'medlarcove-upstream-load'
/** On a response: the requests per second that the target accepts from all entries together, as a decimal number. */
const LIMIT_HEADER = 'server-limit'
/** On a response: `1` when the target is leaving. */
const LEAVING_HEADER = 'server-leaving'
/** On a response to a health check: for how many ms the target stays cold, as a decimal number. */
const COLD_HEADER = 'medlarcove-warmup-ms'
/** On a rejection with status 503: for how many seconds the target wants no requests of the entry, as a decimal number. */
const RETRY_AFTER_HEADER = 'retry-after'
/** Set on responses of the target that handled the request; absent when a target rejects a misdirected request. */
const FIRST_SUCCESS_STATUS = 200
const LAST_SUCCESS_STATUS = 299
const SIGNATURE_HEADER = 'medlarcove-response-signature'

const STATUS_MISDIRECTED = 421
const DECIMAL_PATTERN = /^\d+(\.\d+)?$/
const STATUS_UNAVAILABLE = 503
/** Statuses by which an entry promises to a caller that a request did not run. Of a target they promise nothing by themselves. */
const NOT_RUN_STATUSES = new Set([408, STATUS_MISDIRECTED, 429, STATUS_UNAVAILABLE])
const PERCENT = 100
const MS_PER_SECOND = 1_000
/** A target that says that it stays cold for longer states this time again with its next response. */
const MAX_COLD_MS = 600_000

function getText (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Returns the attempt id of a request, or the one that a response echoes. */
export function getAttemptId (headers: IncomingHttpHeaders): RequestId | undefined {
  const text = getText(headers, ATTEMPT_ID_HEADER)
  return text ? toBrand<RequestId>(text) : undefined
}

/** Returns how long a caller will still wait, in ms; undefined when the header is absent or invalid. */
export function getDeadlineMs (headers: IncomingHttpHeaders): number | undefined {
  const value = Number(getText(headers, DEADLINE_HEADER) ?? NaN)
  return Number.isFinite(value) && value >= 0 ? value : undefined
}

/** Returns the key that a request carries; undefined without a well-formed one. */
export function getKey (headers: IncomingHttpHeaders): string | undefined {
  return KEY_PATTERN.exec(headers[AUTHORIZATION_HEADER]?.trim() ?? '')?.[1]
}

/** Returns whether a response states that the target did not run the request and never will. */
export function isNotExecuted (status: number, headers: IncomingHttpHeaders): boolean {
  return headers[NOT_EXECUTED_HEADER] !== undefined || (status === STATUS_MISDIRECTED && headers[SIGNATURE_HEADER] === undefined)
}

/** Returns whether a status promises to a caller that its request did not run and never will. */
export function isNotRunStatus (status: number): boolean {
  return NOT_RUN_STATUSES.has(status)
}

/** Returns whether a response came from a target other than the intended one. */
export function isMisdirected (status: number, headers: IncomingHttpHeaders): boolean {
  return status === STATUS_MISDIRECTED && headers[SIGNATURE_HEADER] === undefined
}

/** Returns whether a response claims success without the signature that a target adds to its responses: it was damaged. */
export function isUnsignedSuccess (status: number, headers: IncomingHttpHeaders): boolean {
  return status >= FIRST_SUCCESS_STATUS && status <= LAST_SUCCESS_STATUS && headers[SIGNATURE_HEADER] === undefined
}

/** Returns the id of the target that responded to a health check. */
export function getInstanceId (headers: IncomingHttpHeaders): TargetId | undefined {
  const text = getText(headers, INSTANCE_HEADER)
  return text ? toBrand<TargetId>(text) : undefined
}

/**
 * Decodes the load report on a response: running requests, waiting requests, slots, and the current duration of work in
 * percent of the usual one (100 when absent). Returns undefined when there is no valid report.
 */
export function decodeLoadReport (headers: IncomingHttpHeaders): LoadReport | undefined {
  const text = getText(headers, LOAD_HEADER)
  if (text === undefined) return undefined
  const [running = NaN, waiting = NaN, slots = NaN, workPercent = PERCENT] = text.split(',').map(Number)
  if (!(running >= 0 && waiting >= 0 && slots > 0)) return undefined
  return { running, waiting, slots, slowdown: workPercent > 0 ? workPercent / PERCENT : 1 }
}

/** Decodes the rate limit that a target advertises on a response. */
function decodeAdvertisedLimit (headers: IncomingHttpHeaders): AdvertisedLimit {
  const text = getText(headers, LIMIT_HEADER)?.trim()
  if (text === undefined) return { kind: 'unlimited' }
  return DECIMAL_PATTERN.test(text) ? { kind: 'limited', perSecond: Number(text) } : { kind: 'malformed', text }
}

function decodePauseMs (status: number, headers: IncomingHttpHeaders): number | undefined {
  const text = getText(headers, RETRY_AFTER_HEADER)?.trim() ?? ''
  return status === STATUS_UNAVAILABLE && DECIMAL_PATTERN.test(text) ? Number(text) * MS_PER_SECOND : undefined
}

function decodeColdForMs (headers: IncomingHttpHeaders): number | undefined {
  const text = getText(headers, COLD_HEADER)?.trim() ?? ''
  return DECIMAL_PATTERN.test(text) ? Math.min(Number(text), MAX_COLD_MS) : undefined
}

/** Decodes what a target says about itself on a response, besides its load. */
export function decodeTargetNotices (status: number, headers: IncomingHttpHeaders): TargetNotices {
  return {
    limit: decodeAdvertisedLimit(headers),
    isLeaving: getText(headers, LEAVING_HEADER)?.trim() === '1',
    pauseMs: decodePauseMs(status, headers),
    coldForMs: decodeColdForMs(headers)
  }
}

/** Returns the zone that a caller states when it asks which entries to use; undefined when it states none. */
export function getCallerZone (query: string): ZoneId | undefined {
  const zone = new URLSearchParams(query).get('zone')
  return zone ? toBrand<ZoneId>(zone) : undefined
}

/** Formats the response to a caller that asks which entries to use. */
export function formatAddresses (addresses: readonly string[], lifetimeMs: number): { addresses: readonly string[], ttl: string } {
  return { addresses, ttl: formatDuration(lifetimeMs) }
}
