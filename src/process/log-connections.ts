/**
 * The HTTP connections to the log. When a request times out, later requests use new connections.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Pool } from 'undici'
import type { Clock } from '../clock.ts'

/** One HTTP request to the log. */
export interface LogExchange {
  method: 'GET' | 'POST'
  path: string
  /** The time limit until the complete response has arrived, in ms. */
  limitMs: number
  body?: Uint8Array
  signal?: AbortSignal
}

/** The response of the log. */
export interface LogResponse { status: number, headers: IncomingHttpHeaders, body: Uint8Array }

/** A request that got no complete response. */
export interface LogExchangeFailure {
  cause: unknown
  /** Whether certainly no byte of the request reached the log. */
  isNeverSent: boolean
  /** Whether the time limit passed. */
  isTimeout: boolean
}

const CONNECT_TIMEOUT_MS = 1_000
const MAX_RESPONSE_BYTES = 67_108_864
/** Error codes of failures in which no byte of the request can have left this process. */
const NEVER_SENT_CODES: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']

function isNeverSent (cause: unknown): boolean {
  const code = (cause as { code?: unknown } | undefined)?.code
  return typeof code === 'string' && NEVER_SENT_CODES.includes(code)
}

/** Creates the connections. They are opened when first used. */
export function createLogConnections (options: { url: string, clock: Clock }) {
  const { clock } = options
  const createPool = () => new Pool(options.url, {
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAX_RESPONSE_BYTES,
    connect: { timeout: CONNECT_TIMEOUT_MS }
  })
  let pool = createPool()
  const retired = new Set<Pool>()
  let replacedCount = 0

  /** Replaces the pool, so that later requests use new connections. Requests in flight on the old pool keep their own time limits. */
  const resetPool = (stalled: Pool): void => {
    if (stalled !== pool || stalled.closed || stalled.destroyed) return
    pool = createPool()
    replacedCount += 1
    retired.add(stalled)
    stalled.close().catch(() => {}).finally(() => retired.delete(stalled))
  }

  const send = async (exchange: LogExchange): Promise<Result<LogResponse, LogExchangeFailure>> => {
    const { method, path, body, limitMs, signal } = exchange
    const used = pool
    const stop = new AbortController()
    const stopEarly = (): void => stop.abort()
    let isTimeout = false
    const cancelTimer = clock.startTimer(limitMs, () => {
      isTimeout = true
      stop.abort(new Error(`no response within ${Math.round(limitMs)} ms`))
    })
    signal?.addEventListener('abort', stopEarly, { once: true })
    if (signal?.aborted) stopEarly()
    try {
      const response = await used.request({ method, path, body, signal: stop.signal })
      return ok({ status: response.statusCode, headers: response.headers, body: new Uint8Array(await response.body.arrayBuffer()) })
    } catch (cause) {
      if (isTimeout) resetPool(used)
      return err({ cause, isTimeout, isNeverSent: isNeverSent(cause) })
    } finally {
      cancelTimer()
      signal?.removeEventListener('abort', stopEarly)
    }
  }

  return {
    send,
    getReplacedCount: () => replacedCount,
    close: async (): Promise<void> => {
      await Promise.all([pool, ...retired].map((open) => open.destroy()))
    }
  }
}
