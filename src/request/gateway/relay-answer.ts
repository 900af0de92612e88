/**
 * Sends a target's answer on to the caller: whole, or with a broken connection, never with a false end.
 */
import type { ServerResponse } from 'node:http'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { Cancel } from '../../types.ts'
import type { GatewayCall } from './gateway-call.ts'
import { filterResponseHeaders } from './gateway-headers.ts'
import type { BegunAnswer } from './run-attempts.ts'

/** What became of an answer at the caller. */
export type RelayEnd = { kind: 'whole' } | { kind: 'caller-gone' } | { kind: 'broken', error: AppError }

/** An answer that has begun may end after the request's time, but not pause this long there, in ms. */
const LONGEST_LATE_PAUSE_MS = 150

/** Relays a begun answer; resolves when it has ended one way or the other. */
export function relayAnswer (call: GatewayCall, { attempt, head }: BegunAnswer, outgoing: ServerResponse): Promise<RelayEnd> {
  const { clock, endsAtMs } = call
  return new Promise((resolve) => {
    const { exchange } = attempt
    let isOver = false
    let lastBytesMs = clock.monotonicMs()
    let cancelWatch: Cancel = () => undefined
    const finish = (end: RelayEnd): void => {
      if (isOver) return
      isOver = true
      cancelWatch()
      if (end.kind !== 'whole') attempt.cancel()
      if (end.kind === 'broken') outgoing.destroy()
      resolve(end)
    }
    const watchPauses = (): void => {
      const nowMs = clock.monotonicMs()
      const limitMs = Math.max(endsAtMs, lastBytesMs + LONGEST_LATE_PAUSE_MS)
      const isPaused = outgoing.writableNeedDrain
      if (nowMs >= limitMs && !isPaused) finish({ kind: 'broken', error: createError('answer-truncated', 'The target stopped in the middle of its answer.') })
      else cancelWatch = clock.startTimer(Math.max(LONGEST_LATE_PAUSE_MS, limitMs - nowMs), watchPauses)
    }
    outgoing.on('drain', () => exchange?.resume())
    outgoing.on('close', () => finish({ kind: 'caller-gone' }))
    if (outgoing.destroyed || !exchange) {
      finish({ kind: 'caller-gone' })
      return
    }
    outgoing.writeHead(head.status, filterResponseHeaders(head.headers))
    watchPauses()
    exchange.pipe({
      write (chunk) {
        lastBytesMs = clock.monotonicMs()
        return outgoing.write(chunk)
      },
      end () {
        outgoing.end()
        finish({ kind: 'whole' })
      },
      fail: (error) => finish({ kind: 'broken', error })
    })
  })
}
