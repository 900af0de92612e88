/**
 * What the store has held of each target since its epoch began, and which of its records the other entries may lack.
 *
 * The entry that reads for all leaves out what targets write with each heartbeat. That is judged by the records before it in the
 * store and not by what this entry knows: it may know more, from before a restore of the store or from other sources.
 */
import type { TargetId } from '../../types.ts'
import type { TargetChange, TargetReport } from './target-registry.ts'

/** The records of the targets in the store. */
export interface StoreView {
  /**
   * Applies a full read. `isAfterRestore` says that it is the first one of an epoch: what the store held before counts no more.
   */
  replaceAll(reports: readonly TargetReport[], isAfterRestore: boolean): void
  /** Applies a change that follows. Returns whether entries that have applied all changes before it may lack it. */
  apply(change: TargetChange): boolean
}

/** The latest run of a target, and its latest report; undefined once its record was removed. */
interface StoredTarget { bornMs: number, sequence: number, report: TargetReport | undefined }

/** Whether a report was written late: a later one of its target was in the store before. */
function isLate ({ bornMs, sequence }: TargetReport, stored: StoredTarget): boolean {
  if (bornMs !== stored.bornMs) return bornMs < stored.bornMs
  return stored.report ? sequence < stored.sequence : sequence <= stored.sequence
}

/** Whether a report says nothing but what follows from the one before. */
function isHeartbeat (report: TargetReport, latest: TargetReport): boolean {
  return report.bornMs === latest.bornMs &&
    report.service === latest.service && report.zone === latest.zone &&
    report.address === latest.address && report.port === latest.port &&
    report.slots === latest.slots && report.isDraining === latest.isDraining &&
    report.warmupLeftMs <= latest.warmupLeftMs
}

/** Creates the view of a store without records. */
export function createStoreView (): StoreView {
  const stored = new Map<TargetId, StoredTarget>()
  const keep = (report: TargetReport): void => {
    stored.set(report.id, { bornMs: report.bornMs, sequence: report.sequence, report })
  }
  const applyReport = (report: TargetReport): boolean => {
    const known = stored.get(report.id)
    if (known && isLate(report, known)) return false
    keep(report)
    return !known?.report || !isHeartbeat(report, known.report)
  }
  return {
    replaceAll (reports, isAfterRestore) {
      if (isAfterRestore) stored.clear()
      for (const target of stored.values()) target.report = undefined
      for (const report of reports) keep(report)
    },
    apply (change) {
      if (change.type === 'report') return applyReport(change.report)
      const known = stored.get(change.id)
      if (known) known.report = undefined
      return true
    }
  }
}
