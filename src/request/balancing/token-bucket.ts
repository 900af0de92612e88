/**
 * A budget that fills with time.
 */

const MS_PER_SECOND = 1000

/** What is left of a budget, and when it was filled last, by the monotonic clock in ms. */
export interface TokenBucket { tokens: number, filledAtMs: number }

/** How a bucket fills. */
export interface TokenBucketRate {
  perSecond: number
  /** The most that may be saved up. */
  largest: number
}

/** Takes one token; false when there is less than one. */
export function takeToken (bucket: TokenBucket, { perSecond, largest }: TokenBucketRate, nowMs: number): boolean {
  const earned = (nowMs - bucket.filledAtMs) * perSecond / MS_PER_SECOND
  bucket.tokens = Math.min(largest, bucket.tokens + earned)
  bucket.filledAtMs = nowMs
  if (bucket.tokens < 1) return false
  bucket.tokens -= 1
  return true
}
