import { err, ok } from 'neverthrow'
import { createTestClock } from '../../src/clock.ts'
import { createError } from '../../src/errors.ts'
import type { KeyedPage, StoreClient } from '../../src/platform/store-client.ts'
import type { KeyedRecord } from '../../src/platform/store-frames.ts'
import type { SharedRecordRange } from '../../src/process/discovery/shared-range.ts'
import { createTopicFollower } from '../../src/process/discovery/topic-follower.ts'
import type { TopicFollower } from '../../src/process/discovery/topic-follower.ts'
import { toBrand } from '../../src/types.ts'
import type { StoreEpoch } from '../../src/types.ts'
import { SILENT_LOGGER } from './silent-logger.ts'

export const READ_MS = 4
export const PAUSE_MS = 600
export const SILENT_AFTER_MS = 900
/** A leaving target must get no requests after this time. */
export const DRAIN_MS = 2_000
const RETRYING_ENTRIES = 3
const PROBE_MS = 300
/** Applying records with this value throws. */
export const POISON = '!poison'

/** An entry that follows the topic, what it knows, its reads, and its faults. */
export interface Follower {
  follower: TopicFollower
  known: Map<string, string>
  reads: number
  /** How often it was told that keys may be missing, with a full read. */
  readsAfterOutage: number
  /** How often it was told so with records that were not a full read. */
  changesAfterOutage: number
  readMs: number
  isStoreLost: boolean
  /** Its calls do not reach the store; responses of the store still reach it. */
  areCallsLost: boolean
  /** Neither sends nor receives ranges. */
  isCut: boolean
}

/** Times of the followers, in ms: how long a read is held open, the pause between reads, and the age at which an entry reads by itself. */
export interface FollowerTimes { waitMs: number, pauseMs: number, silentAfterMs: number }

const DEFAULT_TIMES: FollowerTimes = { waitMs: 0, pauseMs: PAUSE_MS, silentAfterMs: SILENT_AFTER_MS }
/** How often the store looks for a record while it holds a read open, in ms. */
const HOLD_STEP_MS = 5
/** A call that is lost ends after this time, in ms. */
const LOST_CALL_MS = 1_800

/** Creates followers of one topic that share their reads; the first is the reader. Values that begin with `~` change nothing. */
export function createSharedReaders (count: number, { waitMs, pauseMs, silentAfterMs }: FollowerTimes = DEFAULT_TIMES) {
  const clock = createTestClock()
  const log: KeyedRecord[] = []
  const followers: Follower[] = []
  const state = { reader: 0, firstKept: 0, epoch: 1 }
  const write = (key: string, value: string): void => { log.push({ offset: log.length, key, value: Buffer.from(value) }) }
  const createStore = (self: () => Follower): StoreClient => {
    let highestEpoch = 0
    const toPage = (records: KeyedRecord[]): KeyedPage => ({ records, next: log.length, isEnd: true, malformed: 0, epoch: toBrand<StoreEpoch>(state.epoch) })
    const answer = async (from: number | undefined, holdMs = 0) => {
      self().reads += 1
      if (self().areCallsLost) {
        await clock.wait(LOST_CALL_MS)
        return err(createError('log-unavailable', 'no response'))
      }
      const heldUntilMs = clock.monotonicMs() + holdMs
      while (from === log.length && clock.monotonicMs() < heldUntilMs) await clock.wait(HOLD_STEP_MS)
      const page = toPage(log.slice(from ?? 0))
      const isGone = from !== undefined && (from < state.firstKept || from > log.length)
      await clock.wait(self().readMs)
      if (self().isStoreLost) return err(createError('log-unavailable', 'no response'))
      if (page.epoch > highestEpoch) {
        highestEpoch = page.epoch
        self().follower.handleEpoch()
      }
      return isGone ? err(createError('log-gap', 'compacted or restored')) : ok(page)
    }
    return {
      readNewest: () => answer(undefined),
      readFrom: (_, from, options) => answer(from, options.waitMs),
      append: async () => ok(toBrand<StoreEpoch>(state.epoch)),
      getEpoch: () => toBrand<StoreEpoch>(highestEpoch),
      report: () => ({ reads: 0, appends: 0, failures: 0, receivedBytes: 0 }),
      close: async () => undefined
    }
  }
  const publishFrom = (from: number, range: SharedRecordRange): void => {
    if (followers[from]!.isCut) return
    for (const [index, { follower, isCut }] of followers.entries()) if (index !== from && !isCut) follower.applyShared(range)
  }
  for (let index = 0; index < count; index++) {
    const known = new Map<string, string>()
    const follower = createTopicFollower({
      topic: 't',
      store: createStore(() => followers[index]!),
      clock,
      random: () => 0.5,
      logger: SILENT_LOGGER,
      waitMs,
      pauseMs,
      postOutageWindowMs: DRAIN_MS,
      applyRecords (records, { isFullRead, isAfterOutage }) {
        if (isFullRead && isAfterOutage) followers[index]!.readsAfterOutage += 1
        if (!isFullRead && isAfterOutage && records.length > 0) followers[index]!.changesAfterOutage += 1
        if (records.some(({ value }) => value && Buffer.from(value).toString() === POISON)) throw new Error('a record that cannot be applied')
        const changed = records.filter(({ value }) => value && !Buffer.from(value).toString().startsWith('~'))
        for (const { key, value } of changed) known.set(key, Buffer.from(value!).toString())
        return changed
      },
      sharing: { isReader: () => state.reader === index, publish: (range) => publishFrom(index, range), silentAfterMs, getRetryFactor: () => Math.max(1, count / RETRYING_ENTRIES) }
    })
    followers.push({ follower, known, reads: 0, readsAfterOutage: 0, changesAfterOutage: 0, readMs: READ_MS, isStoreLost: false, areCallsLost: false, isCut: false })
  }
  for (const { follower } of followers) follower.start()
  return {
    clock,
    state,
    followers,
    write,
    log,
    /** Restores the store from a copy with this number of records; offsets are given out again in a new epoch. */
    restore (length: number): void {
      log.length = length
      state.epoch += 1
    },
    /** Advances the time; each entry is probed by another one, whose progress rides on the probe, unless one of them is cut off. */
    async advanceWithProbes (ms: number): Promise<void> {
      for (let step = 1; step <= ms / PROBE_MS; step++) {
        await clock.advance(PROBE_MS)
        for (const [index, { follower, isCut }] of followers.entries()) {
          const prober = followers[(index + step) % count]!
          const progress = prober.follower.getProgress()
          if (progress && !isCut && !prober.isCut) follower.applyProgress(progress)
        }
      }
    }
  }
}
