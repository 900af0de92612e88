/**
 * Relays a target's response to the caller. A truncated response closes the caller's connection, so that the caller never
 * takes it for complete.
 */
import type { ServerResponse } from 'node:http'
import type { AppError } from '../errors.ts'
import type { Clock } from '../clock.ts'
import type { Cancel } from '../types.ts'
import { getRelayedExecutionStatus } from './response-status.ts'
import type { Attempt } from './attempt.ts'
import type { Call } from './call.ts'
import { resumeDownload, findResumePoint } from './download-resume.ts'
import type { ResponseHead } from './exchange.ts'
import { filterResponseHeaders } from './headers.ts'
import type { StartedResponse } from './idempotent-request.ts'

/** Outcome of relaying a response: `whole` is complete, `broken` truncated; logs and metrics use these values. */
export type RelayOutcome = 'whole' | 'broken' | 'caller-gone'

/** Creates a timer that calls `action` when the caller has accepted no data for `timeoutMs`. */
function createStallTimer (clock: Clock, timeoutMs: number, action: () => void): { start: () => void, stop: () => void } {
  let cancel: Cancel = () => undefined
  return {
    start () { cancel = clock.startTimer(timeoutMs, action) },
    stop () { cancel() }
  }
}

/** Closes the connection of a truncated response; one that would end with its connection, as by HTTP/1.0, is reset. */
function destroyIncomplete (head: ResponseHead, outgoing: ServerResponse): void {
  const isEndedByClose = head.headers['content-length'] === undefined && !outgoing.chunkedEncoding
  if (isEndedByClose) outgoing.socket?.resetAndDestroy()
  outgoing.destroy()
}

/** Relays a response whose head has arrived. Resolves when it is complete or has failed. */
export function forwardResponse (call: Call, begun: StartedResponse, outgoing: ServerResponse): Promise<RelayOutcome> {
  const { clock } = call
  return new Promise((resolve) => {
    let { attempt } = begun
    let receivedBytes = 0
    let isOver = false
    const resumePoint = findResumePoint(call, begun.head)
    const finish = (end: RelayOutcome): void => {
      if (isOver) return
      isOver = true
      stallTimer.stop()
      cancelTimeout()
      if (end !== 'whole') attempt.cancel()
      if (end === 'broken') destroyIncomplete(begun.head, outgoing)
      resolve(end)
    }
    const stallTimer = createStallTimer(clock, call.maxPauseMs, () => finish('broken'))
    const cancelTimeout = clock.startTimer(call.operation.longestMs, () => finish('broken'))
    const handleFailure = async (error: AppError): Promise<void> => {
      const next = resumePoint && !isOver ? await resumeDownload(call, resumePoint, receivedBytes) : undefined
      if (!next || isOver) {
        next?.cancel()
        call.recordIncompleteResponse(error)
        finish('broken')
        return
      }
      attempt = next
      forwardBody(next)
    }
    const forwardBody = (source: Attempt): void => source.pipe({
      write (chunk) {
        receivedBytes += chunk.byteLength
        const canContinue = outgoing.write(chunk)
        if (!canContinue) stallTimer.start()
        return canContinue
      },
      end () {
        outgoing.end()
        finish('whole')
      },
      fail (error) { handleFailure(error).catch(() => finish('broken')) }
    })
    outgoing.on('drain', () => {
      stallTimer.stop()
      attempt.resume()
    })
    outgoing.on('close', () => finish('caller-gone'))
    sendHead(call, begun.head, outgoing)
    forwardBody(attempt)
  })
}

function sendHead (call: Call, head: ResponseHead, outgoing: ServerResponse): void {
  const headers = filterResponseHeaders(head.headers, getRelayedExecutionStatus(head.status), call.contract.version)
  outgoing.writeHead(head.status, headers)
}
