/**
 * Rate limiter for the appends of one process, so that it stays within its share of the log's append rate.
 */
import type { Clock } from '../clock.ts'

/** Options of an append budget. */
export interface AppendBudgetOptions {
  clock: Clock
  /** Appends allowed per second. */
  perSecond: number
}

/** The append budget of one process. */
export interface AppendBudget {
  /** Waits for a permit to append, in order of arrival; resolves to false at once when the wait would exceed `maxWaitMs`. */
  acquire(maxWaitMs: number): Promise<boolean>
  /** Returns the permits acquired during the last complete second, and the maximum of any second so far. */
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

/** Creates a budget. It allows bursts of up to a tenth of a second's share, and of at least one append. */
export function createAppendBudget (options: AppendBudgetOptions): AppendBudget {
  const { clock, perSecond } = options
  const intervalMs = SECOND_MS / perSecond
  const burstMs = Math.max(SECOND_MS / 10, intervalMs)
  const counter = createUseCounter(clock)
  /** Scheduled time of the next permit, in ms of the clock. If it is past, unused permits of up to `burstMs` are granted at once. */
  let nextPermitAtMs = -Infinity
  return {
    async acquire (maxWaitMs) {
      const nowMs = clock.monotonicMs()
      const permitAtMs = Math.max(nextPermitAtMs, nowMs - burstMs + intervalMs)
      if (permitAtMs - nowMs > maxWaitMs) return false
      nextPermitAtMs = permitAtMs + intervalMs
      if (permitAtMs > nowMs) await clock.wait(permitAtMs - nowMs)
      counter.add()
      return true
    },
    report: counter.report
  }
}
