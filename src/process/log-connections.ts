/**
 * The connections to the log. When an answer stays out, new requests go on fresh connections.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Pool } from 'undici'
import type { Clock } from '../clock.ts'

/** One exchange with the log. */
export interface LogExchange {
  method: 'GET' | 'POST'
  path: string
  /** The longest that it may take, in ms. */
  limitMs: number
  body?: Uint8Array
  signal?: AbortSignal
}

/** An answer of the log. */
export interface LogAnswer { status: number, body: Uint8Array }

/** An exchange that brought no answer. */
export interface LogExchangeFailure {
  cause: unknown
  /** No byte of the request can have reached the log. */
  isNeverSent: boolean
  /** The time was up. */
  isTimeout: boolean
}

const CONNECT_TIMEOUT_MS = 1_000
const LARGEST_ANSWER_BYTES = 67_108_864
/** Failures in which no byte of the request can have left this process. */
const NEVER_SENT_CODES: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']

function isNeverSent (cause: unknown): boolean {
  const code = (cause as { code?: unknown } | undefined)?.code
  return typeof code === 'string' && NEVER_SENT_CODES.includes(code)
}

/** Creates the connections; they are opened when first used. */
export function createLogConnections (options: { url: string, clock: Clock }) {
  const { clock } = options
  const createPool = () => new Pool(options.url, {
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: LARGEST_ANSWER_BYTES,
    connect: { timeout: CONNECT_TIMEOUT_MS }
  })
  let pool = createPool()
  const retired = new Set<Pool>()
  let replacedCount = 0

  /** Sends later requests on fresh connections; exchanges under way on the old ones keep their own limits. */
  const resetPool = (silent: Pool): void => {
    if (silent !== pool || silent.closed || silent.destroyed) return
    pool = createPool()
    replacedCount += 1
    retired.add(silent)
    silent.close().catch(() => {}).finally(() => retired.delete(silent))
  }

  const send = async (exchange: LogExchange): Promise<Result<LogAnswer, LogExchangeFailure>> => {
    const { method, path, body, limitMs, signal } = exchange
    const used = pool
    const stop = new AbortController()
    const stopEarly = (): void => stop.abort()
    let isTimeout = false
    const cancelTimer = clock.startTimer(limitMs, () => {
      isTimeout = true
      stop.abort(new Error(`no answer within ${Math.round(limitMs)} ms`))
    })
    signal?.addEventListener('abort', stopEarly, { once: true })
    if (signal?.aborted) stopEarly()
    try {
      const answer = await used.request({ method, path, body, signal: stop.signal })
      return ok({ status: answer.statusCode, body: new Uint8Array(await answer.body.arrayBuffer()) })
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
