/**
 * The client of the platform's log over HTTP. Every call has a time limit; a circuit breaker each for appends and reads
 * rejects calls after repeated failures; appends stay within this process's share of the log's append rate; and
 * connections are replaced when a request times out.
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
import { createCircuitBreaker } from './circuit-breaker.ts'
import type { BreakerPermit } from './circuit-breaker.ts'
import type { LogBounds, LogClient, LogPage, ReadOptions } from './log-client.ts'
import { createLogConnections } from './log-connections.ts'
import type { LogResponse } from './log-connections.ts'

/** Options of the client. */
export interface LogHttpClientOptions {
  /** The base URL of the log, such as `http://127.0.0.1:9000`. */
  url: string
  clock: Clock
  /** The time limit of an append, including its wait for the append budget, in ms. Default 2,000. */
  appendTimeoutMs?: number
  /** The time limit of a read on top of the wait that it requests, in ms. Default 1,000. */
  readTimeoutMs?: number
  /** The upper bound to which `readTimeoutMs` is raised while the log is slow, in ms. Default 8,000. */
  maxReadTimeoutMs?: number
  /** This process's share of the log's append rate, in appends per second. Default 40, so that six entries stay within 240. */
  appendsPerSecond?: number
  /** Returns numbers from 0 up to 1. It adds jitter, so that several processes do not make their trials at the same time. */
  random?: () => number
}

/** Counts and state of the client, as shown on the status page. */
export interface LogUse {
  /** Appends that the log confirmed. */
  appends: number
  /** Appends that the log may have stored. */
  appendsUnknown: number
  /** Appends that were certainly not stored. */
  appendsRefused: number
  reads: number
  readsFailed: number
  /** The share of the append rate, in appends per second. */
  appendsPerSecond: number
  /** Appends sent during the last complete second. */
  appendsLastSecond: number
  /** The maximum of any second so far. */
  appendsBusiestSecond: number
  /** How often the connections were replaced because a request timed out. */
  connectionsReplaced: number
  /** Whether the circuit breaker for appends is open. */
  isRefusingAppends: boolean
  /** Whether the circuit breaker for reads is open. */
  isRefusingReads: boolean
}

/** A log client that can be closed and reports its use. */
export interface LogHttpClient extends LogClient {
  /** Returns the counts and state since the start. */
  report(): LogUse
  /** Closes all connections; requests in flight fail. */
  close(): Promise<void>
}

const DEFAULTS = { appendTimeoutMs: 2_000, readTimeoutMs: 1_000, maxReadTimeoutMs: 8_000, appendsPerSecond: 40 }
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

/** Returns whether a response proves that the record was not stored. */
function isCertainlyNotStored ({ status, body }: LogResponse): boolean {
  if (status >= 400 && status < FIRST_SERVER_ERROR) return true
  // Only the log itself responds with `taken: false`; any other server error may hide an append that took effect.
  return (decodeBody(body) as { taken?: unknown } | undefined)?.taken === false
}

function decodeBody (body: Uint8Array): unknown {
  try {
    return body.length > 0 ? decode(body) : undefined
  } catch {
    return undefined
  }
}

function toAppendResult (response: LogResponse, permit: BreakerPermit): Result<Offset, AppError> {
  const offset = (decodeBody(response.body) as { offset?: unknown } | undefined)?.offset
  if (response.status === STATUS_CREATED && typeof offset === 'number') {
    permit.markSucceeded()
    return ok(offset as Offset)
  }
  if (response.status < FIRST_SERVER_ERROR) permit.markSucceeded()
  else permit.markFailed()
  return isCertainlyNotStored(response)
    ? err(createError('log-unavailable', `The log rejected the record with status ${response.status}.`))
    : err(createError('log-unknown', `The log responded to the append with status ${response.status}; it may have stored the record.`))
}

function toReadResult<T> (response: LogResponse, schema: z.ZodType<T>, permit: BreakerPermit): Result<T, AppError> {
  const value = decodeBody(response.body)
  if (response.status === STATUS_GONE) {
    permit.markSucceeded()
    return err(createError('log-gap', 'The log no longer keeps the requested records.'))
  }
  if (response.status !== STATUS_OK) {
    permit.markFailed()
    return err(createError('log-unavailable', `The log responded to the read with status ${response.status}.`))
  }
  const checked = schema.safeParse(value)
  if (!checked.success) {
    permit.markFailed()
    return err(createError('log-unavailable', 'The response of the log does not have the expected fields.'))
  }
  permit.markSucceeded()
  return ok(checked.data)
}

type LogConnections = ReturnType<typeof createLogConnections>

function createAppender (options: LogHttpClientOptions, connections: LogConnections) {
  const { clock } = options
  const { appendTimeoutMs, appendsPerSecond } = { ...DEFAULTS, ...options }
  const breaker = createCircuitBreaker(options)
  const budget = createAppendBudget({ clock, perSecond: appendsPerSecond })
  const counts = { appends: 0, appendsUnknown: 0, appendsRefused: 0 }

  const sendRecord = async (stream: StreamName, data: Uint8Array): Promise<Result<Offset, AppError>> => {
    const deadlineMs = clock.monotonicMs() + appendTimeoutMs
    if (breaker.isRefusing()) return err(createError('log-unavailable', 'Recent appends failed, so the log is not tried now; nothing was sent.'))
    if (!await budget.acquire(appendTimeoutMs / 2)) return err(createError('log-unavailable', `The budget of ${appendsPerSecond} appends per second is used up; nothing was sent.`))
    const permit = breaker.tryAcquire()
    if (!permit) return err(createError('log-unavailable', 'Recent appends failed, so the log is not tried now; nothing was sent.'))
    const sent = await connections.send({ method: 'POST', path: `/streams/${stream}/records`, limitMs: deadlineMs - clock.monotonicMs(), body: data })
    if (sent.isOk()) return toAppendResult(sent.value, permit)
    permit.markFailed()
    const kind = sent.error.isNeverSent ? 'log-unavailable' : 'log-unknown'
    return err(createError(kind, `The log did not respond to the append: ${describeCause(sent.error.cause)}.`, sent.error.cause))
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
  const { readTimeoutMs, maxReadTimeoutMs } = { ...DEFAULTS, ...options }
  const breaker = createCircuitBreaker(options)
  const counts = { reads: 0, readsFailed: 0 }
  let timeoutMs = readTimeoutMs

  const sendRead = async <T>(path: string, schema: z.ZodType<T>, waitMs: number, signal?: AbortSignal): Promise<Result<T, AppError>> => {
    const permit = breaker.tryAcquire()
    if (!permit) return err(createError('log-unavailable', 'Recent reads failed, so the log is not tried now.'))
    const sent = await connections.send({ method: 'GET', path, limitMs: timeoutMs + waitMs, signal })
    if (sent.isOk()) {
      timeoutMs = Math.max(readTimeoutMs, timeoutMs / 2)
      return toReadResult(sent.value, schema, permit)
    }
    if (signal?.aborted) permit.release()
    else permit.markFailed()
    // With a fixed limit, a log that is always slower than the limit could never be read.
    if (sent.error.isTimeout) timeoutMs = Math.min(maxReadTimeoutMs, timeoutMs * 2)
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

/** Creates a client of the log; connections are opened when first used. */
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
