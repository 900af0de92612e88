/**
 * Issues the permits of targets that advertise a rate limit: a token bucket for each target, which starts empty.
 */
import type { Clock } from '../../clock.ts'
import { tryAcquireToken } from '../../request/balancing/token-bucket.ts'
import type { TokenBucket } from '../../request/balancing/token-bucket.ts'
import type { TargetId } from '../../types.ts'

/** The answer to a request for one permit. */
export interface PermitAnswer {
  isGranted: boolean
  /** Time until the next permit accrues, in ms; 0 when one was granted. */
  waitMs: number
}

/** Issues permits. */
export interface PermitIssuer {
  /** Issues one permit of a target that accepts `perSecond` requests from those that this process issues permits to. */
  issue(target: TargetId, perSecond: number): PermitAnswer
  /** Drops the buckets of targets for which this process no longer issues permits. */
  removeOthers(isIssuing: (target: TargetId) => boolean): void
}

/** Options of `createPermitIssuer`. */
export interface PermitIssuerOptions {
  clock: Clock
  /** Returns the instant from which permits of a new bucket accrue, by the monotonic clock in ms. */
  getStartMs(): number
}

/** Permits that accrue while nobody requests them, in ms of the rate, and at least this number. */
const BURST_MS = 500
const MIN_BURST = 2
/** A target that accepts next to nothing still gets a request at this rate, since only its responses tell when the limit ends. */
const MIN_PER_SECOND = 0.1
const MS_PER_SECOND = 1_000

/** Creates an issuer without buckets. */
export function createPermitIssuer ({ clock, getStartMs }: PermitIssuerOptions): PermitIssuer {
  const buckets = new Map<TargetId, TokenBucket>()
  const getBucket = (target: TargetId, nowMs: number): TokenBucket => {
    const known = buckets.get(target) ?? { tokens: 0, filledAtMs: Math.max(nowMs, getStartMs()) }
    buckets.set(target, known)
    return known
  }
  return {
    issue (target, perSecond) {
      const nowMs = clock.monotonicMs()
      const refillPerSecond = Math.max(MIN_PER_SECOND, perSecond)
      const burst = Math.max(MIN_BURST, refillPerSecond * BURST_MS / MS_PER_SECOND)
      const bucket = getBucket(target, nowMs)
      const hasStarted = nowMs >= bucket.filledAtMs
      if (hasStarted && tryAcquireToken(bucket, { refillPerSecond, burst }, nowMs)) return { isGranted: true, waitMs: 0 }
      const startsInMs = Math.max(0, bucket.filledAtMs - nowMs)
      return { isGranted: false, waitMs: startsInMs + (1 - bucket.tokens) / refillPerSecond * MS_PER_SECOND }
    },
    removeOthers (isIssuing) {
      for (const target of buckets.keys()) if (!isIssuing(target)) buckets.delete(target)
    }
  }
}
