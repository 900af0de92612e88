/**
 * Hedging of one request: when its response is late, and what its attempts tell the policy of the route.
 */
import type { Cancel } from '../../types.ts'
import { isIdempotent } from '../../version/configuration.ts'
import type { GatewayCall } from './gateway-call.ts'
import type { TargetAttempt } from './target-attempt.ts'

/** Hedging of one request. */
export interface AttemptHedging {
  /** Records an attempt that was sent; `handleLate` follows when its response is late, unless another attempt is sent before. */
  recordSent(attempt: TargetAttempt, isHedge: boolean): void
  /** Records that no further hedge is needed; `winner` is the attempt whose response is relayed, and `running` are those cancelled for it. */
  finish(winner: TargetAttempt | undefined, running: Iterable<TargetAttempt>): void
}

/** Without a policy, a hedge is sent after the expected time multiplied by this factor, plus `HEDGE_SLACK_MS`. */
const HEDGE_FACTOR = 2
const HEDGE_SLACK_MS = 60

/** Creates the hedging of a request. */
export function createAttemptHedging (call: GatewayCall, handleLate: () => void): AttemptHedging {
  const { route, service, clock } = call
  const policy = service.hedging.get(route.name)
  const sentAtMs = new Map<TargetAttempt, number>()
  let hedge: TargetAttempt | undefined
  let cancelTimer: Cancel = () => undefined
  const getDelayMs = (expectedMs: number): number | undefined => {
    if (!isIdempotent(route.kind) || hedge) return undefined
    return policy ? policy.getDelayMs(expectedMs) : expectedMs * HEDGE_FACTOR + HEDGE_SLACK_MS
  }
  const recordTime = (attempt: TargetAttempt): void => {
    const startedAtMs = sentAtMs.get(attempt)
    if (startedAtMs !== undefined) policy?.recordTime(clock.monotonicMs() - startedAtMs, attempt.selection.expectedMs)
  }
  return {
    recordSent (attempt, isHedge) {
      sentAtMs.set(attempt, clock.monotonicMs())
      if (isHedge) hedge = attempt
      else policy?.recordAttempt()
      if (isHedge) call.record.hedge = call.record.attempts.length
      cancelTimer()
      const delayMs = getDelayMs(attempt.selection.expectedMs)
      if (delayMs !== undefined) cancelTimer = clock.startTimer(delayMs, handleLate)
    },
    finish (winner, running) {
      cancelTimer()
      if (!winner) return
      for (const attempt of new Set([winner, ...running])) recordTime(attempt)
      if (winner === hedge) policy?.recordWin()
    }
  }
}
