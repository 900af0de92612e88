/**
 * Lets repeated attempts wait a little for the answer of the one that was admitted.
 */
import type { Clock } from '../../clock.ts'
import type { RecordedOutcome } from './claim-book.ts'

interface UnreadOutcome { seq: number, outcome: RecordedOutcome }

/** Watches keys for news. */
export interface OutcomeWatch {
  /** Keeps the outcome of a claim of this process until it has been read back from the log. */
  addOutcome(key: string, seq: number, outcome: RecordedOutcome): void
  findOutcome(key: string, seq: number): RecordedOutcome | undefined
  /** Tells that a claim of the key became void. */
  handleVoid(key: string): void
  /** Tells that an outcome or void of the key was read from the log. */
  handleRead(key: string): void
  /** Resolves with true when there is news of the key, with false after `longestMs`. */
  waitForNews(key: string, longestMs: number): Promise<boolean>
  /** Forgets what it keeps and ends all waiting. */
  reset(): void
}

/** Creates a watch without keys. */
export function createOutcomeWatch (clock: Clock): OutcomeWatch {
  const unread = new Map<string, UnreadOutcome>()
  const waiting = new Map<string, Set<AbortController>>()
  const releaseWaiting = (key: string): void => {
    for (const news of waiting.get(key) ?? []) news.abort()
  }
  return {
    addOutcome (key, seq, outcome) {
      unread.set(key, { seq, outcome })
      releaseWaiting(key)
    },
    findOutcome (key, seq) {
      const found = unread.get(key)
      return found?.seq === seq ? found.outcome : undefined
    },
    handleVoid: releaseWaiting,
    handleRead (key) {
      unread.delete(key)
      releaseWaiting(key)
    },
    async waitForNews (key, longestMs) {
      const news = new AbortController()
      const others = waiting.get(key) ?? new Set()
      waiting.set(key, others.add(news))
      await clock.wait(longestMs, news.signal)
      others.delete(news)
      if (others.size === 0) waiting.delete(key)
      return news.signal.aborted
    },
    reset () {
      unread.clear()
      for (const key of [...waiting.keys()]) releaseWaiting(key)
    }
  }
}
