/**
 * Reads the rest of a response that nobody needs, so that its connection can be used again.
 */
import type { Clock } from '../clock.ts'
import type { Exchange } from './exchange.ts'

/** A longer rest costs more to read than a new connection, and may never end. */
const MAX_DRAINED_BYTES = 65_536
/** A response whose rest takes longer than this is given up, in ms. */
const MAX_DRAIN_MS = 250

/**
 * Reads and drops the rest of a response. Resolves true when it was complete; false when it was truncated, or longer than
 * the limits allow, and its connection has been closed.
 */
export function drainResponse (exchange: Exchange, clock: Clock): Promise<boolean> {
  return new Promise((resolve) => {
    let drainedBytes = 0
    const stop = (): void => {
      exchange.cancel()
      resolve(false)
    }
    const cancelTimer = clock.startTimer(MAX_DRAIN_MS, stop)
    const finish = (isComplete: boolean): void => {
      cancelTimer()
      resolve(isComplete)
    }
    exchange.pipe({
      write (chunk) {
        drainedBytes += chunk.byteLength
        if (drainedBytes <= MAX_DRAINED_BYTES) return true
        cancelTimer()
        stop()
        return false
      },
      end: () => finish(true),
      fail: () => finish(false)
    })
  })
}
