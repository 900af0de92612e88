/**
 * Follows one keyed topic of the platform's store: everything at first, then what is new, through outages and gaps.
 */
import type { Clock } from '../../clock.ts'
import type { AppError } from '../../errors.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import type { StoreClient } from '../../platform/store-client.ts'
import type { PartLogger } from '../logger.ts'

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
  /** Applies records; `isWhole` tells that they are the newest of every key. */
  applyRecords(records: readonly KeyedRecord[], isWhole: boolean): void
}

/** What is known of the store by one follower. */
export interface FollowerStatus {
  /** Whether the topic has been read at all. */
  hasRead: boolean
  /** Since when reads have failed, by the monotonic clock in ms; undefined while they succeed. */
  failingSinceMs: number | undefined
  /** When an outage of more than `SHORTEST_OUTAGE_MS` ended last. */
  outageEndedAtMs: number
}

/** A follower. */
export interface TopicFollower {
  start(): void
  getStatus(): FollowerStatus
  close(): void
}

/** Failures shorter than this are no outage: entries of live targets do not lapse in them, in ms. */
const SHORTEST_OUTAGE_MS = 500
/** Between two reads while the store is away, in ms. */
const RETRY_MS = 150
/** While the store is away reads are given up soon, since it may be back for the next one, in ms. */
const SHORT_TIMEOUT_MS = 600
/** Every so many failed reads one is given more time, for a store that answers, but slowly, in ms. */
const PATIENT_READ_EVERY = 4
const LONG_TIMEOUT_MS = 2_000

/** Creates a follower; nothing happens before `start`. */
export function createTopicFollower (options: TopicFollowerOptions): TopicFollower {
  const { topic, store, clock, random, logger } = options
  const stop = new AbortController()
  const status: FollowerStatus = { hasRead: false, failingSinceMs: undefined, outageEndedAtMs: -Infinity }
  let next: number | undefined
  let failedReads = 0

  const recordSuccess = (): void => {
    const nowMs = clock.monotonicMs()
    if (status.failingSinceMs !== undefined) {
      const awayMs = nowMs - status.failingSinceMs
      if (awayMs >= SHORTEST_OUTAGE_MS) status.outageEndedAtMs = nowMs
      logger.info('The store answers again.', { topic, awayMs: Math.round(awayMs) })
    }
    status.failingSinceMs = undefined
    status.hasRead = true
    failedReads = 0
  }
  const recordFailure = (error: AppError): void => {
    if (error.kind === 'log-gap') {
      logger.info('Records are no longer kept; reading the newest ones.', { topic, from: next })
      next = undefined
      return
    }
    if (error.kind === 'record-malformed') next = undefined
    failedReads += 1
    if (status.failingSinceMs === undefined) logger.warn('The store cannot be read.', { topic, error: error.message })
    status.failingSinceMs ??= clock.monotonicMs()
  }
  /** A read that the store may never answer must not hide its return. */
  const getReadLimits = () => {
    if (failedReads === 0) return {}
    return { waitMs: 0, timeoutMs: failedReads % PATIENT_READ_EVERY === 0 ? LONG_TIMEOUT_MS : SHORT_TIMEOUT_MS }
  }
  const readOnce = async (): Promise<boolean> => {
    const isWhole = next === undefined
    const limits = getReadLimits()
    const page = next === undefined
      ? await store.readNewest(topic, limits)
      : await store.readFrom(topic, next, { waitMs: options.waitMs, ...limits, signal: stop.signal })
    if (stop.signal.aborted) return false
    if (page.isErr()) {
      recordFailure(page.error)
      return false
    }
    recordSuccess()
    if (page.value.malformed > 0) logger.warn('Skipped records without a key.', { topic, count: page.value.malformed })
    next = page.value.next
    options.applyRecords(page.value.records, isWhole)
    return true
  }
  const pause = (durationMs: number): Promise<void> => clock.wait(durationMs, stop.signal)
  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
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
    getStatus: () => status,
    close: () => stop.abort()
  }
}
