/**
 * Requests to other entries by messages that may be lost: each has a sequence number, which its response repeats.
 */
import type { Clock } from '../clock.ts'

/** Requests that wait for a response of type `T`. */
export interface PendingResponses<T> {
  /** Sends a request with a new sequence number; resolves with its response, or undefined when none comes in time. */
  request(send: (sequence: number) => void): Promise<T | undefined>
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

/** Creates an empty set. The first number is random, so that a late response to an earlier process settles nothing. */
export function createPendingResponses<T> ({ clock, random, timeoutMs }: PendingResponsesOptions): PendingResponses<T> {
  const pending = new Map<number, (response: T | undefined) => void>()
  let sequence = Math.floor(random() * MAX_SEQUENCE)
  return {
    request: (send) => new Promise((resolve) => {
      sequence = sequence === MAX_SEQUENCE ? 0 : sequence + 1
      const own = sequence
      const finish = (response: T | undefined): void => {
        cancelTimer()
        pending.delete(own)
        resolve(response)
      }
      const cancelTimer = clock.startTimer(timeoutMs, () => finish(undefined))
      pending.set(own, finish)
      send(own)
    }),
    settle (settled, response) {
      const finish = pending.get(settled)
      finish?.(response)
      return finish !== undefined
    }
  }
}
