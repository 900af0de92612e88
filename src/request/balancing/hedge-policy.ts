/**
 * Decides when a hedge of a slow request is worth its work, within a limit that the operator sets: the extra work as a share of
 * the work of all attempts. One policy serves one route of a service, whose requests are alike, so that each attempt counts as
 * the same work.
 *
 * A hedge is sent after the time that as many requests exceed as may be hedged. The time is measured relative to the expected
 * time at the selected target, so that a request to a target known to be slow is not late too early.
 */
import { createRatioBudget } from './ratio-budget.ts'
import { createRecentQuantile } from './recent-quantile.ts'

/** Hedging of the requests of one route. */
export interface HedgePolicy {
  /** Returns how long to wait for the response of an attempt before a hedge, in ms; undefined when no hedge may follow. */
  getDelayMs(expectedMs: number): number | undefined
  /** Records an attempt that is no hedge; it adds to what hedges may cost. */
  recordAttempt(): void
  /** Records that an attempt took `tookMs` up to its response, or was cancelled after that time since another one had responded. */
  recordTime(tookMs: number, expectedMs: number): void
  /** Whether the limit allows a hedge now. */
  canHedge(): boolean
  /** Charges the limit for a hedge; false when it allows none. */
  tryAcquire(): boolean
  /** Records that a hedge responded before the attempt that it was sent for. */
  recordWin(): void
  /** Changes the limit; 0 is off. */
  updateMaxExtraShare(share: number): void
  /** Returns the hedges sent, and those that responded first, since the start. */
  report(): HedgeCounts
}

/** Hedges sent, and those that responded first. */
export interface HedgeCounts { sent: number, won: number }

/** Hedges that may be saved up in a time without slow requests. */
const MAX_SAVED_HEDGES = 2
/** A request is not late before its expected time multiplied by this factor: a hedge would hardly be sooner. */
const MIN_LATE_FACTOR = 1.5
/** Recent requests whose times count. */
const RECENT_COUNT = 200
/** Requests after which their times are known well enough. */
const MIN_RECENT_COUNT = 20
/** Until then a request is late after its expected time multiplied by this factor, plus `INITIAL_SLACK_MS`. */
const INITIAL_FACTOR = 2
const INITIAL_SLACK_MS = 60

/** Creates the policy of a route; `maxExtraShare` limits the hedges to this share of the other attempts, 0 is off. */
export function createHedgePolicy (maxExtraShare: number): HedgePolicy {
  let share = maxExtraShare
  /** Times of recent requests, in expected times. */
  const ratios = createRecentQuantile({ maxCount: RECENT_COUNT, minCount: MIN_RECENT_COUNT })
  const budget = createRatioBudget({ share, maxTokens: MAX_SAVED_HEDGES })
  let wonCount = 0
  return {
    getDelayMs (expectedMs) {
      if (share === 0) return undefined
      const ratio = ratios.compute(1 - share)
      return ratio === undefined ? expectedMs * INITIAL_FACTOR + INITIAL_SLACK_MS : expectedMs * Math.max(MIN_LATE_FACTOR, ratio)
    },
    recordAttempt: budget.addShare,
    recordTime (tookMs, expectedMs) {
      if (expectedMs > 0) ratios.add(tookMs / expectedMs)
    },
    canHedge: () => share > 0 && budget.canAcquire(),
    tryAcquire: () => share > 0 && budget.tryAcquire(),
    recordWin () {
      wonCount += 1
    },
    updateMaxExtraShare (next) {
      share = next
      budget.updateShare(next)
    },
    report: () => ({ sent: budget.countAcquired(), won: wonCount })
  }
}
