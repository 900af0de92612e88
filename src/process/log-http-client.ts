/**
 * The client of the platform's log over HTTP.
 */
import { decode } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Pool } from 'undici'
import type { Clock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Offset, StreamName } from '../types.ts'
import type { LogBounds, LogClient, LogPage, ReadOptions } from './log-client.ts'

/** How the client reaches the log. */
export interface LogHttpClientOptions {
  /** Base address, such as `http://127.0.0.1:9000`. */
  url: string
  clock: Clock
  /** The longest that an append or a read that does not wait may take, in ms. */
  timeoutMs?: number
}

/** The client with its end. */
export interface LogHttpClient extends LogClient {
  close(): Promise<void>
}

const DEFAULT_TIMEOUT_MS = 2_000
const STATUS_CREATED = 201
const STATUS_GONE = 410
/** Failures in which no byte of the request can have left this process. */
const NEVER_SENT_CODES: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

function isNeverSent (cause: unknown): boolean {
  const code = (cause as { code?: unknown } | undefined)?.code
  return typeof code === 'string' && NEVER_SENT_CODES.includes(code)
}

interface Answer { status: number, value: unknown }

/** Creates a client of the log. */
export function createHttpLogClient (options: LogHttpClientOptions): LogHttpClient {
  const { clock } = options
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  const pool = new Pool(options.url, { headersTimeout: 0, bodyTimeout: 0 })

  const send = async (method: 'GET' | 'POST', path: string, limitMs: number, body?: Uint8Array, signal?: AbortSignal): Promise<Answer> => {
    const stop = new AbortController()
    const stopEarly = () => stop.abort()
    const cancel = clock.startTimer(limitMs, stopEarly)
    signal?.addEventListener('abort', stopEarly, { once: true })
    try {
      const answer = await pool.request({ method, path, body, signal: stop.signal })
      const bytes = new Uint8Array(await answer.body.arrayBuffer())
      return { status: answer.statusCode, value: bytes.length > 0 ? decode(bytes) : undefined }
    } finally {
      cancel()
      signal?.removeEventListener('abort', stopEarly)
    }
  }

  const read = async <T>(path: string, limitMs: number, signal?: AbortSignal): Promise<Result<T, AppError>> => {
    try {
      const answer = await send('GET', path, limitMs, undefined, signal)
      if (answer.status === STATUS_GONE) return err(createError('log-gap', 'The log no longer keeps the records asked for.'))
      if (answer.status !== 200) return err(createError('log-unavailable', `The log answered ${answer.status}.`))
      return ok(answer.value as T)
    } catch (cause) {
      return err(createError('log-unavailable', `The log could not be read: ${describeCause(cause)}.`, cause))
    }
  }

  return {
    async append (stream: StreamName, data: Uint8Array): Promise<Result<Offset, AppError>> {
      try {
        const answer = await send('POST', `/streams/${stream}/records`, timeoutMs, data)
        if (answer.status === STATUS_CREATED) return ok((answer.value as { offset: Offset }).offset)
        return err(createError('log-unknown', `The log answered ${answer.status}.`))
      } catch (cause) {
        const kind = isNeverSent(cause) ? 'log-unavailable' : 'log-unknown'
        return err(createError(kind, `The append was not answered: ${describeCause(cause)}.`, cause))
      }
    },
    read: (stream: StreamName, from: Offset, readOptions: ReadOptions = {}) => {
      const query = new URLSearchParams({ from: String(from) })
      if (readOptions.limit !== undefined) query.set('limit', String(readOptions.limit))
      if (readOptions.waitMs !== undefined) query.set('waitMs', String(readOptions.waitMs))
      return read<LogPage>(`/streams/${stream}/records?${query}`, timeoutMs + (readOptions.waitMs ?? 0), readOptions.signal)
    },
    readBounds: (stream: StreamName) => read<LogBounds>(`/streams/${stream}`, timeoutMs),
    close: () => pool.destroy()
  }
}
