/**
 * Circuit breaker for appends: rejects claims at once while appends fail, except for one trial at a time after a backoff.
 */
import type { Clock } from '../../clock.ts'

const FAILURES_TO_OPEN = 3
const FIRST_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 2_000
const MAX_DOUBLINGS = 10

/** Circuit breaker that opens after consecutive failed appends. */
export interface AppendBreaker {
  /** Records the result of an append: whether the log confirmed it. */
  addResult(isConfirmed: boolean): void
  /** Returns whether a claim may be appended: the breaker is closed, or the backoff is over and no trial is in flight. */
  canTry(): boolean
  /** Records that a claim is about to be appended; while the breaker is open it is the trial. */
  markTrial(): void
  /** Records that the trial was cancelled before it was appended. */
  unmarkTrial(): void
  /** Returns whether the last append failed. */
  hasFailures(): boolean
  /** Returns how long to wait before the next append, in ms, with jitter. */
  getBackoffMs(): number
}

/** Creates a closed breaker. */
export function createAppendBreaker (clock: Clock, random: () => number): AppendBreaker {
  let failures = 0
  let nextTrialMs = 0
  let isTrialInFlight = false
  const getBackoffMs = (): number => {
    const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1))
    return Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings) * (1 + random()) / 2
  }
  return {
    addResult (isConfirmed) {
      isTrialInFlight = false
      failures = isConfirmed ? 0 : failures + 1
      nextTrialMs = clock.monotonicMs() + getBackoffMs()
    },
    canTry: () => failures < FAILURES_TO_OPEN || (!isTrialInFlight && clock.monotonicMs() >= nextTrialMs),
    markTrial: () => { isTrialInFlight = failures >= FAILURES_TO_OPEN },
    unmarkTrial: () => { isTrialInFlight = false },
    hasFailures: () => failures > 0,
    getBackoffMs
  }
}
