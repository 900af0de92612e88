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

/** Computes the tokens in the bucket at an instant. */
export function computeTokens ({ tokens, filledAtMs }: TokenBucket, { refillPerSecond, burst }: TokenBucketLimits, nowMs: number): number {
  return Math.min(burst, tokens + (nowMs - filledAtMs) * refillPerSecond / MS_PER_SECOND)
}

/** Refills the bucket and takes one token; false when there is less than one. */
export function tryAcquireToken (bucket: TokenBucket, limits: TokenBucketLimits, nowMs: number): boolean {
  bucket.tokens = computeTokens(bucket, limits, nowMs)
  bucket.filledAtMs = nowMs
  if (bucket.tokens < 1) return false
  bucket.tokens -= 1
  return true
}
