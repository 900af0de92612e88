/**
 * Applies the records of a topic, read by this entry or by another one, in order and within one era of the store.
 */
import type { KeyedPage } from '../../platform/store-client.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import type { StoreEra } from '../../types.ts'
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
}

/** Applies records. Returns those that changed something. */
export type ApplyRecords = (records: readonly KeyedRecord[], context: PageContext) => KeyedRecord[]

/** Options of `createRecordApplier`. */
export interface RecordApplierOptions {
  topic: string
  logger: PartLogger
  applyRecords: ApplyRecords
  /** How long after an outage or a restore `isAfterOutage` is set, in ms. */
  postOutageWindowMs: number
  sharing?: Pick<SharedReading, 'isReader' | 'publish'>
  position: ReadPosition
  outages: OutageWatch
}

/** Creates the functions that apply the records of a topic, and that move the position. */
export function createRecordApplier (options: RecordApplierOptions) {
  const { topic, logger, sharing, position, outages, applyRecords } = options
  /** Era of the records that were applied last. */
  let appliedEra: StoreEra | undefined

  const isAfterOutage = (): boolean => outages.isAfterOutage(options.postOutageWindowMs)
  /** Begins to apply records of an era. Returns whether the store was restored since the last ones. */
  const startEra = (era: StoreEra): boolean => {
    const isRestored = appliedEra !== undefined && era > appliedEra
    if (isRestored) outages.recordRestore()
    appliedEra = era
    return isRestored
  }
  /** Applies a full read. The reader tells the others of a later era, in which they have to read by themselves too. */
  const applyFullRead = ({ records, next, era }: KeyedPage): void => {
    const isRestored = startEra(era)
    applyRecords(records, { isFullRead: true, isAfterOutage: isAfterOutage() })
    position.moveTo({ era, next })
    position.recordCurrent(0)
    if (isRestored && sharing?.isReader()) sharing.publish({ topic, era, from: next, next, isAfterOutage: true, records: [] })
  }
  /** Applies the records after `known` of a page that was read from `from`, and shares all of them if this entry is the reader. */
  const applyNext = ({ records, next, era }: KeyedPage, from: TopicPosition, known: TopicPosition): void => {
    startEra(era)
    const context: PageContext = { isFullRead: false, isAfterOutage: isAfterOutage() }
    const changed = applyRecords(records.filter(({ offset }) => offset >= known.next), context)
    position.moveTo({ era, next: Math.max(next, known.next) })
    if (next >= known.next) position.recordCurrent(0)
    if (!sharing?.isReader()) return
    const range = { topic, era, from: from.next, next, isAfterOutage: context.isAfterOutage, records: changed }
    for (const part of toSharedRanges(range)) sharing.publish(part)
  }
  return {
    /**
     * Applies a page that was read from a position, or a full read without one. Returns false, and applies nothing, when the
     * page is older than `storeEra`, or its offsets belong to another era than the position.
     */
    applyPage (page: KeyedPage, from: TopicPosition | undefined, storeEra: StoreEra): boolean {
      if (page.era < storeEra) {
        logger.info('Skipped a response of before a restore of the store.', { topic, era: page.era, storeEra })
        return false
      }
      if (from === undefined) {
        applyFullRead(page)
        return true
      }
      const known = position.get()
      if (!known || !canContinue(from, page.era) || !canContinue(known, page.era)) return false
      applyNext(page, from, known)
      return true
    },
    /** Applies a range that another entry has read. Returns false if records before it are missing here. */
    applyRange (range: SharedRecordRange): boolean {
      const known = position.get()
      if (known && range.era < known.era) return true
      if (known === undefined || !canContinue(known, range.era) || range.from > known.next) return false
      // The reader has just read the store, so this process need not find out by itself that it is available.
      outages.recordSuccess()
      position.recordCurrent(0)
      if (range.next > known.next) {
        startEra(range.era)
        position.moveTo(range)
        applyRecords(range.records.filter(({ offset }) => offset >= known.next), { isFullRead: false, isAfterOutage: range.isAfterOutage || isAfterOutage() })
      } else if (range.records.length > 0) {
        logger.info('Ignored records that count as applied.', { topic, from: range.from, ...known, records: range.records.length })
      }
      return true
    }
  }
}
