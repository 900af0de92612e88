/**
 * A token bucket whose tokens are leased to other processes. Leased tokens may still be used until their lease expires, so
 * they take room in the bucket until then: tokens in the bucket and on lease never exceed its burst together. Hence the
 * tokens used in any time, over all processes, are at most the burst and what accrues in that time.
 */

/** Tokens on lease until an instant. */
interface Lease { count: number, expiresAtMs: number }

/** A bucket as of its last refill, by the monotonic clock in ms. */
export interface LeaseBucket {
  tokens: number
  filledAtMs: number
  /** The leases that have not expired, the earliest first. */
  leases: Lease[]
}

/** Limits of a bucket. */
export interface LeaseBucketLimits {
  /** Tokens added per second. */
  refillPerSecond: number
  /** Maximum number of tokens in the bucket and on lease. */
  burst: number
  /** How long a lease lasts, in ms. */
  leaseMs: number
}

/** Tokens that a process asks for. */
export interface TokenDemand {
  /** For requests that wait. */
  required: number
  /** For requests that are expected before the lease expires. */
  expected: number
}

const MS_PER_SECOND = 1_000
/** Leases count until the next multiple of this time, in ms, so that few are kept. */
const EXPIRY_STEP_MS = 10
/** Share of the remaining tokens that one process gets for expected requests, so that others find some too. */
const EXPECTED_SHARE = 0.25
/** Longest time that a denial states, in ms. */
const MAX_WAIT_MS = 2_000

/** Creates a bucket that fills from `startMs` on, empty or, with `isFull`, full at its first use. */
export function createLeaseBucket (startMs: number, isFull = false): LeaseBucket {
  return { tokens: isFull ? Infinity : 0, filledAtMs: startMs, leases: [] }
}

/** Counts the tokens on lease. */
export function countLeased ({ leases }: LeaseBucket): number {
  return leases.reduce((sum, { count }) => sum + count, 0)
}

function addAccrued (bucket: LeaseBucket, { refillPerSecond, burst }: LeaseBucketLimits, untilMs: number): void {
  if (untilMs <= bucket.filledAtMs) return
  const room = Math.max(0, burst - bucket.tokens - countLeased(bucket))
  const accrued = (untilMs - bucket.filledAtMs) * refillPerSecond / MS_PER_SECOND
  bucket.tokens += Math.min(room, accrued)
  bucket.filledAtMs = untilMs
}

/** Brings a bucket up to date: what accrues while a lease lasts finds less room. */
function update (bucket: LeaseBucket, limits: LeaseBucketLimits, nowMs: number): void {
  for (let [first] = bucket.leases; first && first.expiresAtMs <= nowMs; [first] = bucket.leases) {
    addAccrued(bucket, limits, first.expiresAtMs)
    bucket.leases.shift()
  }
  addAccrued(bucket, limits, nowMs)
  bucket.tokens = Math.min(bucket.tokens, Math.max(0, limits.burst - countLeased(bucket)))
}

/** Adds a lease that another process has granted, or that this one grants. */
export function addLease (bucket: LeaseBucket, count: number, expiresAtMs: number): void {
  if (count === 0) return
  const countedUntilMs = Math.ceil(expiresAtMs / EXPIRY_STEP_MS) * EXPIRY_STEP_MS
  const last = bucket.leases.at(-1)
  if (last && last.expiresAtMs >= countedUntilMs) last.count += count
  else bucket.leases.push({ count, expiresAtMs: countedUntilMs })
}

/** Leases tokens; returns how many. */
export function acquireLease (bucket: LeaseBucket, limits: LeaseBucketLimits, demand: TokenDemand, nowMs: number): number {
  update(bucket, limits, nowMs)
  const available = Math.floor(bucket.tokens)
  const required = Math.min(available, demand.required)
  const expected = Math.min(Math.floor((available - required) * EXPECTED_SHARE), demand.expected)
  const count = required + expected
  bucket.tokens -= count
  addLease(bucket, count, nowMs + limits.leaseMs)
  return count
}

/** Computes the time until the next whole token, in ms. */
export function computeTokenWaitMs (bucket: LeaseBucket, { refillPerSecond, burst }: LeaseBucketLimits, nowMs: number): number {
  const startsInMs = Math.max(0, bucket.filledAtMs - nowMs)
  const accruesInMs = (1 - bucket.tokens) / refillPerSecond * MS_PER_SECOND
  const isFull = countLeased(bucket) + 1 > burst
  const roomInMs = isFull ? (bucket.leases[0]?.expiresAtMs ?? Infinity) - nowMs : 0
  return Math.min(MAX_WAIT_MS, Math.max(0, startsInMs + accruesInMs, roomInMs))
}
