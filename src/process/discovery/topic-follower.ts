/**
 * Follows one keyed topic of the platform's store: reads the newest record of every key first, then new records, through
 * outages and gaps.
 *
 * One entry, the reader, reads for all entries and shares its records. The others read by themselves at the start, after
 * a gap, and while they receive nothing from the reader. Entries also tell each other how far they have read and how long
 * ago, so that one that missed a record notices it.
 */
import type { Clock } from '../../clock.ts'
import type { AppError } from '../../errors.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import type { KeyedPage, StoreClient } from '../../platform/store-client.ts'
import type { PartLogger } from '../logger.ts'
import { toSharedRanges } from './shared-range.ts'
import type { SharedRecordRange } from './shared-range.ts'

/** How far a topic has been read. */
export interface TopicProgress {
  /** Offset at which the next read continues. */
  next: number
  /** How long ago the store was seen to hold no further record, in ms. */
  ageMs: number
}

/** How entries share their reads. */
export interface SharedReading {
  /** Returns whether this entry is the reader. */
  isReader(): boolean
  /** Sends a range to the other entries. */
  publish(range: SharedRecordRange): void
  /** An entry reads by itself when it knows nothing of the topic that is younger than this, in ms. */
  silentAfterMs: number
  /**
   * Returns how many times longer an entry other than the reader pauses between failed reads, so that the calls of all
   * entries to a store that is unavailable do not grow with their number.
   */
  getRetryFactor(): number
}

/** Context of the records of a page. */
export interface PageContext {
  /** Whether the records are a full read: the newest record of every key. */
  isFullRead: boolean
  /** Whether the store was unavailable shortly before, so that missing keys may have expired only because of the outage. */
  isAfterOutage: boolean
}

/** Options of a follower; times in ms. */
export interface TopicFollowerOptions {
  topic: string
  store: StoreClient
  clock: Clock
  random: () => number
  logger: PartLogger
  /** Maximum wait of a read at the store while there are no new records. */
  waitMs: number
  /** Time between two reads. */
  pauseMs: number
  /** How long after an outage `isAfterOutage` is set. Default 0. */
  postOutageWindowMs?: number
  /** Applies records. Returns those that changed something. */
  applyRecords(records: readonly KeyedRecord[], context: PageContext): KeyedRecord[]
  /** Sharing with other entries; left out if this process alone follows the topic. */
  sharing?: SharedReading
  /**
   * Set when all entries start for the first time, in ms: the topic is then followed from its beginning, and for this long
   * the reader is given the time to read it for all.
   */
  firstReadDelayMs?: number
}

/** A follower of one topic. */
export interface TopicFollower {
  start(): void
  /** Applies a range that another entry has read. */
  applyShared(range: SharedRecordRange): void
  /** Applies how far another entry has read. */
  applyProgress(progress: TopicProgress): void
  /** Returns how far this entry has read; undefined before the first read. */
  getProgress(): TopicProgress | undefined
  /** Returns whether the latest read of this process failed. */
  isStoreUnavailable(): boolean
  /** Returns whether the reads of this process have failed for as long as an outage lasts at least. */
  hasLostStore(): boolean
  close(): void
}

/** Failures shorter than this do not count as an outage, because records of live targets do not expire within it, in ms. */
const MIN_OUTAGE_MS = 500
/** An entry that is behind another one waits this long for the records that may be on their way to it, in ms. */
const BEHIND_GRACE_MS = 100
/** An entry that has heard no other for this long does not rely on them to learn that the store has recovered, in ms. */
const OTHERS_HEARD_MS = 2_000
/** Time between two reads while the store is unavailable, in ms, before jitter. */
const RETRY_MS = 150
/** Timeout of most reads while the store is unavailable, in ms; short, so that the first read after its recovery starts soon. */
const SHORT_TIMEOUT_MS = 600
/** After each run of this many failed reads the next one gets `LONG_TIMEOUT_MS`, for a store that responds slowly. */
const READS_PER_LONG_TIMEOUT = 4
const LONG_TIMEOUT_MS = 2_000

/** Creates a follower. It does nothing before `start`. */
export function createTopicFollower (options: TopicFollowerOptions): TopicFollower {
  const { topic, store, clock, random, logger, sharing, postOutageWindowMs = 0 } = options
  const stop = new AbortController()
  /** Instant of the first failure in a row; undefined while reads succeed. */
  let failingSinceMs: number | undefined
  /** Instant at which the last outage of at least `MIN_OUTAGE_MS` ended. */
  let outageEndedAtMs = -Infinity
  let next: number | undefined = options.firstReadDelayMs === undefined ? undefined : 0
  let failedReads = 0
  /** Whether this process reads although it is not the reader. */
  let isReadingAlone = false
  /** Instant at which the store held no record beyond `next`, as far as this process knows. */
  let currentAtMs = -Infinity
  /** Offset up to which another entry has read. */
  let furthestNext = 0
  /** Instant at which another entry was last heard. */
  let lastHeardAtMs = -Infinity
  /** Instant from which this entry reads by itself because it is behind. */
  let catchUpAtMs = Infinity
  /** Aborts the wait for the reader. */
  let wake = new AbortController()

  const recordSuccess = (): void => {
    const nowMs = clock.monotonicMs()
    if (failingSinceMs !== undefined) {
      const outageMs = nowMs - failingSinceMs
      if (outageMs >= MIN_OUTAGE_MS) outageEndedAtMs = nowMs
      logger.info('The store is readable again.', { topic, awayMs: Math.round(outageMs) })
    }
    failingSinceMs = undefined
    failedReads = 0
  }
  const recordFailure = (error: AppError): void => {
    if (error.kind === 'log-gap') {
      logger.info('Records are no longer in the store; reading the newest record of every key.', { topic, from: next })
      next = undefined
      furthestNext = 0
      return
    }
    if (error.kind === 'record-malformed') next = undefined
    failedReads += 1
    if (failingSinceMs === undefined) logger.warn('The store cannot be read.', { topic, error: error.message })
    failingSinceMs ??= clock.monotonicMs()
  }
  /** Returns short timeouts after a failure, so that a read without a response does not delay noticing the recovery. */
  const getReadLimits = () => {
    if (failedReads === 0) return {}
    return { waitMs: 0, timeoutMs: failedReads % READS_PER_LONG_TIMEOUT === 0 ? LONG_TIMEOUT_MS : SHORT_TIMEOUT_MS }
  }
  const isAfterOutage = (): boolean => clock.monotonicMs() - outageEndedAtMs < postOutageWindowMs
  /** Applies the records of a page that the reader has not shared meanwhile, and shares them if this entry is the reader. */
  const applyPage = (page: KeyedPage, from: number | undefined): void => {
    const context: PageContext = { isFullRead: from === undefined, isAfterOutage: isAfterOutage() }
    const appliedTo = next ?? 0
    const changed = options.applyRecords(context.isFullRead ? page.records : page.records.filter(({ offset }) => offset >= appliedTo), context)
    next = Math.max(page.next, appliedTo)
    if (next === page.next) currentAtMs = clock.monotonicMs()
    if (from === undefined || !sharing?.isReader()) return
    const range = { topic, from, next: page.next, isAfterOutage: context.isAfterOutage, records: changed }
    for (const part of toSharedRanges(range)) sharing.publish(part)
  }
  const readOnce = async (): Promise<boolean> => {
    const from = next
    const limits = getReadLimits()
    const page = from === undefined
      ? await store.readNewest(topic, limits)
      : await store.readFrom(topic, from, { waitMs: options.waitMs, ...limits, signal: stop.signal })
    if (stop.signal.aborted) return false
    if (page.isErr()) {
      recordFailure(page.error)
      return false
    }
    recordSuccess()
    if (page.value.malformed > 0) logger.warn('Skipped records without a key.', { topic, count: page.value.malformed })
    applyPage(page.value, from)
    return true
  }
  const pause = (durationMs: number): Promise<void> => clock.wait(durationMs, stop.signal)
  const isBehind = (): boolean => next === undefined || next < furthestNext
  const recordFurthest = (offset: number, graceMs: number): void => {
    const wasBehind = isBehind()
    furthestNext = Math.max(furthestNext, offset)
    if (!isBehind()) return
    const nowMs = clock.monotonicMs()
    catchUpAtMs = wasBehind ? Math.min(catchUpAtMs, nowMs + graceMs) : nowMs + graceMs
    wake.abort()
  }
  /** Returns how long this process may still rely on the reader, in ms; 0 if it must read by itself. */
  const getReaderTrustMs = (): number => {
    if (!sharing || next === undefined || failedReads > 0 || sharing.isReader()) return 0
    const nowMs = clock.monotonicMs()
    const trustMs = currentAtMs + sharing.silentAfterMs - nowMs
    return Math.max(0, isBehind() ? Math.min(trustMs, catchUpAtMs - nowMs) : trustMs)
  }
  /** Whether other entries have been heard lately, so that this one will hear from them when the store recovers. */
  const isHearingOthers = (): boolean => clock.monotonicMs() - lastHeardAtMs < OTHERS_HEARD_MS
  /** Pauses after a failed read; ends early when this entry hears that it is behind. */
  const pauseForRetry = async (): Promise<void> => {
    const reliesOnOthers = sharing !== undefined && !sharing.isReader() && next !== undefined && isHearingOthers()
    const jitter = 0.5 + random()
    await pause(RETRY_MS * jitter)
    if (reliesOnOthers && !isBehind()) await waitForReader(RETRY_MS * jitter * (sharing.getRetryFactor() - 1))
  }
  const waitForReader = async (durationMs: number): Promise<void> => {
    wake = new AbortController()
    await clock.wait(durationMs, wake.signal)
  }
  /** Logs once why this process, which is not the reader, begins to read by itself. */
  const explainOwnRead = (): void => {
    if (isReadingAlone || !sharing || next === undefined || sharing.isReader()) return
    isReadingAlone = true
    const because = failedReads > 0 ? 'its last read failed' : isBehind() ? 'it is behind the reader' : 'it received nothing from the reader'
    logger.info('Reading a topic by itself.', { topic, because, next, furthestNext, knownForMs: Math.round(clock.monotonicMs() - currentAtMs) })
  }
  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const trustMs = getReaderTrustMs()
      if (trustMs > 0) {
        isReadingAlone = false
        await waitForReader(trustMs)
        continue
      }
      explainOwnRead()
      const isRead = await readOnce()
      if (isRead) {
        if (options.pauseMs > 0) await pause(options.pauseMs)
        continue
      }
      await pauseForRetry()
    }
  }
  return {
    start () {
      const { firstReadDelayMs } = options
      if (firstReadDelayMs !== undefined && sharing) currentAtMs = clock.monotonicMs() + firstReadDelayMs - sharing.silentAfterMs
      run().catch((cause: unknown) => logger.error('Following a topic failed.', { topic, err: cause }))
    },
    applyShared (range) {
      lastHeardAtMs = clock.monotonicMs()
      if (next === undefined || range.from > next) {
        recordFurthest(range.next, 0)
        return
      }
      // The reader has just read the store, so this process need not find out by itself that it is available.
      recordSuccess()
      currentAtMs = clock.monotonicMs()
      if (range.next <= next) {
        if (range.records.length > 0) logger.info('Ignored records that count as applied.', { topic, from: range.from, next, records: range.records.length })
        return
      }
      const from = next
      next = range.next
      options.applyRecords(range.records.filter(({ offset }) => offset >= from), {
        isFullRead: false,
        isAfterOutage: range.isAfterOutage || isAfterOutage()
      })
    },
    applyProgress (progress) {
      lastHeardAtMs = clock.monotonicMs()
      if (next !== undefined && progress.next === next) currentAtMs = Math.max(currentAtMs, clock.monotonicMs() - progress.ageMs)
      else recordFurthest(progress.next, BEHIND_GRACE_MS)
    },
    getProgress: () => next === undefined || currentAtMs === -Infinity ? undefined : { next, ageMs: Math.max(0, clock.monotonicMs() - currentAtMs) },
    hasLostStore: () => failingSinceMs !== undefined && clock.monotonicMs() - failingSinceMs >= MIN_OUTAGE_MS,
    isStoreUnavailable: () => failingSinceMs !== undefined,
    close () {
      stop.abort()
      wake.abort()
    }
  }
}
