/**
 * One HTTP exchange with a target: sends a request on a connection and streams the response.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import type { Clock } from '../clock.ts'
import type { TargetConnection } from '../connection/target-pool.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Cancel, RequestId } from '../types.ts'

/** Timeout of a response body that makes no progress although the caller accepts data, in ms. */
const BODY_STALL_TIMEOUT_MS = 15_000
/** Informational responses (1xx) to one request; a target that sends more may never send a final one. */
const MAX_INFORMATIONAL_RESPONSES = 16
const MIN_STATUS = 100
const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599
/** Smaller chunks that come together are joined, in bytes. */
const MIN_DIRECT_BYTES = 1_024
/** Chunks are joined up to this size, in bytes. */
const MAX_JOINED_BYTES = 16_384

/** The request of an exchange. */
export interface ExchangeRequest {
  id: RequestId
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array | undefined
  /** Timeout of the response's first byte, in ms. */
  firstByteTimeoutMs: number
  /** Called right before the request is handed to the connection; returning false ends the exchange without sending it. */
  canSend(): boolean
  /** Returns whether a response belongs to this request. By default it does unless it echoes another request id. */
  isMatchingResponse?(status: number, headers: IncomingHttpHeaders): boolean
  /** Called once after the exchange, when nothing of the request waits in this process any more: a target may respond before it has taken the body. */
  handleFlushed?: (() => void) | undefined
}

/** Status and headers of a response; `firstByteMs` is the time until they arrived, in ms. */
export interface ResponseHead { status: number, headers: IncomingHttpHeaders, firstByteMs: number }

/** Receives the body of a response. */
export interface ResponseSink {
  /** Receives a chunk. Returning false pauses the body until `resume` is called. */
  write(chunk: Uint8Array): boolean
  /** The response is complete. */
  end(): void
  /** The response was truncated. */
  fail(error: AppError): void
}

/** One exchange. */
export interface Exchange {
  /** Resolves with the head of the response. Errors: `target-unreachable`, `target-broken`, `target-timeout`, `answer-mismatched`. */
  readonly head: Promise<Result<ResponseHead, AppError>>
  /** Streams the body to a sink. Call it once, after `head` has resolved. */
  pipe(sink: ResponseSink): void
  /** Continues the body after `write` of the sink has returned false. */
  resume(): void
  /** Cancels the exchange and closes its connection. Neither `end` nor `fail` of the sink is called. */
  cancel(): void
  /** Returns whether a byte of the request may have reached the target. */
  wasSent(): boolean
}

/** Returns whether a response belongs to the request. A target that echoes no request id is trusted. */
function isMatchingResponse (request: ExchangeRequest, status: number, headers: IncomingHttpHeaders): boolean {
  if (request.isMatchingResponse) return request.isMatchingResponse(status, headers)
  const echoed = headers['x-request-id']
  return echoed === undefined || echoed === request.id
}

/** Starts an exchange on a connection. */
export function startExchange (connection: TargetConnection, request: ExchangeRequest, clock: Clock): Exchange {
  const startedAtMs = clock.monotonicMs()
  let controller: Dispatcher.DispatchController | undefined
  let sink: ResponseSink | undefined
  /** Chunks that arrived before there was a sink, and how the response ended in that time. */
  const earlyChunks: Uint8Array[] = []
  let ending: 'complete' | AppError | undefined
  const smallChunks: Uint8Array[] = []
  let smallBytes = 0
  let isHeadSettled = false
  let isOver = false
  let hasBegun = false
  let hasConnectionEnded = false
  let lastDataAtMs = startedAtMs
  let informationalCount = 0
  let isChunked = false
  let cancelTimer: Cancel = () => undefined
  let settleHead: (head: Result<ResponseHead, AppError>) => void = () => undefined
  const head = new Promise<Result<ResponseHead, AppError>>((resolve) => { settleHead = resolve })

  const forward = (chunk: Uint8Array): void => {
    lastDataAtMs = clock.monotonicMs()
    if (sink?.write(chunk) === false && !hasConnectionEnded) controller?.pause()
  }
  const forwardSmallChunks = (): void => {
    if (isOver || smallChunks.length === 0) return
    const joined = Buffer.concat(smallChunks)
    smallChunks.length = 0
    smallBytes = 0
    forward(joined)
  }
  /** Keeps a chunk until the rest of what has been read with it is parsed, so that many small ones are forwarded as one. */
  const keepSmallChunk = (chunk: Uint8Array): void => {
    smallChunks.push(chunk)
    smallBytes += chunk.byteLength
    if (smallChunks.length === 1) queueMicrotask(forwardSmallChunks)
    if (smallBytes >= MAX_JOINED_BYTES) forwardSmallChunks()
  }
  const finish = (): boolean => {
    const wasOver = isOver
    isOver = true
    cancelTimer()
    if (!wasOver && request.handleFlushed) connection.watchFlushed(request.handleFlushed)
    return !wasOver
  }
  const stopConnection = (isSilent: boolean): void => {
    controller?.abort(new Error('The exchange was cancelled.'))
    connection.destroy(isSilent)
  }
  const fail = (error: AppError): void => {
    if (isOver) return
    forwardSmallChunks()
    if (!finish()) return
    stopConnection(error.kind === 'target-timeout')
    if (!isHeadSettled) settleHead(err(error))
    else if (sink) sink.fail(error)
    else ending = error
    isHeadSettled = true
  }
  const watchBody = (): void => {
    cancelTimer = clock.startTimer(BODY_STALL_TIMEOUT_MS, () => {
      const isStalled = !controller?.paused && clock.monotonicMs() - lastDataAtMs >= BODY_STALL_TIMEOUT_MS
      if (isStalled) fail(createError('answer-truncated', 'The target sent no more of its response before the stall timeout.'))
      else watchBody()
    })
  }
  cancelTimer = clock.startTimer(request.firstByteTimeoutMs, () => {
    fail(hasBegun
      ? createError('target-timeout', 'The target sent no response before the deadline.')
      : createError('target-unreachable', 'No connection to the target could be made before the deadline.'))
  })

  const finishResponse = (): void => {
    if (connection.wasReset()) {
      fail(createError('answer-truncated', 'The connection was reset before the response was complete.'))
      return
    }
    if (!finish()) return
    connection.release()
    if (sink) sink.end()
    else ending = 'complete'
  }
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart (started) {
      controller = started
      // The HTTP client may send a request again on a new connection, so that it could run twice.
      if (hasBegun) fail(createError('target-broken', 'The connection to the target was closed while the request was being sent.'))
      else if (isOver || !request.canSend()) started.abort(new Error('The exchange was cancelled before the request was sent.'))
      else hasBegun = true
    },
    onResponseStart (_, status, headers) {
      if (isOver) return
      if (status < MIN_STATUS || status > MAX_STATUS) {
        fail(createError('target-broken', `The target responded with ${status}, which is no status of a response.`))
        return
      }
      if (status < MIN_FINAL_STATUS) {
        informationalCount += 1
        if (informationalCount > MAX_INFORMATIONAL_RESPONSES) fail(createError('target-broken', 'The target sent too many informational responses instead of a final one.'))
        return
      }
      if (!isMatchingResponse(request, status, headers)) {
        fail(createError('answer-mismatched', 'The response belongs to another request, or was damaged.'))
        return
      }
      cancelTimer()
      isChunked = headers['transfer-encoding'] !== undefined
      // The response ends with its connection; a target that closes it before it has taken the request resets it only afterwards.
      if (request.body && !isChunked && headers['content-length'] === undefined) connection.holdEndBack()
      if (!hasConnectionEnded) controller?.pause()
      isHeadSettled = true
      lastDataAtMs = clock.monotonicMs()
      settleHead(ok({ status, headers, firstByteMs: lastDataAtMs - startedAtMs }))
    },
    onResponseData (_, chunk) {
      if (isOver) return
      connection.recordBody(isChunked)
      if (chunk.byteLength === 0) return
      if (!sink) earlyChunks.push(chunk)
      else if (chunk.byteLength >= MIN_DIRECT_BYTES && smallChunks.length === 0) forward(chunk)
      else keepSmallChunk(chunk)
    },
    onResponseEnd () {
      // The HTTP client first parses the rest of the chunk: bytes beyond the response close the connection. Whether a
      // response without a length is complete is known only after the events of its connection's end.
      setImmediate(finishResponse)
    },
    onResponseError (_, cause) {
      const kind = isHeadSettled ? 'answer-truncated' : hasBegun ? 'target-broken' : 'target-unreachable'
      fail(createError(kind, `The exchange with the target failed: ${describeCause(cause)}.`, cause))
    }
  }
  // The HTTP client fails an assertion when a response is paused while its connection ends.
  connection.watchEnd(() => {
    hasConnectionEnded = true
    controller?.resume()
  })
  connection.client.dispatch({
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body ?? null
  }, handler)

  return {
    head,
    pipe (target) {
      sink = target
      if (earlyChunks.length > 0) target.write(Buffer.concat(earlyChunks.splice(0)))
      if (ending === 'complete') target.end()
      else if (ending) target.fail(ending)
      if (isOver) return
      lastDataAtMs = clock.monotonicMs()
      watchBody()
      controller?.resume()
    },
    resume () {
      lastDataAtMs = clock.monotonicMs()
      controller?.resume()
    },
    cancel () {
      if (!finish()) return
      stopConnection(hasBegun && !isHeadSettled)
      if (!isHeadSettled) settleHead(err(createError('target-broken', 'The exchange was cancelled.')))
      isHeadSettled = true
    },
    wasSent: () => hasBegun
  }
}
