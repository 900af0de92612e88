/**
 * Sends a target's answer on to the caller: whole, or with a broken connection, never with a false end.
 */
import type { ServerResponse } from 'node:http'
import type { AppError } from '../../errors.ts'
import { filterResponseHeaders } from './gateway-headers.ts'
import type { BegunAnswer } from './run-attempts.ts'

/** What became of an answer at the caller. */
export type RelayEnd = { kind: 'whole' } | { kind: 'caller-gone' } | { kind: 'broken', error: AppError }

/** Relays a begun answer; resolves when it has ended one way or the other. */
export function relayAnswer ({ attempt, head }: BegunAnswer, outgoing: ServerResponse): Promise<RelayEnd> {
  return new Promise((resolve) => {
    const { exchange } = attempt
    let isOver = false
    const finish = (end: RelayEnd): void => {
      if (isOver) return
      isOver = true
      if (end.kind !== 'whole') attempt.cancel()
      if (end.kind === 'broken') outgoing.destroy()
      resolve(end)
    }
    outgoing.on('drain', () => exchange?.resume())
    outgoing.on('close', () => finish({ kind: 'caller-gone' }))
    if (outgoing.destroyed || !exchange) {
      finish({ kind: 'caller-gone' })
      return
    }
    outgoing.writeHead(head.status, filterResponseHeaders(head.headers))
    exchange.pipe({
      write: (chunk) => outgoing.write(chunk),
      end () {
        outgoing.end()
        finish({ kind: 'whole' })
      },
      fail: (error) => finish({ kind: 'broken', error })
    })
  })
}
