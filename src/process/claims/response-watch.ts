/**
 * Lets duplicate attempts wait a short time for the response to the admitted one.
 */
import type { Clock } from '../../clock.ts'
import type { StoredResponse } from './claim-store.ts'

interface UnreadResponse { seq: number, response: StoredResponse }

/** Notifies waiting attempts when the response or the tombstone of their key arrives. */
export interface ResponseWatch {
  /** Keeps the response to a claim of this process until a response or tombstone of the key is read from the log. */
  addResponse(key: string, seq: number, response: StoredResponse): void
  /** Finds a response that has not been read back yet. */
  findResponse(key: string, seq: number): StoredResponse | undefined
  /** Wakes up the attempts that wait for the key, because its claim was released. */
  handleRelease(key: string): void
  /** Wakes up the attempts that wait for the key, because its response or tombstone was read from the log. */
  handleRead(key: string): void
  /** Resolves with true when the key's response or tombstone arrives, with false after `maxWaitMs`. */
  waitForChange(key: string, maxWaitMs: number): Promise<boolean>
  /** Drops all responses and wakes up all waiting attempts. */
  reset(): void
}

/** Creates a watch on no keys. */
export function createResponseWatch (clock: Clock): ResponseWatch {
  const unread = new Map<string, UnreadResponse>()
  const waiting = new Map<string, Set<AbortController>>()
  const releaseWaiting = (key: string): void => {
    for (const change of waiting.get(key) ?? []) change.abort()
  }
  return {
    addResponse (key, seq, response) {
      unread.set(key, { seq, response })
      releaseWaiting(key)
    },
    findResponse (key, seq) {
      const found = unread.get(key)
      return found?.seq === seq ? found.response : undefined
    },
    handleRelease: releaseWaiting,
    handleRead (key) {
      unread.delete(key)
      releaseWaiting(key)
    },
    async waitForChange (key, maxWaitMs) {
      const change = new AbortController()
      const others = waiting.get(key) ?? new Set()
      waiting.set(key, others.add(change))
      await clock.wait(maxWaitMs, change.signal)
      others.delete(change)
      if (others.size === 0) waiting.delete(key)
      return change.signal.aborted
    },
    reset () {
      unread.clear()
      for (const key of [...waiting.keys()]) releaseWaiting(key)
    }
  }
}
