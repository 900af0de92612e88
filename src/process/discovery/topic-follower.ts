/**
 * Follows one keyed topic of the platform's store: reads the newest record of every key first, then new records, through
 * outages and gaps.
 *
 * One entry, the reader, reads for all entries and shares its records. The others read by themselves at the start, after
 * a gap, and while they receive nothing from the reader. Entries also tell each other how far they have read and how long
 * ago, so that one that missed a record notices it.
 *
 * When the store was restored from a copy, its offsets begin anew in another epoch: each entry then reads the newest record of
 * every key once more.
 */
import type { Result } from 'neverthrow'
import { measureElapsedMs, readInstant } from '../../clock.ts'
import type { Clock } from '../../clock.ts'
import type { AppError } from '../../errors.ts'
import type { KeyedPage, StoreClient } from '../../platform/store-client.ts'
import type { PartLogger } from '../logger.ts'
import type { StoreEpoch } from '../../types.ts'
import { createOutageWatch } from './outage-watch.ts'
import { computePageAgeMs } from './page-age.ts'
import { createReadPosition } from './read-position.ts'
import type { TopicProgress } from './read-position.ts'
import { createRecordApplier } from './record-applier.ts'
import type { ApplyRecords } from './record-applier.ts'
import type { SharedRecordRange } from './shared-range.ts'
import type { SharedReading } from './shared-reading.ts'
import { canContinue, comparePositions, TOPIC_BEGINNING } from './topic-position.ts'
import type { TopicPosition } from './topic-position.ts'

/** Options of a follower; times in ms. */
export interface TopicFollowerOptions {
  topic: string
  store: StoreClient
  clock: Clock
  random: () => number
  logger: PartLogger
  /** Maximum wait of a read at the store while there are no new records. */
  waitMs: number
  /** Time from the start of a read to the start of the next one. */
  pauseMs: number
  /** How long after an outage or a restore `isAfterOutage` is set. Default 0. */
  postOutageWindowMs?: number
  applyRecords: ApplyRecords
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
  /** Handles that the store has stated a later epoch, in whichever response. */
  handleEpoch(): void
  /** Returns how far this entry has read; undefined before the first read. */
  getProgress(): TopicProgress | undefined
  /** Returns whether the latest read of this process failed. */
  isStoreUnavailable(): boolean
  /** Returns whether the reads of this process have failed for as long as an outage lasts at least. */
  hasLostStore(): boolean
  close(): void
}

/** An entry that is behind another one waits this long for the records that may be on their way to it, in ms. */
const BEHIND_GRACE_MS = 100
/** An entry that has heard no other for this long does not rely on them to learn that the store has recovered, in ms. */
const OTHERS_HEARD_MS = 2_000
/** Time between two reads while the store is unavailable, in ms, before jitter. */
const RETRY_MS = 150

/** Creates a follower. It does nothing before `start`. */
export function createTopicFollower (options: TopicFollowerOptions): TopicFollower {
  const { topic, store, clock, random, logger, sharing, postOutageWindowMs = 0 } = options
  const stop = new AbortController()
  const outages = createOutageWatch({ topic, clock, logger })
  const position = createReadPosition(clock, options.firstReadDelayMs === undefined ? undefined : TOPIC_BEGINNING)
  const { applyPage, applyRange } = createRecordApplier({ ...options, position, outages, postOutageWindowMs })
  /** Until this instant, by the monotonic clock in ms, the reader is given the time for the first read. */
  let firstReadAtMs = -Infinity
  /** Whether the last page had records: the next read finds out at once whether there are more. */
  let hasReadRecords = false
  /** Whether the last page ended before the records did. */
  let hasMoreRecords = false
  /** Whether this process reads although it is not the reader. */
  let isReadingAlone = false
  /** Instant at which another entry was last heard. */
  let lastHeardAtMs = -Infinity
  /** Aborts the wait for the reader. */
  let wake = new AbortController()

  const startInLaterEpoch = (storeEpoch: StoreEpoch): void => {
    logger.info('The store was restored; reading the newest record of every key.', { topic, ...position.get(), storeEpoch })
    position.reset()
  }
  const recordFailure = (error: AppError): void => {
    if (error.kind === 'log-gap') {
      logger.info('Records are no longer in the store; reading the newest record of every key.', { topic, ...position.get() })
      position.resetAll()
      return
    }
    if (error.kind === 'record-malformed') position.reset()
    outages.recordFailure(error)
  }
  const read = async (from: TopicPosition | undefined, waitMs: number): Promise<Result<KeyedPage, AppError>> => {
    const { timeoutMs } = outages.getReadLimits()
    const limits = timeoutMs === undefined ? {} : { timeoutMs }
    if (from === undefined) return store.readNewest(topic, limits)
    return store.readFrom(topic, from.next, { ...limits, waitMs, signal: stop.signal })
  }
  /** Reads once. Returns whether the records were applied. */
  const readOnce = async (): Promise<boolean> => {
    const laterEpoch = position.takeLaterEpoch(store.getEpoch())
    if (laterEpoch !== undefined) startInLaterEpoch(laterEpoch)
    const from = position.get()
    const waitMs = hasReadRecords ? 0 : outages.getReadLimits().waitMs ?? options.waitMs
    const sentAt = readInstant(clock)
    const page = await read(from, waitMs)
    if (stop.signal.aborted) return false
    if (page.isErr()) {
      recordFailure(page.error)
      return false
    }
    outages.recordSuccess()
    if (page.value.malformed > 0) logger.warn('Skipped records without a key.', { topic, count: page.value.malformed })
    hasReadRecords = page.value.records.length > 0
    hasMoreRecords = hasReadRecords && !page.value.isEnd
    const ageMs = computePageAgeMs(page.value, { elapsedMs: measureElapsedMs(clock, sentAt), waitMs: from ? waitMs : 0 })
    const isApplied = applyPage({ page: page.value, from, ageMs }, store.getEpoch())
    if (!isApplied && page.value.epoch >= store.getEpoch()) startInLaterEpoch(page.value.epoch)
    return isApplied
  }
  const pause = (durationMs: number): Promise<void> => clock.wait(durationMs, stop.signal)
  const recordOther = (other: TopicPosition, graceMs: number): void => {
    if (position.recordOther(other, graceMs)) wake.abort()
  }
  /** Returns how long this process may still rely on the reader, in ms; 0 if it must read by itself. */
  const getReaderTrustMs = (): number => {
    const known = position.get()
    if (!sharing || known === undefined || outages.isUnavailable() || sharing.isReader()) return 0
    if (!canContinue(known, store.getEpoch())) return 0
    const trustMs = position.getTrustMs(sharing.silentAfterMs)
    return position.isBehind() ? trustMs : Math.max(trustMs, firstReadAtMs - clock.monotonicMs())
  }
  /** Whether other entries have been heard lately, so that this one will hear from them when the store recovers. */
  const isHearingOthers = (): boolean => clock.monotonicMs() - lastHeardAtMs < OTHERS_HEARD_MS
  /** Pauses after a failed read; ends early when this entry hears that it is behind. */
  const pauseForRetry = async (): Promise<void> => {
    const reliesOnOthers = sharing !== undefined && !sharing.isReader() && position.get() !== undefined && isHearingOthers()
    const jitter = 0.5 + random()
    await pause(RETRY_MS * jitter)
    if (reliesOnOthers && !position.isBehind()) await waitForReader(RETRY_MS * jitter * (sharing.getRetryFactor() - 1))
  }
  const waitForReader = async (durationMs: number): Promise<void> => {
    wake = new AbortController()
    await clock.wait(durationMs, wake.signal)
  }
  /** Logs once why this process, which is not the reader, begins to read by itself. */
  const explainOwnRead = (): void => {
    const known = position.get()
    if (isReadingAlone || !sharing || known === undefined || sharing.isReader()) return
    isReadingAlone = true
    const because = outages.isUnavailable() ? 'its last read failed' : position.isBehind() ? 'it is behind the reader' : 'it received nothing from the reader'
    logger.info('Reading a topic by itself.', { topic, because, ...known, furthest: position.getFurthest(), knownForMs: Math.round(position.getAgeMs()) })
  }
  const readAndPause = async (): Promise<void> => {
    const startedAtMs = clock.monotonicMs()
    const isRead = await readOnce()
    if (!isRead) {
      await pauseForRetry()
      return
    }
    const pauseMs = hasMoreRecords ? 0 : startedAtMs + options.pauseMs - clock.monotonicMs()
    if (pauseMs > 0) await pause(pauseMs)
  }
  /** Waits for the reader, or reads once. */
  const runOnce = async (): Promise<void> => {
    const trustMs = getReaderTrustMs()
    if (trustMs > 0) {
      isReadingAlone = false
      await waitForReader(trustMs)
      return
    }
    explainOwnRead()
    await readAndPause()
  }
  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      try {
        await runOnce()
      } catch (cause) {
        logger.error('Following a topic failed; trying again.', { topic, err: cause })
        await pause(RETRY_MS)
      }
    }
  }
  return {
    start () {
      const { firstReadDelayMs } = options
      if (firstReadDelayMs !== undefined && sharing) firstReadAtMs = clock.monotonicMs() + firstReadDelayMs
      run().catch((cause: unknown) => logger.error('Following a topic failed.', { topic, err: cause }))
    },
    applyShared (range) {
      lastHeardAtMs = clock.monotonicMs()
      if (!applyRange(range)) recordOther(range, 0)
    },
    applyProgress (progress) {
      lastHeardAtMs = clock.monotonicMs()
      const known = position.get()
      if (known && comparePositions(progress, known) === 0) position.recordCurrent(progress.ageMs)
      else recordOther(progress, BEHIND_GRACE_MS)
    },
    handleEpoch: () => wake.abort(),
    getProgress: () => position.getProgress(),
    hasLostStore: () => outages.hasLostStore(),
    isStoreUnavailable: () => outages.isUnavailable(),
    close () {
      stop.abort()
      wake.abort()
    }
  }
}
