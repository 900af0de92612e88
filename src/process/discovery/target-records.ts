/**
 * Applies the records of the targets topic to the registry, and tells which of them the other entries may lack.
 */
import type { Clock } from '../../clock.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import { decodeTargetReport } from '../../platform/target-record.ts'
import { toBrand } from '../../types.ts'
import type { TargetId } from '../../types.ts'
import type { PartLogger } from '../logger.ts'
import type { TargetLimiter } from '../target-limits/target-limiter.ts'
import type { PageContext } from './record-applier.ts'
import { createStoreView } from './store-view.ts'
import type { TargetChange, TargetRegistry, TargetReport } from './target-registry.ts'

/** Options of `createTargetRecords`. */
export interface TargetRecordsOptions {
  registry: TargetRegistry
  clock: Clock
  logger: PartLogger
  limiter: Pick<TargetLimiter, 'recordColdReport'>
}

/** The records of the targets topic. */
export interface TargetRecords {
  /** Applies records. Returns those that other entries may lack, without heartbeats of unchanged targets; none of a full read. */
  apply(records: readonly KeyedRecord[], context: PageContext): KeyedRecord[]
}

/** Creates the records of a topic of which nothing has been read. */
export function createTargetRecords ({ registry, clock, logger, limiter }: TargetRecordsOptions): TargetRecords {
  const storeView = createStoreView()

  const decodeChange = (record: KeyedRecord): TargetChange | undefined => {
    if (!record.value) return { type: 'removal', id: toBrand<TargetId>(record.key) }
    const decoded = decodeTargetReport(record.key, record.value)
    if (decoded.isOk()) return { type: 'report', report: decoded.value }
    logger.debug('Skipped a target record that could not be decoded.', { offset: record.offset, error: decoded.error.message })
    return undefined
  }
  /** Applies how long the record of a target says that it stays cold. */
  const applyColdReport = ({ id, warmupLeftMs }: TargetReport): void => {
    if (warmupLeftMs > 0) limiter.recordColdReport(id, warmupLeftMs)
  }
  const applyChange = (change: TargetChange, { key, offset }: KeyedRecord, isAfterOutage: boolean): void => {
    const outcome = registry.apply(change, clock.monotonicMs(), isAfterOutage)
    if (outcome === 'stale') return
    if (change.type === 'report') applyColdReport(change.report)
    if (outcome !== 'updated') logger.info(`A target is ${outcome}.`, { target: key, offset })
  }
  const applyNext = (records: readonly KeyedRecord[], { isAfterOutage }: PageContext): KeyedRecord[] => {
    const decoded = records.flatMap((record) => {
      const change = decodeChange(record)
      return change ? [{ record, change }] : []
    })
    for (const { record, change } of decoded) applyChange(change, record, isAfterOutage)
    // Only now, since after an error above the records are applied once more.
    return decoded.filter(({ change }) => storeView.apply(change)).map(({ record }) => record)
  }
  const applyFullRead = (records: readonly KeyedRecord[], { isAfterOutage, isAfterRestore }: PageContext): void => {
    const decoded = records.map((record) => ({ id: toBrand<TargetId>(record.key), change: decodeChange(record) }))
    const reports: TargetReport[] = decoded.flatMap(({ change }) => change?.type === 'report' ? [change.report] : [])
    // As with single records, one that cannot be decoded changes nothing.
    const unreadable = decoded.filter(({ change }) => change === undefined).map(({ id }) => id)
    registry.replaceAll(reports, unreadable, clock.monotonicMs(), isAfterOutage)
    storeView.replaceAll(reports, isAfterRestore)
    for (const report of reports) if (registry.get(report.id)?.report === report) applyColdReport(report)
    logger.info('Read all targets.', { count: registry.countTargets() })
  }
  return {
    apply (records, context) {
      if (!context.isFullRead) return applyNext(records, context)
      applyFullRead(records, context)
      return []
    }
  }
}
