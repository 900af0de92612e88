/**
 * Refuses claims at once while appends fail, except for a single trial now and then.
 */
import type { Clock } from '../../clock.ts'

const FAILURES_TO_OPEN = 3
const FIRST_BACKOFF_MS = 50
const LONGEST_BACKOFF_MS = 2_000
const LARGEST_DOUBLINGS = 10

/** Counts failures of appends. */
export interface AppendBreaker {
  addResult(isTaken: boolean): void
  /** Whether a claim may go out: appends work, or it is time for a trial and none is out. */
  canTry(): boolean
  /** Notes that a claim goes out; it is the trial while appends fail. */
  markTrial(): void
  /** Notes that the trial was taken back unsent. */
  unmarkTrial(): void
  hasFailures(): boolean
  /** How long to wait before the next append, in ms, with jitter. */
  getBackoffMs(): number
}

/** Creates a breaker that lets everything through. */
export function createAppendBreaker (clock: Clock, random: () => number): AppendBreaker {
  let failures = 0
  let nextTrialMs = 0
  let isTrialOut = false
  const getBackoffMs = (): number => {
    const doublings = Math.min(LARGEST_DOUBLINGS, Math.max(0, failures - 1))
    return Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings) * (1 + random()) / 2
  }
  return {
    addResult (isTaken) {
      isTrialOut = false
      failures = isTaken ? 0 : failures + 1
      nextTrialMs = clock.monotonicMs() + getBackoffMs()
    },
    canTry: () => failures < FAILURES_TO_OPEN || (!isTrialOut && clock.monotonicMs() >= nextTrialMs),
    markTrial: () => { isTrialOut = failures >= FAILURES_TO_OPEN },
    unmarkTrial: () => { isTrialOut = false },
    hasFailures: () => failures > 0,
    getBackoffMs
  }
}
