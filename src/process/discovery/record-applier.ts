/**
 * Applies the records of a topic, read by this entry or by another one, in order and within one epoch of the store.
 */
import type { KeyedPage } from '../../platform/store-client.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import type { StoreEpoch } from '../../types.ts'
import type { PartLogger } from '../logger.ts'
import type { OutageWatch } from './outage-watch.ts'
import type { ReadPosition } from './read-position.ts'
import { toSharedRanges } from './shared-range.ts'
import type { SharedRecordRange } from './shared-range.ts'
import { canContinue } from './topic-position.ts'
import type { TopicPosition } from './topic-position.ts'
import type { SharedReading } from './shared-reading.ts'

/** Context of the records of a page. */
export interface PageContext {
  /** Whether the records are a full read: the newest record of every key. */
  isFullRead: boolean
  /** Whether the store was unavailable or restored from a copy shortly before, so that keys may be missing only because of that. */
  isAfterOutage: boolean
  /** Whether this is the first read since the store was restored from a copy; what was written after the copy may be missing. */
  isAfterRestore: boolean
}

/**
 * Applies records. Returns those that other entries may lack although they have applied all before. What changed nothing for this
 * entry is not left out for that alone: it may know more than the others, from before a restore of the store.
 */
export type ApplyRecords = (records: readonly KeyedRecord[], context: PageContext) => readonly KeyedRecord[]

/** Options of `createRecordApplier`. */
export interface RecordApplierOptions {
  topic: string
  logger: PartLogger
  applyRecords: ApplyRecords
  /** How long after an outage or a restore `isAfterOutage` is set, in ms. */
  postOutageWindowMs: number
  sharing?: Pick<SharedReading, 'isReader' | 'publish' | 'silentAfterMs'>
  position: ReadPosition
  outages: OutageWatch
}

/**
 * An entry whose knowledge is older than this many times the age at which it reads by itself has not heard of the store from
 * anyone: the store was unavailable, or this entry was cut off.
 */
const OUTAGE_AGE_FACTOR = 1.5

/** A page that was read, and what it tells about the store. */
export interface ReadPage {
  page: KeyedPage
  /** Where the read began; undefined for a full read. */
  from: TopicPosition | undefined
  /** How long ago the store held no record beyond the page, in ms; undefined when more records follow. */
  ageMs: number | undefined
}

/** Creates the functions that apply the records of a topic, and that move the position. */
export function createRecordApplier (options: RecordApplierOptions) {
  const { topic, logger, sharing, position, outages } = options
  /** Epoch of the records that were applied last. */
  let appliedEpoch: StoreEpoch | undefined

  const applyOne = (record: KeyedRecord, context: PageContext): readonly KeyedRecord[] => {
    try {
      return options.applyRecords([record], context)
    } catch (cause) {
      logger.error('Skipped a record that could not be applied.', { topic, key: record.key, offset: record.offset, err: cause })
      return [record]
    }
  }
  /** Applies records; one on which that fails takes no others with it. A full read is applied as a whole or fails. */
  const applyRecords = (records: readonly KeyedRecord[], context: PageContext): readonly KeyedRecord[] => {
    if (context.isFullRead) return options.applyRecords(records, context)
    try {
      return options.applyRecords(records, context)
    } catch {
      return records.flatMap((record) => applyOne(record, context))
    }
  }
  const isAfterOutage = (): boolean => outages.isAfterOutage(options.postOutageWindowMs)
  /** Begins to apply records of an epoch. Returns whether the store was restored since the last ones. */
  const startEpoch = (epoch: StoreEpoch): boolean => {
    const isRestored = appliedEpoch !== undefined && epoch > appliedEpoch
    if (isRestored) outages.recordOutageEnd()
    appliedEpoch = epoch
    return isRestored
  }
  /** Applies a full read. The reader tells the others of a later epoch, in which they have to read by themselves too. */
  const applyFullRead = ({ page: { records, next, epoch }, ageMs }: ReadPage): void => {
    const isRestored = startEpoch(epoch)
    applyRecords(records, { isFullRead: true, isAfterOutage: isAfterOutage(), isAfterRestore: isRestored })
    position.moveTo({ epoch, next })
    if (ageMs !== undefined) position.recordCurrent(ageMs)
    if (isRestored && sharing?.isReader()) sharing.publish({ topic, epoch, from: next, next, ageMs, isAfterOutage: true, records: [] })
  }
  /** Applies the records after `known` of a page, and shares them if this entry is the reader. */
  const applyNext = ({ page: { records, next, epoch }, ageMs }: ReadPage, known: TopicPosition): void => {
    startEpoch(epoch)
    const context: PageContext = { isFullRead: false, isAfterOutage: isAfterOutage(), isAfterRestore: false }
    const lacked = applyRecords(records.filter(({ offset }) => offset >= known.next), context)
    position.moveTo({ epoch, next: Math.max(next, known.next) })
    if (next >= known.next && ageMs !== undefined) position.recordCurrent(ageMs)
    if (!sharing?.isReader() || next < known.next) return
    // Records before `known` came from another reader. An entry that missed them must not take this range for all that it lacks.
    const range = { topic, epoch, from: known.next, next, ageMs, isAfterOutage: context.isAfterOutage, records: lacked }
    for (const part of toSharedRanges(range)) sharing.publish(part)
  }
  return {
    /**
     * Applies a page that was read from a position, or a full read without one. Returns false, and applies nothing, when the
     * page is older than `storeEpoch`, or its offsets belong to another epoch than the position.
     */
    applyPage (read: ReadPage, storeEpoch: StoreEpoch): boolean {
      const { page, from } = read
      if (page.epoch < storeEpoch) {
        logger.info('Skipped a response of before a restore of the store.', { topic, epoch: page.epoch, storeEpoch })
        return false
      }
      if (from === undefined) {
        applyFullRead(read)
        return true
      }
      const known = position.get()
      if (!known || !canContinue(from, page.epoch) || !canContinue(known, page.epoch)) return false
      applyNext(read, known)
      return true
    },
    /** Applies a range that another entry has read. Returns false if records before it are missing here. */
    applyRange (range: SharedRecordRange): boolean {
      const known = position.get()
      if (known && range.epoch < known.epoch) return true
      if (known === undefined || !canContinue(known, range.epoch) || range.from > known.next) return false
      // The reads of the reader may have failed for a reason of its own; then this entry has heard of the store from others.
      if (range.isAfterOutage && position.getAgeMs() >= (sharing?.silentAfterMs ?? 0) * OUTAGE_AGE_FACTOR) outages.recordOutageEnd()
      // The reader has just read the store, so this process need not find out by itself that it is available.
      outages.recordSuccess()
      if (range.next > known.next) {
        startEpoch(range.epoch)
        position.moveTo(range)
        applyRecords(range.records.filter(({ offset }) => offset >= known.next), { isFullRead: false, isAfterOutage: isAfterOutage(), isAfterRestore: false })
      } else if (range.records.length > 0) {
        logger.info('Ignored records that count as applied.', { topic, from: range.from, ...known, records: range.records.length })
      }
      // A range that ends before the own position was read before what this process knows.
      if (range.next >= known.next && range.ageMs !== undefined) position.recordCurrent(range.ageMs)
      return true
    }
  }
}
