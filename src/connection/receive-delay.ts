/**
 * Bounds how long a datagram has waited in its socket before this process read it: a process that was paused or busy reads old
 * datagrams after the pause.
 */
import { measureElapsedMs, readInstant } from '../clock.ts'
import type { Clock } from '../clock.ts'

/** The bound for one socket. */
export interface ReceiveDelay {
  /** Records that a datagram was read. */
  recordRead(): void
  /** Checks whether the socket is read empty. Call it from a timer, several times a second. */
  runTick(): void
  /** Returns the longest time for which a datagram that is read now may have waited, in ms. */
  getMs(): number
}

/** Node.js reads at most this many datagrams in one round of the event loop. */
const MAX_READS_PER_ROUND = 32

/** Creates the bound for a socket that is opened now. */
export function createReceiveDelay (clock: Clock): ReceiveDelay {
  /** Latest instant before which all datagrams had been read. */
  let emptyAt = readInstant(clock)
  let readCount = 0
  return {
    recordRead () { readCount += 1 },
    runTick () {
      const tickAt = readInstant(clock)
      readCount = 0
      // Node.js reads the sockets after the timers and before the immediates.
      setImmediate(() => { if (readCount < MAX_READS_PER_ROUND) emptyAt = tickAt })
    },
    getMs: () => Math.max(0, measureElapsedMs(clock, emptyAt))
  }
}
