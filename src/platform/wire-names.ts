/**
 * Names and formats of the platform on requests, answers and address answers.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { LoadReport } from '../request/placement/load-report.ts'
import { toBrand } from '../types.ts'
import type { RequestId, TargetId } from '../types.ts'
import { formatDuration } from './durations.ts'

/** Names one attempt of a caller; targets echo it. */
export const ATTEMPT_ID_HEADER = 'medlarcove-attempt-id'
/** How long the caller still waits, in ms. */
export const DEADLINE_HEADER = 'medlarcove-deadline-ms'
/** Names the target that is meant; any other refuses the request unrun with status 421. */
export const TARGET_HEADER = 'medlarcove-target-instance'
/** The target that answers a health check or refuses a request meant for another. */
const INSTANCE_HEADER = 'medlarcove-instance-id'
/** On an answer: the target did not run the request. */
const NOT_EXECUTED_HEADER = 'medlarcove-not-executed'
const LOAD_HEADER = 'medlarcove-upstream-load'
/** Only on answers that a target made. */
const SIGNATURE_HEADER = 'medlarcove-response-signature'

const STATUS_MISDIRECTED = 421
const PERCENT = 100

function getText (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Returns the id of a caller's attempt, or the one that an answer echoes. */
export function getAttemptId (headers: IncomingHttpHeaders): RequestId | undefined {
  const text = getText(headers, ATTEMPT_ID_HEADER)
  return text ? toBrand<RequestId>(text) : undefined
}

/** Returns how long a caller still waits, in ms; undefined when it says nothing that can be read. */
export function getDeadlineMs (headers: IncomingHttpHeaders): number | undefined {
  const value = Number(getText(headers, DEADLINE_HEADER) ?? NaN)
  return Number.isFinite(value) && value >= 0 ? value : undefined
}

/** Whether an answer says that the target did not run the request and never will. */
export function isNotExecuted (status: number, headers: IncomingHttpHeaders): boolean {
  return headers[NOT_EXECUTED_HEADER] !== undefined || (status === STATUS_MISDIRECTED && headers[SIGNATURE_HEADER] === undefined)
}

/** Whether an answer came from another target than the one that was meant. */
export function isMisdirected (status: number, headers: IncomingHttpHeaders): boolean {
  return status === STATUS_MISDIRECTED && headers[SIGNATURE_HEADER] === undefined
}

/** Returns the id of the target that answered a health check. */
export function getInstanceId (headers: IncomingHttpHeaders): TargetId | undefined {
  const text = getText(headers, INSTANCE_HEADER)
  return text ? toBrand<TargetId>(text) : undefined
}

/** Decodes the load that a target tells on an answer: running, waiting, slots, and the time that work takes in percent of the usual. */
export function decodeLoad (headers: IncomingHttpHeaders): LoadReport | undefined {
  const text = getText(headers, LOAD_HEADER)
  if (text === undefined) return undefined
  const [running = NaN, waiting = NaN, slots = NaN, workPercent = PERCENT] = text.split(',').map(Number)
  if (!(running >= 0 && waiting >= 0 && slots > 0)) return undefined
  return { running, waiting, slots, slowdown: workPercent > 0 ? workPercent / PERCENT : 1 }
}

/** Formats the answer to a caller that asks which entries to use. */
export function formatAddresses (addresses: readonly string[], lifetimeMs: number): { addresses: readonly string[], ttl: string } {
  return { addresses, ttl: formatDuration(lifetimeMs) }
}
