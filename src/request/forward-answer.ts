/**
 * Sends an answer of a target on to the caller: whole, or with a broken connection, never with a false end.
 */
import type { ServerResponse } from 'node:http'
import type { AppError } from '../errors.ts'
import type { Clock } from '../clock.ts'
import type { Cancel } from '../types.ts'
import { getRelayedFate } from './answer-status.ts'
import type { Attempt } from './attempt.ts'
import type { Call } from './call.ts'
import { resumeDownload, findResumePoint } from './download-resume.ts'
import type { AnswerHead } from './exchange.ts'
import { filterAnswerHeaders } from './headers.ts'
import type { BegunAnswer } from './idempotent-request.ts'

/** What became of an answer at the caller. */
export type RelayEnd = 'whole' | 'broken' | 'caller-gone'

/** Watches a caller that accepts nothing; `stop` ends the watch. */
function watchStall (clock: Clock, stallMs: number, action: () => void): { start: () => void, stop: () => void } {
  let cancel: Cancel = () => undefined
  return {
    start () { cancel = clock.startTimer(stallMs, action) },
    stop () { cancel() }
  }
}

/** Relays a begun answer; resolves when it has ended one way or the other. */
export function forwardAnswer (call: Call, begun: BegunAnswer, outgoing: ServerResponse): Promise<RelayEnd> {
  const { clock } = call
  return new Promise((resolve) => {
    let { attempt } = begun
    let receivedBytes = 0
    let isOver = false
    const resumePoint = findResumePoint(call, begun.head)
    const finish = (end: RelayEnd): void => {
      if (isOver) return
      isOver = true
      stall.stop()
      cancelLongest()
      if (end !== 'whole') attempt.cancel()
      if (end === 'broken') outgoing.destroy()
      resolve(end)
    }
    const stall = watchStall(clock, call.longestPauseMs, () => finish('broken'))
    const cancelLongest = clock.startTimer(call.operation.longestMs, () => finish('broken'))
    const handleFailure = async (error: AppError): Promise<void> => {
      const next = resumePoint && !isOver ? await resumeDownload(call, resumePoint, receivedBytes) : undefined
      if (!next || isOver) {
        next?.cancel()
        call.recordBrokenAnswer(error)
        finish('broken')
        return
      }
      attempt = next
      forwardBody(next)
    }
    const forwardBody = (source: Attempt): void => source.pipe({
      write (chunk) {
        receivedBytes += chunk.byteLength
        const canGoOn = outgoing.write(chunk)
        if (!canGoOn) stall.start()
        return canGoOn
      },
      end () {
        outgoing.end()
        finish('whole')
      },
      fail (error) { handleFailure(error).catch(() => finish('broken')) }
    })
    outgoing.on('drain', () => {
      stall.stop()
      attempt.resume()
    })
    outgoing.on('close', () => finish('caller-gone'))
    sendHead(call, begun.head, outgoing)
    forwardBody(attempt)
  })
}

function sendHead (call: Call, head: AnswerHead, outgoing: ServerResponse): void {
  const headers = filterAnswerHeaders(head.headers, getRelayedFate(head.status), call.contract.version)
  outgoing.writeHead(head.status, headers)
}
