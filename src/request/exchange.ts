/**
 * One attempt of a request at one target: it sends the request and hands the answer on as it comes.
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

/** The longest pause within an answer while the caller keeps up, in ms. */
const BODY_STALL_MS = 15_000
const FIRST_FINAL_STATUS = 200

/** What is sent. */
export interface ExchangeRequest {
  id: RequestId
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array | undefined
  /** How long the first byte of the answer may take, in ms. */
  firstByteTimeoutMs: number
  /** Asked right before the first byte is handed over; false ends the attempt unsent. */
  canSend(): boolean
  /** Whether an answer belongs to this request; by default one that echoes another request id does not. */
  isOwnAnswer?(status: number, headers: IncomingHttpHeaders): boolean
}

/** Status and headers of an answer. */
export interface AnswerHead { status: number, headers: IncomingHttpHeaders, firstByteMs: number }

/** Where the body of an answer goes. */
export interface AnswerSink {
  /** Takes a chunk; false asks to pause until `resume` is called. */
  write(chunk: Uint8Array): boolean
  /** The answer is whole. */
  end(): void
  /** The answer was cut short. */
  fail(error: AppError): void
}

/** One attempt. */
export interface Exchange {
  /** Settles with the head of the answer. Errors: `target-unreachable`, `target-broken`, `target-timeout`, `answer-mismatched`. */
  readonly head: Promise<Result<AnswerHead, AppError>>
  /** Lets the body flow into a sink; call it once, after `head`. */
  pipe(sink: AnswerSink): void
  resume(): void
  /** Ends the attempt and closes its connection; a sink is not told. */
  cancel(): void
  /** Whether a byte of the request may have reached the target. */
  wasSent(): boolean
}

/** Compares the id that a target echoed; targets that echo none pass. */
function isOwnAnswer (request: ExchangeRequest, status: number, headers: IncomingHttpHeaders): boolean {
  if (request.isOwnAnswer) return request.isOwnAnswer(status, headers)
  const echoed = headers['x-request-id']
  return echoed === undefined || echoed === request.id
}

/** Starts an attempt on a connection. */
export function startExchange (connection: TargetConnection, request: ExchangeRequest, clock: Clock): Exchange {
  const startedMs = clock.monotonicMs()
  let controller: Dispatcher.DispatchController | undefined
  let sink: AnswerSink | undefined
  /** What came, and how the answer ended, before there was a sink. */
  const early: Uint8Array[] = []
  let ending: 'whole' | AppError | undefined
  let isHeadSettled = false
  let isOver = false
  let hasBegun = false
  let hasConnectionEnded = false
  let lastDataMs = startedMs
  let cancelTimer: Cancel = () => undefined
  let settleHead: (head: Result<AnswerHead, AppError>) => void = () => undefined
  const head = new Promise<Result<AnswerHead, AppError>>((resolve) => { settleHead = resolve })

  const finish = (): boolean => {
    const wasOver = isOver
    isOver = true
    cancelTimer()
    return !wasOver
  }
  const stopConnection = (isSilent: boolean): void => {
    controller?.abort(new Error('The exchange was ended.'))
    connection.destroy(isSilent)
  }
  const fail = (error: AppError): void => {
    if (!finish()) return
    stopConnection(error.kind === 'target-timeout')
    if (!isHeadSettled) settleHead(err(error))
    else if (sink) sink.fail(error)
    else ending = error
    isHeadSettled = true
  }
  const watchBody = (): void => {
    cancelTimer = clock.startTimer(BODY_STALL_MS, () => {
      const isStalled = !controller?.paused && clock.monotonicMs() - lastDataMs >= BODY_STALL_MS
      if (isStalled) fail(createError('answer-truncated', 'The target stopped in the middle of its answer.'))
      else watchBody()
    })
  }
  cancelTimer = clock.startTimer(request.firstByteTimeoutMs, () => {
    fail(hasBegun
      ? createError('target-timeout', 'The target sent no answer before the deadline.')
      : createError('target-unreachable', 'No connection to the target could be made before the deadline.'))
  })

  const endAnswer = (): void => {
    if (connection.wasReset()) {
      fail(createError('answer-truncated', 'The connection was reset within the answer.'))
      return
    }
    if (!finish()) return
    connection.release()
    if (sink) sink.end()
    else ending = 'whole'
  }
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart (started) {
      controller = started
      // The library may start a request again on a new connection; that would be a second run.
      if (hasBegun) fail(createError('target-broken', 'The connection to the target closed while sending.'))
      else if (isOver || !request.canSend()) started.abort(new Error('The exchange was ended before it was sent.'))
      else hasBegun = true
    },
    onResponseStart (_, status, headers) {
      if (isOver || status < FIRST_FINAL_STATUS) return
      if (!isOwnAnswer(request, status, headers)) {
        fail(createError('answer-mismatched', 'The target answered another request.'))
        return
      }
      cancelTimer()
      if (!hasConnectionEnded) controller?.pause()
      isHeadSettled = true
      lastDataMs = clock.monotonicMs()
      settleHead(ok({ status, headers, firstByteMs: lastDataMs - startedMs }))
    },
    onResponseData (_, chunk) {
      if (isOver) return
      lastDataMs = clock.monotonicMs()
      if (chunk.byteLength === 0) return
      if (!sink) early.push(chunk)
      else if (!sink.write(chunk) && !hasConnectionEnded) controller?.pause()
    },
    onResponseEnd () {
      // The rest of the chunk is parsed first: bytes beyond the answer close the connection. Whether an answer without
      // a length is whole shows only after the events of its connection's end.
      setImmediate(endAnswer)
    },
    onResponseError (_, cause) {
      const kind = isHeadSettled ? 'answer-truncated' : hasBegun ? 'target-broken' : 'target-unreachable'
      fail(createError(kind, `The exchange with the target failed: ${describeCause(cause)}.`, cause))
    }
  }
  // The library fails an assertion when an answer is paused while its connection ends.
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
      for (const chunk of early.splice(0)) target.write(chunk)
      if (ending === 'whole') target.end()
      else if (ending) target.fail(ending)
      if (isOver) return
      lastDataMs = clock.monotonicMs()
      watchBody()
      controller?.resume()
    },
    resume () {
      lastDataMs = clock.monotonicMs()
      controller?.resume()
    },
    cancel () {
      if (!finish()) return
      stopConnection(hasBegun && !isHeadSettled)
      if (!isHeadSettled) settleHead(err(createError('target-broken', 'The exchange was ended.')))
      isHeadSettled = true
    },
    wasSent: () => hasBegun
  }
}
