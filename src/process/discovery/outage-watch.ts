/**
 * Tracks whether the store can be read, and when the last outage or restore ended, from the outcomes of the reads of one topic.
 */
import type { Clock } from '../../clock.ts'
import type { AppError } from '../../errors.ts'
import type { PartLogger } from '../logger.ts'

/** Tracks outages of the store. */
export interface OutageWatch {
  /** Records that the store has responded, to this entry or to another one. */
  recordSuccess(): void
  recordFailure(error: AppError): void
  /** Records that an outage has ended, or that the store was restored from a copy: keys may be missing until they are written again. */
  recordOutageEnd(): void
  /** Whether the latest read failed. */
  isUnavailable(): boolean
  /** Whether the reads have failed for as long as an outage lasts at least. */
  hasLostStore(): boolean
  /** Whether an outage or a restore ended less than `windowMs` ago. */
  isAfterOutage(windowMs: number): boolean
  /** Returns short limits after a failure, so that a read without a response does not delay noticing the recovery. */
  getReadLimits(): { waitMs?: number, timeoutMs?: number }
}

/** Failures shorter than this do not count as an outage, because records of live targets do not expire within it, in ms. */
const MIN_OUTAGE_MS = 500
/** Timeout of most reads while the store is unavailable, in ms; short, so that the first read after its recovery starts soon. */
const SHORT_TIMEOUT_MS = 600
/** After each run of this many failed reads the next one gets `LONG_TIMEOUT_MS`, for a store that responds slowly. */
const READS_PER_LONG_TIMEOUT = 4
const LONG_TIMEOUT_MS = 2_000

/** Creates a watch for the reads of a topic. */
export function createOutageWatch (options: { topic: string, clock: Clock, logger: PartLogger }): OutageWatch {
  const { topic, clock, logger } = options
  /** Instant of the first failure in a row; undefined while reads succeed. */
  let failingSinceMs: number | undefined
  let endedAtMs = -Infinity
  let failedReads = 0
  return {
    recordSuccess () {
      const nowMs = clock.monotonicMs()
      if (failingSinceMs !== undefined) {
        const outageMs = nowMs - failingSinceMs
        if (outageMs >= MIN_OUTAGE_MS) endedAtMs = nowMs
        logger.info('The store is readable again.', { topic, awayMs: Math.round(outageMs) })
      }
      failingSinceMs = undefined
      failedReads = 0
    },
    recordFailure (error) {
      failedReads += 1
      if (failingSinceMs === undefined) logger.warn('The store cannot be read.', { topic, error: error.message })
      failingSinceMs ??= clock.monotonicMs()
    },
    recordOutageEnd () {
      endedAtMs = clock.monotonicMs()
    },
    isUnavailable: () => failingSinceMs !== undefined,
    hasLostStore: () => failingSinceMs !== undefined && clock.monotonicMs() - failingSinceMs >= MIN_OUTAGE_MS,
    isAfterOutage: (windowMs) => clock.monotonicMs() - endedAtMs < windowMs,
    getReadLimits () {
      if (failedReads === 0) return {}
      return { waitMs: 0, timeoutMs: failedReads % READS_PER_LONG_TIMEOUT === 0 ? LONG_TIMEOUT_MS : SHORT_TIMEOUT_MS }
    }
  }
}
