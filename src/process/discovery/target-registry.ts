/**
 * The targets of all services, folded from what they report to the store.
 *
 * A run of a target is named by its id and the time of its start. Reports of one run are ordered by a sequence
 * number; late ones are dropped, and a run that has begun to leave never comes back.
 */
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'

/** What a target says of itself. */
export interface TargetReport {
  id: TargetId
  service: ServiceId
  address: string
  port: number
  zone: ZoneId
  /** Requests that it processes at once. */
  slots: number
  isDraining: boolean
  /** Start of this run, in ms since 1970 by the target's clock. */
  bornMs: number
  /** Grows with each report of one run. */
  sequence: number
  /** How much longer it is slow after its start, in ms. */
  warmupLeftMs: number
}

/** One change of a target: a report, or the removal of its entry. */
export type TargetChange =
  | { type: 'report', report: TargetReport }
  | { type: 'removal', id: TargetId }

/** A target as the registry holds it. */
export interface RegisteredTarget {
  report: TargetReport
  isLeaving: boolean
  /** Until when it is slow after its start, by the monotonic clock in ms. */
  warmUntilMs: number
  /** Its entry was removed during an outage of the store; it is gone unless it reports again before this instant. */
  lapsesAtMs: number | undefined
}

/** What a change did to the registry; `back`: its entry was about to lapse. */
export type ChangeOutcome = 'added' | 'updated' | 'back' | 'leaving' | 'removed' | 'lapsing' | 'stale'

/** The registry. */
export interface TargetRegistry {
  /**
   * Applies one change. `isOutage` tells that the store was away just now: an entry that is removed then may have
   * lapsed only because the target could not reach the store.
   */
  apply(change: TargetChange, nowMs: number, isOutage: boolean): ChangeOutcome
  /** Replaces everything by a full read; targets that it does not name are removed. */
  replaceAll(reports: readonly TargetReport[], nowMs: number, isOutage: boolean): void
  /** Marks a run as leaving by other evidence than its report. */
  markLeaving(id: TargetId): boolean
  /** Removes the targets whose entry lapsed and did not come back in time. */
  removeLapsed(nowMs: number): TargetId[]
  /** Moves the end of the wait for lapsed entries, while the store stays away. */
  extendLapses(untilMs: number): void
  /** Lists the targets of a service. */
  list(service: ServiceId): readonly RegisteredTarget[]
  get(id: TargetId): RegisteredTarget | undefined
  countTargets(): number
}

/** After the store's return, lapsed entries are back within this time when their target lives, in ms. */
export const LAPSE_RETURN_MS = 2_200

interface Watermark { bornMs: number, sequence: number, isRemoved: boolean }

function isStale (mark: Watermark | undefined, report: TargetReport): boolean {
  if (!mark) return false
  if (report.bornMs !== mark.bornMs) return report.bornMs < mark.bornMs
  return mark.isRemoved ? report.sequence <= mark.sequence : report.sequence < mark.sequence
}

/** Creates an empty registry. */
export function createTargetRegistry (): TargetRegistry {
  const targets = new Map<TargetId, RegisteredTarget>()
  const byService = new Map<ServiceId, RegisteredTarget[]>()
  const marks = new Map<TargetId, Watermark>()

  const listService = (service: ServiceId): RegisteredTarget[] => {
    const known = byService.get(service)
    if (known) return known
    const created: RegisteredTarget[] = []
    byService.set(service, created)
    return created
  }
  const remove = (id: TargetId): void => {
    const target = targets.get(id)
    if (!target) return
    targets.delete(id)
    const list = listService(target.report.service)
    list.splice(list.indexOf(target), 1)
  }
  const add = (report: TargetReport, nowMs: number): void => {
    remove(report.id)
    const target: RegisteredTarget = { report, isLeaving: report.isDraining, warmUntilMs: nowMs + report.warmupLeftMs, lapsesAtMs: undefined }
    targets.set(report.id, target)
    listService(report.service).push(target)
  }
  const isSameRun = (known: RegisteredTarget, report: TargetReport): boolean =>
    known.report.bornMs === report.bornMs && known.report.service === report.service &&
    known.report.address === report.address && known.report.port === report.port

  const applyReport = (report: TargetReport, nowMs: number): ChangeOutcome => {
    if (isStale(marks.get(report.id), report)) return 'stale'
    marks.set(report.id, { bornMs: report.bornMs, sequence: report.sequence, isRemoved: false })
    const known = targets.get(report.id)
    if (!known || !isSameRun(known, report)) {
      add(report, nowMs)
      return 'added'
    }
    known.report = report
    known.warmUntilMs = nowMs + report.warmupLeftMs
    const wasExpiring = known.lapsesAtMs !== undefined
    known.lapsesAtMs = undefined
    if (!report.isDraining || known.isLeaving) return wasExpiring ? 'back' : 'updated'
    known.isLeaving = true
    return 'leaving'
  }
  const applyRemoval = (id: TargetId, nowMs: number, isOutage: boolean): ChangeOutcome => {
    const known = targets.get(id)
    if (!known) return 'stale'
    if (isOutage && !known.isLeaving) {
      known.lapsesAtMs ??= nowMs + LAPSE_RETURN_MS
      return 'lapsing'
    }
    const mark = marks.get(id)
    if (mark) mark.isRemoved = true
    remove(id)
    return 'removed'
  }
  return {
    apply: (change, nowMs, isOutage) => change.type === 'report'
      ? applyReport(change.report, nowMs)
      : applyRemoval(change.id, nowMs, isOutage),
    replaceAll (reports, nowMs, isOutage) {
      const named = new Set(reports.map((report) => report.id))
      for (const report of reports) applyReport(report, nowMs)
      for (const id of [...targets.keys()]) if (!named.has(id)) applyRemoval(id, nowMs, isOutage)
    },
    markLeaving (id) {
      const known = targets.get(id)
      if (!known || known.isLeaving) return false
      known.isLeaving = true
      return true
    },
    removeLapsed (nowMs) {
      const expired = [...targets.values()].filter((target) => target.lapsesAtMs !== undefined && target.lapsesAtMs <= nowMs)
      for (const target of expired) applyRemoval(target.report.id, nowMs, false)
      return expired.map((target) => target.report.id)
    },
    extendLapses (untilMs) {
      for (const target of targets.values()) {
        if (target.lapsesAtMs !== undefined) target.lapsesAtMs = Math.max(target.lapsesAtMs, untilMs)
      }
    },
    list: (service) => byService.get(service) ?? [],
    get: (id) => targets.get(id),
    countTargets: () => targets.size
  }
}
