/**
 * The client of the platform's log over HTTP: bounded waits, one trial call after failures, a share of the log's
 * appends, and fresh connections when the old ones have gone silent.
 */
import { decode } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Clock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Offset, StreamName } from '../types.ts'
import { createAppendBudget } from './append-budget.ts'
import { createBreaker } from './log-breaker.ts'
import type { BreakerPermit } from './log-breaker.ts'
import type { LogBounds, LogClient, LogPage, ReadOptions } from './log-client.ts'
import { createLogConnections } from './log-connections.ts'
import type { LogAnswer } from './log-connections.ts'

/** How the client reaches the log. */
export interface LogHttpClientOptions {
  /** Base address, such as `http://127.0.0.1:9000`. */
  url: string
  clock: Clock
  /** The longest that an append may take, its wait for a turn included, in ms. Default 2,000. */
  appendTimeoutMs?: number
  /** How long a read may take beyond the wait that it asked for, in ms. Default 1,000. */
  readTimeoutMs?: number
  /** What `readTimeoutMs` grows to while the log is slow, in ms. Default 8,000. */
  longestReadTimeoutMs?: number
  /** This process's share of the log's appends a second. Default 40: six entries stay under 240. */
  appendsPerSecond?: number
  /** Gives numbers from 0 up to 1; spreads the trials of several processes. */
  random?: () => number
}

/** What the client has used of the log. */
export interface LogUse {
  /** Appends that were answered, that may have been taken, and that were certainly not. */
  appends: number
  appendsUnknown: number
  appendsRefused: number
  reads: number
  readsFailed: number
  /** The share of appends a second, what the last whole second used of it, and the busiest second. */
  appendsPerSecond: number
  appendsLastSecond: number
  appendsBusiestSecond: number
  /** Times that the connections were replaced because an answer stayed out. */
  connectionsReplaced: number
  isRefusingAppends: boolean
  isRefusingReads: boolean
}

/** The client with its end. */
export interface LogHttpClient extends LogClient {
  report(): LogUse
  close(): Promise<void>
}

const DEFAULTS = { appendTimeoutMs: 2_000, readTimeoutMs: 1_000, longestReadTimeoutMs: 8_000, appendsPerSecond: 40 }
const STATUS_OK = 200
const STATUS_CREATED = 201
const STATUS_GONE = 410
const FIRST_SERVER_ERROR = 500

const offsetSchema = z.number().int().nonnegative().transform((offset) => offset as Offset)
const boundsSchema: z.ZodType<LogBounds> = z.object({ earliest: offsetSchema, next: offsetSchema })
const pageSchema: z.ZodType<LogPage> = z.object({
  records: z.array(z.object({ offset: offsetSchema, appendedAtMs: z.number(), data: z.instanceof(Uint8Array) })),
  nextOffset: offsetSchema,
  bounds: boundsSchema
})

/** Returns whether an answer proves that the record was not taken. */
function isCertainlyNotTaken ({ status, body }: LogAnswer): boolean {
  if (status >= 400 && status < FIRST_SERVER_ERROR) return true
  // The log's own word; any other failure may hide a write that took effect.
  return (decodeBody(body) as { taken?: unknown } | undefined)?.taken === false
}

function decodeBody (body: Uint8Array): unknown {
  try {
    return body.length > 0 ? decode(body) : undefined
  } catch {
    return undefined
  }
}

function toAppendResult (answer: LogAnswer, permit: BreakerPermit): Result<Offset, AppError> {
  const offset = (decodeBody(answer.body) as { offset?: unknown } | undefined)?.offset
  if (answer.status === STATUS_CREATED && typeof offset === 'number') {
    permit.markSucceeded()
    return ok(offset as Offset)
  }
  if (answer.status < FIRST_SERVER_ERROR) permit.markSucceeded()
  else permit.markFailed()
  return isCertainlyNotTaken(answer)
    ? err(createError('log-unavailable', `The log refused the record with status ${answer.status}.`))
    : err(createError('log-unknown', `The log answered ${answer.status}.`))
}

function toReadResult<T> (answer: LogAnswer, schema: z.ZodType<T>, permit: BreakerPermit): Result<T, AppError> {
  const value = decodeBody(answer.body)
  if (answer.status === STATUS_GONE) {
    permit.markSucceeded()
    return err(createError('log-gap', 'The log no longer keeps the records asked for.'))
  }
  if (answer.status !== STATUS_OK) {
    permit.markFailed()
    return err(createError('log-unavailable', `The log answered ${answer.status}.`))
  }
  const checked = schema.safeParse(value)
  if (!checked.success) {
    permit.markFailed()
    return err(createError('log-unavailable', 'The log gave an answer that cannot be understood.'))
  }
  permit.markSucceeded()
  return ok(checked.data)
}

type LogConnections = ReturnType<typeof createLogConnections>

function createAppender (options: LogHttpClientOptions, connections: LogConnections) {
  const { clock } = options
  const { appendTimeoutMs, appendsPerSecond } = { ...DEFAULTS, ...options }
  const breaker = createBreaker(options)
  const budget = createAppendBudget({ clock, perSecond: appendsPerSecond })
  const counts = { appends: 0, appendsUnknown: 0, appendsRefused: 0 }

  const sendRecord = async (stream: StreamName, data: Uint8Array): Promise<Result<Offset, AppError>> => {
    const deadlineMs = clock.monotonicMs() + appendTimeoutMs
    if (breaker.isRefusing()) return err(createError('log-unavailable', 'The log is not answering; nothing was sent.'))
    if (!await budget.take(appendTimeoutMs / 2)) return err(createError('log-unavailable', `The share of ${appendsPerSecond} appends a second is used up; nothing was sent.`))
    const permit = breaker.tryEnter()
    if (!permit) return err(createError('log-unavailable', 'The log is not answering; nothing was sent.'))
    const sent = await connections.send({ method: 'POST', path: `/streams/${stream}/records`, limitMs: deadlineMs - clock.monotonicMs(), body: data })
    if (sent.isOk()) return toAppendResult(sent.value, permit)
    permit.markFailed()
    const kind = sent.error.isNeverSent ? 'log-unavailable' : 'log-unknown'
    return err(createError(kind, `The append was not answered: ${describeCause(sent.error.cause)}.`, sent.error.cause))
  }

  return {
    async append (stream: StreamName, data: Uint8Array): Promise<Result<Offset, AppError>> {
      const result = await sendRecord(stream, data)
      if (result.isOk()) counts.appends += 1
      else if (result.error.kind === 'log-unknown') counts.appendsUnknown += 1
      else counts.appendsRefused += 1
      return result
    },
    report: () => {
      const { lastSecond, busiestSecond } = budget.report()
      return { ...counts, appendsPerSecond, appendsLastSecond: lastSecond, appendsBusiestSecond: busiestSecond, isRefusingAppends: breaker.isOpen() }
    }
  }
}

function createReader (options: LogHttpClientOptions, connections: LogConnections) {
  const { readTimeoutMs, longestReadTimeoutMs } = { ...DEFAULTS, ...options }
  const breaker = createBreaker(options)
  const counts = { reads: 0, readsFailed: 0 }
  let timeoutMs = readTimeoutMs

  const sendRead = async <T>(path: string, schema: z.ZodType<T>, waitMs: number, signal?: AbortSignal): Promise<Result<T, AppError>> => {
    const permit = breaker.tryEnter()
    if (!permit) return err(createError('log-unavailable', 'The log is not answering.'))
    const sent = await connections.send({ method: 'GET', path, limitMs: timeoutMs + waitMs, signal })
    if (sent.isOk()) {
      timeoutMs = Math.max(readTimeoutMs, timeoutMs / 2)
      return toReadResult(sent.value, schema, permit)
    }
    if (signal?.aborted) permit.release()
    else permit.markFailed()
    // A log that is slow throughout is still read, though later.
    if (sent.error.isTimeout) timeoutMs = Math.min(longestReadTimeoutMs, timeoutMs * 2)
    return err(createError('log-unavailable', `The log could not be read: ${describeCause(sent.error.cause)}.`, sent.error.cause))
  }

  return {
    async read<T> (path: string, schema: z.ZodType<T>, waitMs: number, signal?: AbortSignal): Promise<Result<T, AppError>> {
      const result = await sendRead(path, schema, waitMs, signal)
      if (result.isOk()) counts.reads += 1
      else counts.readsFailed += 1
      return result
    },
    report: () => ({ ...counts, isRefusingReads: breaker.isOpen() })
  }
}

function formatReadPath (stream: StreamName, from: Offset, { limit, waitMs }: ReadOptions): string {
  const query = new URLSearchParams({ from: String(from) })
  if (limit !== undefined) query.set('limit', String(limit))
  if (waitMs !== undefined) query.set('waitMs', String(waitMs))
  return `/streams/${stream}/records?${query}`
}

/** Creates a client of the log. */
export function createHttpLogClient (options: LogHttpClientOptions): LogHttpClient {
  const connections = createLogConnections(options)
  const appender = createAppender(options, connections)
  const reader = createReader(options, connections)
  return {
    append: appender.append,
    read: (stream, from, readOptions = {}) =>
      reader.read(formatReadPath(stream, from, readOptions), pageSchema, readOptions.waitMs ?? 0, readOptions.signal),
    readBounds: (stream) => reader.read(`/streams/${stream}`, boundsSchema, 0),
    report: () => ({ ...appender.report(), ...reader.report(), connectionsReplaced: connections.getReplacedCount() }),
    close: connections.close
  }
}
