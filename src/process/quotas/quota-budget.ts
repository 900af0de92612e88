/**
 * Divides what a customer may send in a window, its quota and the tolerance on top, among the entries that issue it.
 */
import type { Quota } from '../../version/customer-keys.ts'
import type { LeaseBucketLimits } from './lease-bucket.ts'

/** How far the requests of a customer may exceed its quota in a sliding window over all entries: a share of it, plus a constant. */
export interface QuotaTolerance { windowMs: number, share: number, slack: number }

/** The limits of the buckets from which a customer's tokens are issued. */
export interface QuotaBudget {
  /** Of the issuer. */
  primary: LeaseBucketLimits
  /** Of the entry that stands in while there is no issuer, or while a new one may not issue yet. */
  reserve: LeaseBucketLimits
}

const MS_PER_SECOND = 1_000
/** Share of the tolerance for tokens on lease that have been used, and still take room at the issuer. */
const LEASE_SHARE = 0.5
/** Share of the tolerance for one reserve, half as its burst; after a failure two entries may use theirs in one window. */
const RESERVE_SHARE = 0.25
/** Bounds of a lease, in ms: shorter ones expire on their way, longer ones hold tokens that others lack. */
const MIN_LEASE_MS = 100
const MAX_LEASE_MS = 1_000

/** Computes the budget of a customer; all buckets together stay within the quota and the tolerance in any window. */
export function computeQuotaBudget ({ ratePerSecond, burst }: Quota, { windowMs, share, slack }: QuotaTolerance): QuotaBudget {
  const windowS = windowMs / MS_PER_SECOND
  const tolerated = share * (ratePerSecond * windowS + burst) + slack
  const leaseTokens = LEASE_SHARE * tolerated
  const reserveBurst = RESERVE_SHARE * tolerated / 2
  const leaseMs = Math.min(MAX_LEASE_MS, Math.max(MIN_LEASE_MS, leaseTokens / ratePerSecond * MS_PER_SECOND))
  return {
    // With less than one token nothing could ever be sent.
    primary: { refillPerSecond: ratePerSecond, burst: Math.max(1, burst + leaseTokens), leaseMs },
    reserve: { refillPerSecond: reserveBurst / windowS, burst: reserveBurst, leaseMs }
  }
}

/** Computes the limits of a bucket of which only a share may be issued. */
export function computeShare ({ refillPerSecond, burst, leaseMs }: LeaseBucketLimits, share: number): LeaseBucketLimits {
  return { refillPerSecond: refillPerSecond * share, burst: burst * share, leaseMs }
}
