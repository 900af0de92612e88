/**
 * Relays a target's response to the caller. When the response is truncated, the caller's connection is closed before its end,
 * so that the caller never takes a partial body for a complete one.
 */
import type { ServerResponse } from 'node:http'
import { createError, describeCause } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { Cancel } from '../../types.ts'
import type { GatewayCall } from './gateway-call.ts'
import { filterResponseHeaders } from './gateway-headers.ts'
import type { StartedResponse } from './run-attempts.ts'

/** How a relay ended. */
export type RelayOutcome =
  /** The response is complete. */
  | { kind: 'whole' }
  | { kind: 'caller-gone' }
  /** The response was truncated, and the caller's connection is closed. */
  | { kind: 'broken', error: AppError }
  /** The response was truncated before anything of it was sent, so that the caller can be sent an error instead. */
  | { kind: 'unsent', error: AppError }

/** A response may continue after the deadline, but a pause of this length then ends it, in ms. */
const MAX_LATE_PAUSE_MS = 150
/** A response that has not ended this long after the timeout of its route is cut off, in ms: half of what the platform allows. */
const MAX_LATE_MS = 250

/**
 * Relays a response that has started; resolves when the relay has ended. `heldMs` is how long the response has waited for
 * those ahead on its connection: that time is not the target's.
 */
export function relayResponse (call: GatewayCall, { attempt, head }: StartedResponse, outgoing: ServerResponse, heldMs = 0): Promise<RelayOutcome> {
  const { clock, deadlineAtMs } = call
  const hasLength = head.headers['content-length'] !== undefined
  const endsByMs = call.startedAtMs + call.route.timeoutMs + MAX_LATE_MS + heldMs
  return new Promise((resolve) => {
    const { exchange } = attempt
    let isFinished = false
    let lastChunkAtMs = clock.monotonicMs()
    let hasSentHead = false
    let cancelWatch: Cancel = () => undefined
    let stopWatchingShutdown: Cancel = () => undefined
    /** Whether the response that is being sent ends with its connection, as by HTTP/1.0. */
    const isEndedByClose = (): boolean => hasSentHead && !hasLength && !outgoing.chunkedEncoding
    const finish = (end: RelayOutcome): void => {
      if (isFinished) return
      isFinished = true
      cancelWatch()
      stopWatchingShutdown()
      if (end.kind !== 'whole') attempt.cancel()
      if (end.kind === 'broken') call.place.closeEarly(isEndedByClose())
      resolve(end)
    }
    const fail = (error: AppError): void => finish({ kind: hasSentHead ? 'broken' : 'unsent', error })
    /** Sends the head, with the first chunk: until then the caller can still be sent an error. Returns whether it was sent. */
    const sendHead = (): boolean => {
      if (hasSentHead) return true
      call.place.startResponse()
      try {
        outgoing.writeHead(head.status, filterResponseHeaders(head.headers))
        hasSentHead = true
      } catch (cause) {
        // Headers that were set before the one that failed must not go out with an error.
        for (const name of outgoing.getHeaderNames()) outgoing.removeHeader(name)
        fail(createError('target-broken', `The head of the response cannot be passed on: ${describeCause(cause)}.`, cause))
      }
      return hasSentHead
    }
    const watchTime = (): void => {
      const nowMs = clock.monotonicMs()
      const pauseEndsAtMs = Math.max(deadlineAtMs, lastChunkAtMs + MAX_LATE_PAUSE_MS)
      const isCallerSlow = outgoing.writableNeedDrain
      if (nowMs >= pauseEndsAtMs && !hasSentHead) fail(createError('route-timeout', 'The target sent the head of its response, but no body before the deadline.'))
      else if (nowMs >= endsByMs) fail(createError(isCallerSlow && hasLength ? 'route-timeout' : 'answer-truncated', 'The response did not end within the timeout of its route.'))
      else if (nowMs >= pauseEndsAtMs && !isCallerSlow) fail(createError('answer-truncated', 'The target stopped sending in the middle of its response.'))
      else cancelWatch = clock.startTimer(Math.min(endsByMs - nowMs, Math.max(MAX_LATE_PAUSE_MS, pauseEndsAtMs - nowMs)), watchTime)
    }
    outgoing.on('drain', () => exchange?.resume())
    outgoing.on('close', () => finish({ kind: 'caller-gone' }))
    if (outgoing.destroyed || call.caller.isDisconnected() || !exchange) {
      finish({ kind: 'caller-gone' })
      return
    }
    // What has arrived of the response is passed on before the time is looked at.
    exchange.pipe({
      write (chunk) {
        lastChunkAtMs = clock.monotonicMs()
        return sendHead() && outgoing.write(chunk)
      },
      end () {
        if (!sendHead()) return
        outgoing.end()
        finish({ kind: 'whole' })
      },
      fail
    })
    if (isFinished) return
    watchTime()
    stopWatchingShutdown = call.shutdown.watchResponseBy(() => {
      if (!hasSentHead || isEndedByClose()) fail(createError('entry-stopped', 'This entry shut down before the response was complete.'))
    })
  })
}
