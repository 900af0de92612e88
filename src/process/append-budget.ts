/**
 * Holds the appends of one process under its share of what the log takes in a second.
 */
import type { Clock } from '../clock.ts'

/** How much may be appended. */
export interface AppendBudgetOptions {
  clock: Clock
  /** Appends a second. */
  perSecond: number
}

/** A share of the log's appends. */
export interface AppendBudget {
  /** Waits for a turn, in the order of asking; false when none comes within `longestWaitMs`. */
  take(longestWaitMs: number): Promise<boolean>
  /** Turns taken during the last whole second, and the most of any second so far. */
  report(): { lastSecond: number, busiestSecond: number }
}

const SECOND_MS = 1_000

function createUseCounter (clock: Clock) {
  let second = 0
  let count = 0
  let lastSecond = 0
  let busiestSecond = 0
  const advance = (): void => {
    const now = Math.floor(clock.monotonicMs() / SECOND_MS)
    if (now === second) return
    lastSecond = now === second + 1 ? count : 0
    second = now
    count = 0
  }
  return {
    add (): void {
      advance()
      count += 1
      busiestSecond = Math.max(busiestSecond, count)
    },
    report () {
      advance()
      return { lastSecond, busiestSecond }
    }
  }
}

/** Creates a budget; up to a tenth of a second's share may be used at once. */
export function createAppendBudget (options: AppendBudgetOptions): AppendBudget {
  const { clock, perSecond } = options
  const intervalMs = SECOND_MS / perSecond
  const burstMs = Math.max(SECOND_MS / 10, intervalMs)
  const counter = createUseCounter(clock)
  /** When the next turn would come if nothing were left unused. */
  let nextTurnMs = -Infinity
  return {
    async take (longestWaitMs) {
      const nowMs = clock.monotonicMs()
      const turnMs = Math.max(nextTurnMs, nowMs - burstMs + intervalMs)
      if (turnMs - nowMs > longestWaitMs) return false
      nextTurnMs = turnMs + intervalMs
      if (turnMs > nowMs) await clock.wait(turnMs - nowMs)
      counter.add()
      return true
    },
    report: counter.report
  }
}
