/**
 * Follows one keyed topic of the platform's store: everything at first, then what is new, through outages and gaps.
 *
 * One entry, the reader, reads for all and shares what it has read; the others read by themselves at the start, after a
 * gap, and while they hear nothing from the reader.
 */
import type { Clock } from '../../clock.ts'
import type { AppError } from '../../errors.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import type { KeyedPage, StoreClient } from '../../platform/store-client.ts'
import type { PartLogger } from '../logger.ts'

/** What one entry has read of a topic, for those that have read it up to `from`. */
export interface SharedStretch {
  topic: string
  from: number
  /** Where the next read goes on. */
  next: number
  /** Whether the store was away shortly before. */
  isAfterOutage: boolean
  /** The records that change something; a stretch that is too large to share comes without them and begins at its end. */
  records: KeyedRecord[]
}

/** How entries share their reads. */
export interface SharedReading {
  /** Whether this entry is the one that reads for all. */
  isReader(): boolean
  /** Tells the other entries. */
  publish(stretch: SharedStretch): void
  /** Without a word from the reader for this long an entry reads by itself, in ms. */
  silentAfterMs: number
}

/** How records are to be taken. */
export interface PageContext {
  /** The records are the newest of every key. */
  isWhole: boolean
  /** The store was away shortly before: entries that are missing may have lapsed only because of that. */
  isAfterOutage: boolean
}

/** How to follow a topic. Times in ms. */
export interface TopicFollowerOptions {
  topic: string
  store: StoreClient
  clock: Clock
  random: () => number
  logger: PartLogger
  /** How long the store may hold a read back while there is nothing new. */
  waitMs: number
  /** Between two reads. */
  pauseMs: number
  /** For how long after its return the store counts as having been away, in ms. Default 0. */
  outageEchoMs?: number
  /** Applies records and returns those that changed something. */
  applyRecords(records: readonly KeyedRecord[], context: PageContext): KeyedRecord[]
  /** Left out when this process alone follows the topic. */
  sharing?: SharedReading
}

/** A follower. */
export interface TopicFollower {
  start(): void
  /** Takes what another entry has read. */
  applyShared(stretch: SharedStretch): void
  /** Whether the latest read of this process failed. */
  isStoreAway(): boolean
  close(): void
}

/** Stretches with larger records are read by each entry itself, so that no link carries them once for each peer, in bytes. */
const MAX_SHARED_BYTES = 8_192
/** Failures shorter than this are no outage: entries of live targets do not lapse in them, in ms. */
const MIN_OUTAGE_MS = 500
/** Between two reads while the store is away, in ms. */
const RETRY_MS = 150
/** While the store is away reads are given up soon, since it may be back for the next one, in ms. */
const SHORT_TIMEOUT_MS = 600
/** Every so many failed reads one is given more time, for a store that answers, but slowly, in ms. */
const READS_PER_LONG_TIMEOUT = 4
const LONG_TIMEOUT_MS = 2_000

/** Leaves the records out of a stretch that is too large to share: who has not read them is to read them. */
function toSharedRange (stretch: SharedStretch): SharedStretch {
  const sizeBytes = stretch.records.reduce((sum, { value }) => sum + (value?.byteLength ?? 0), 0)
  return sizeBytes <= MAX_SHARED_BYTES ? stretch : { ...stretch, from: stretch.next, records: [] }
}

/** Creates a follower; nothing happens before `start`. */
export function createTopicFollower (options: TopicFollowerOptions): TopicFollower {
  const { topic, store, clock, random, logger, sharing, outageEchoMs = 0 } = options
  const stop = new AbortController()
  /** Since when reads have failed; undefined while they succeed. */
  let failingSinceMs: number | undefined
  /** When an outage of more than `SHORTEST_OUTAGE_MS` ended last. */
  let outageEndedAtMs = -Infinity
  let next: number | undefined
  let failedReads = 0
  /** When the reader was heard last. */
  let lastSharedAtMs = -Infinity
  /** How far the reader has read, by its own word. */
  let readerNext = 0
  /** Ends the wait for the reader. */
  let wake = new AbortController()

  const recordSuccess = (): void => {
    const nowMs = clock.monotonicMs()
    if (failingSinceMs !== undefined) {
      const outageMs = nowMs - failingSinceMs
      if (outageMs >= MIN_OUTAGE_MS) outageEndedAtMs = nowMs
      logger.info('The store answers again.', { topic, awayMs: Math.round(outageMs) })
    }
    failingSinceMs = undefined
    failedReads = 0
  }
  const recordFailure = (error: AppError): void => {
    if (error.kind === 'log-gap') {
      logger.info('Records are no longer kept; reading the newest ones.', { topic, from: next })
      next = undefined
      readerNext = 0
      return
    }
    if (error.kind === 'record-malformed') next = undefined
    failedReads += 1
    if (failingSinceMs === undefined) logger.warn('The store cannot be read.', { topic, error: error.message })
    failingSinceMs ??= clock.monotonicMs()
  }
  /** A read that the store may never answer must not hide its return. */
  const getReadLimits = () => {
    if (failedReads === 0) return {}
    return { waitMs: 0, timeoutMs: failedReads % READS_PER_LONG_TIMEOUT === 0 ? LONG_TIMEOUT_MS : SHORT_TIMEOUT_MS }
  }
  const isAfterOutage = (): boolean => clock.monotonicMs() - outageEndedAtMs < outageEchoMs
  /** Applies a page, but for what the reader has told meanwhile. */
  const applyPage = (page: KeyedPage, from: number | undefined): void => {
    const context: PageContext = { isWhole: from === undefined, isAfterOutage: isAfterOutage() }
    const appliedTo = next ?? 0
    const changed = options.applyRecords(context.isWhole ? page.records : page.records.filter(({ offset }) => offset >= appliedTo), context)
    next = Math.max(page.next, appliedTo)
    if (from === undefined || !sharing?.isReader()) return
    sharing.publish(toSharedRange({ topic, from, next: page.next, isAfterOutage: context.isAfterOutage, records: changed }))
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
  /** Returns for how long this process may rely on the reader, in ms; 0 when it is to read by itself. */
  const getReaderTrustMs = (): number => {
    if (!sharing || next === undefined || failedReads > 0 || next < readerNext || sharing.isReader()) return 0
    return Math.max(0, lastSharedAtMs + sharing.silentAfterMs - clock.monotonicMs())
  }
  const waitForReader = async (durationMs: number): Promise<void> => {
    wake = new AbortController()
    await clock.wait(durationMs, wake.signal)
  }
  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const trustMs = getReaderTrustMs()
      if (trustMs > 0) {
        await waitForReader(trustMs)
        continue
      }
      const isRead = await readOnce()
      if (isRead) {
        if (options.pauseMs > 0) await pause(options.pauseMs)
        continue
      }
      await pause(RETRY_MS * (0.5 + random()))
    }
  }
  return {
    start () {
      run().catch((cause: unknown) => logger.error('Following a topic ended.', { topic, err: cause }))
    },
    applyShared (stretch) {
      lastSharedAtMs = clock.monotonicMs()
      readerNext = Math.max(readerNext, stretch.next)
      if (next === undefined || stretch.next <= next) return
      if (stretch.from > next) {
        wake.abort()
        return
      }
      const from = next
      next = stretch.next
      options.applyRecords(stretch.records.filter(({ offset }) => offset >= from), {
        isWhole: false,
        isAfterOutage: stretch.isAfterOutage || isAfterOutage()
      })
    },
    isStoreAway: () => failingSinceMs !== undefined,
    close () {
      stop.abort()
      wake.abort()
    }
  }
}
