/**
 * Estimates how long the callers of requests have waited already. A caller that was rejected comes back with what is left of
 * its deadline, and its latency target counts from its first attempt; nothing else tells such a request from a first one.
 */
import { addToDecayed, createDecayed, readDecayed } from './decayed-sum.ts'
import type { DecayedSum } from './decayed-sum.ts'

/** The deadlines that callers state, by route. */
export interface CallerWaits {
  /** Records the deadline that a caller stated, in ms, and returns how long it has waited already, in ms; 0 when it cannot be told. */
  recordDeadline(route: string, deadlineMs: number, nowMs: number): number
}

/** Deadlines closer than this count as one, in ms. */
const BUCKET_MS = 16
/** A deadline that at least this share of the requests states is that of first attempts; those of others are spread widely. */
const USUAL_SHARE = 1 / 8
/** Fewer requests than this say nothing about what is usual. */
const MIN_REQUESTS = 20
/** Time constant of the counts of deadlines, in ms: long enough for rare routes. */
const TIME_CONSTANT_MS = 10_000
/** Deadlines remembered of one route; beyond it, the rare ones are forgotten. */
const MAX_BUCKETS = 256

interface RouteDeadlines { total: DecayedSum, buckets: Map<number, DecayedSum> }

function removeRare ({ buckets }: RouteDeadlines, nowMs: number): void {
  for (const [bucket, sum] of buckets) if (readDecayed(sum, nowMs) < 1) buckets.delete(bucket)
}

function recordBucket (deadlines: RouteDeadlines, bucket: number, nowMs: number): void {
  const { total, buckets } = deadlines
  if (!buckets.has(bucket) && buckets.size >= MAX_BUCKETS) removeRare(deadlines, nowMs)
  const sum = buckets.get(bucket) ?? createDecayed(TIME_CONSTANT_MS)
  if (buckets.size < MAX_BUCKETS) buckets.set(bucket, sum)
  addToDecayed(sum, 1, nowMs)
  addToDecayed(total, 1, nowMs)
}

/** Whether a deadline is usual, together with its neighbours, since the same one may fall on both sides of a boundary. */
function isUsual ({ total, buckets }: RouteDeadlines, bucket: number, nowMs: number): boolean {
  const sums = [bucket - 1, bucket, bucket + 1].map((near) => buckets.get(near))
  const count = sums.reduce((sum, near) => sum + (near ? readDecayed(near, nowMs) : 0), 0)
  return count >= USUAL_SHARE * readDecayed(total, nowMs)
}

/** Creates the estimate; nothing is usual yet. */
export function createCallerWaits (): CallerWaits {
  const routes = new Map<string, RouteDeadlines>()
  return {
    recordDeadline (route, deadlineMs, nowMs) {
      const deadlines = routes.get(route) ?? { total: createDecayed(TIME_CONSTANT_MS), buckets: new Map<number, DecayedSum>() }
      routes.set(route, deadlines)
      const bucket = Math.floor(deadlineMs / BUCKET_MS)
      recordBucket(deadlines, bucket, nowMs)
      if (readDecayed(deadlines.total, nowMs) < MIN_REQUESTS || isUsual(deadlines, bucket, nowMs)) return 0
      const usualAbove = [...deadlines.buckets.keys()].filter((other) => other > bucket && isUsual(deadlines, other, nowMs))
      return usualAbove.length === 0 ? 0 : (Math.min(...usualAbove) - bucket) * BUCKET_MS
    }
  }
}
