/**
 * A token bucket that refills at a steady rate.
 */

const MS_PER_SECOND = 1000

/** The tokens in a bucket as of its last refill, by the monotonic clock in ms. */
export interface TokenBucket { tokens: number, filledAtMs: number }

/** Limits of a bucket. */
export interface TokenBucketLimits {
  /** Tokens added per second. */
  refillPerSecond: number
  /** Maximum number of tokens in the bucket. */
  burst: number
}

/** Refills the bucket and takes one token; false when there is less than one. */
export function tryAcquireToken (bucket: TokenBucket, { refillPerSecond, burst }: TokenBucketLimits, nowMs: number): boolean {
  const added = (nowMs - bucket.filledAtMs) * refillPerSecond / MS_PER_SECOND
  bucket.tokens = Math.min(burst, bucket.tokens + added)
  bucket.filledAtMs = nowMs
  if (bucket.tokens < 1) return false
  bucket.tokens -= 1
  return true
}
