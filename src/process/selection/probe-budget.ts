/**
 * Keeps the load probes of this process to each target of a service within a rate limit.
 */
import type { Clock } from '../../clock.ts'
import { computeTokens, tryAcquireToken } from '../../request/balancing/token-bucket.ts'
import type { TokenBucketLimits } from '../../request/balancing/token-bucket.ts'
import type { TargetState } from './target-states.ts'

/** Budget of load probes to the targets of one service. */
export interface ProbeBudget {
  /** Charges a target for a load probe if its rate limit allows one. */
  tryAcquire(state: TargetState): boolean
  /** Returns the first targets, at most `size`, whose rate limit allows a load probe, and charges them for it. */
  acquireProbes(ordered: readonly TargetState[], size: number): TargetState[]
  /** Returns which share, 0 to 1, of the load probes that may be saved up for these targets is left. */
  computeSavedShare(targets: readonly TargetState[]): number
}

/** Load probes that may be sent to one target at once. */
const LOAD_PROBE_BURST = 6

/** Creates a budget; `getPerSecond` returns how many load probes this process may send to one target per second. */
export function createProbeBudget (clock: Clock, getPerSecond: () => number): ProbeBudget {
  const getLimits = (): TokenBucketLimits => ({ refillPerSecond: getPerSecond(), burst: LOAD_PROBE_BURST })
  const tryAcquire = ({ probeBucket }: TargetState): boolean => tryAcquireToken(probeBucket, getLimits(), clock.monotonicMs())
  return {
    tryAcquire,
    acquireProbes (ordered, size) {
      const acquired: TargetState[] = []
      for (const state of ordered) {
        if (acquired.length >= size) break
        if (tryAcquire(state)) acquired.push(state)
      }
      return acquired
    },
    computeSavedShare (targets) {
      const limits = getLimits()
      const nowMs = clock.monotonicMs()
      const saved = targets.reduce((sum, { probeBucket }) => sum + computeTokens(probeBucket, limits, nowMs), 0)
      return saved / (Math.max(1, targets.length) * LOAD_PROBE_BURST)
    }
  }
}
