/**
 * Requests to other entries by messages that may be lost: each has a sequence number, which its response repeats.
 */
import type { Clock } from '../clock.ts'

/** Requests that wait for a response of type `T`. */
export interface PendingResponses<T> {
  /**
   * Sends a request with a new sequence number; resolves with its response, or undefined when none comes in time. A response
   * that comes later is passed to `handleLate`, once.
   */
  request(send: (sequence: number) => void, handleLate?: (response: T) => void): Promise<T | undefined>
  /** Settles the request with this number. Returns false when it no longer waits. */
  settle(sequence: number, response: T): boolean
}

/** Options of `createPendingResponses`. */
export interface PendingResponsesOptions {
  clock: Clock
  random: () => number
  /** A request fails without a response within this time, in ms. */
  timeoutMs: number
}

const MAX_SEQUENCE = 0x7fff_ffff
/** Requests without a response in time whose late response is still handled. */
const MAX_LATE_HANDLERS = 256

/** Creates an empty set. The first number is random, so that a late response to an earlier process settles nothing. */
export function createPendingResponses<T> ({ clock, random, timeoutMs }: PendingResponsesOptions): PendingResponses<T> {
  const pending = new Map<number, (response: T | undefined) => void>()
  /** Handlers of the latest requests without a response, the oldest first. */
  const lateHandlers = new Map<number, (response: T) => void>()
  let sequence = Math.floor(random() * MAX_SEQUENCE)

  const addLateHandler = (own: number, handleLate: (response: T) => void): void => {
    lateHandlers.set(own, handleLate)
    const [oldest] = lateHandlers.keys()
    if (lateHandlers.size > MAX_LATE_HANDLERS) lateHandlers.delete(oldest!)
  }
  return {
    request: (send, handleLate) => new Promise((resolve) => {
      sequence = sequence === MAX_SEQUENCE ? 0 : sequence + 1
      const own = sequence
      const finish = (response: T | undefined): void => {
        cancelTimer()
        pending.delete(own)
        if (response === undefined && handleLate) addLateHandler(own, handleLate)
        resolve(response)
      }
      const cancelTimer = clock.startTimer(timeoutMs, () => finish(undefined))
      pending.set(own, finish)
      send(own)
    }),
    settle (settled, response) {
      const finish = pending.get(settled)
      finish?.(response)
      lateHandlers.get(settled)?.(response)
      lateHandlers.delete(settled)
      return finish !== undefined
    }
  }
}
