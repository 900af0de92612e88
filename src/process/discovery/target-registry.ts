/**
 * The registry of the targets of all services, folded from their reports on the store.
 *
 * One run of a target is identified by its id and start time. Reports of one run are ordered by a sequence number. Late
 * reports are dropped, and a run that is leaving never accepts work again.
 */
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'

/** A target's report on itself. */
export interface TargetReport {
  id: TargetId
  service: ServiceId
  address: string
  port: number
  zone: ZoneId
  /** Requests that it processes at once. */
  slots: number
  isDraining: boolean
  /** Start time of this run, in ms since 1970 by the target's clock. */
  bornMs: number
  /** Sequence number, which grows with each report of one run. */
  sequence: number
  /** Remaining warm-up time, in ms. */
  warmupLeftMs: number
}

/** One change of a target: a report, or the removal of its record from the store. */
export type TargetChange =
  | { type: 'report', report: TargetReport }
  | { type: 'removal', id: TargetId }

/** A target in the registry. */
export interface RegisteredTarget {
  report: TargetReport
  isLeaving: boolean
  /** End of its warm-up by the monotonic clock, in ms. */
  warmupEndsAtMs: number
  /**
   * Set while the target's record is missing because of an outage of the store: the target is removed unless it reports
   * again before this instant of the monotonic clock, in ms.
   */
  expiresAtMs: number | undefined
}

/**
 * Effect of a change on the registry. `lapsing`: the record was removed during an outage and expires unless the target
 * reports again; `back`: it did so in time; `stale`: the change was ignored. The gateway logs these values.
 */
export type ChangeOutcome = 'added' | 'updated' | 'back' | 'leaving' | 'removed' | 'lapsing' | 'stale'

/** The registry of targets. */
export interface TargetRegistry {
  /**
   * Applies one change. `isOutage` says that the store is or was just now unavailable: a record that is removed then may
   * have expired only because the target could not reach the store.
   */
  apply(change: TargetChange, nowMs: number, isOutage: boolean): ChangeOutcome
  /** Applies a full read. Targets that it does not contain are removed, but for those in `unreadable`, whose records could not be decoded. */
  replaceAll(reports: readonly TargetReport[], unreadable: readonly TargetId[], nowMs: number, isOutage: boolean): void
  /**
   * Marks a run of a target as leaving without a report of its own, also when its record is gone: it may come back late, or with
   * a store that is restored from a copy. `bornMs` is the start of the run that was seen leaving; by default the latest run.
   * Returns whether that changed anything.
   */
  markLeaving(id: TargetId, bornMs?: number): boolean
  /** Removes the targets whose record expired and that did not report again in time. Returns their ids. */
  removeExpired(nowMs: number): TargetId[]
  /** Postpones the removal of expiring targets to at least `untilMs`, while the store stays unavailable. */
  extendExpiry(untilMs: number): void
  /** Lists the targets of a service. */
  list(service: ServiceId): readonly RegisteredTarget[]
  get(id: TargetId): RegisteredTarget | undefined
  countTargets(): number
}

/** After the store recovers, the record of a live target is back within this time, in ms. */
export const EXPIRY_GRACE_MS = 2_200

/** What is known of the latest run of a target, also after its removal. */
interface Watermark { bornMs: number, sequence: number, isRemoved: boolean, isLeaving: boolean }

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
  const add = (report: TargetReport, isLeaving: boolean, nowMs: number): void => {
    remove(report.id)
    const target: RegisteredTarget = { report, isLeaving, warmupEndsAtMs: nowMs + report.warmupLeftMs, expiresAtMs: undefined }
    targets.set(report.id, target)
    listService(report.service).push(target)
  }
  const isSameRun = (known: RegisteredTarget, report: TargetReport): boolean =>
    known.report.bornMs === report.bornMs && known.report.service === report.service &&
    known.report.address === report.address && known.report.port === report.port

  const applyReport = (report: TargetReport, nowMs: number): ChangeOutcome => {
    if (isStale(marks.get(report.id), report)) return 'stale'
    const { id, bornMs, sequence } = report
    const mark = marks.get(id)
    const isLeaving = report.isDraining || (mark?.bornMs === bornMs && mark.isLeaving)
    marks.set(id, { bornMs, sequence, isRemoved: false, isLeaving })
    const known = targets.get(report.id)
    if (!known || !isSameRun(known, report)) {
      add(report, isLeaving, nowMs)
      return 'added'
    }
    known.report = report
    known.warmupEndsAtMs = nowMs + report.warmupLeftMs
    const wasExpiring = known.expiresAtMs !== undefined
    known.expiresAtMs = undefined
    if (!report.isDraining || known.isLeaving) return wasExpiring ? 'back' : 'updated'
    known.isLeaving = true
    return 'leaving'
  }
  const applyRemoval = (id: TargetId, nowMs: number, isOutage: boolean): ChangeOutcome => {
    const known = targets.get(id)
    if (!known) return 'stale'
    if (isOutage && !known.isLeaving) {
      known.expiresAtMs ??= nowMs + EXPIRY_GRACE_MS
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
    replaceAll (reports, unreadable, nowMs, isOutage) {
      const named = new Set([...reports.map((report) => report.id), ...unreadable])
      for (const report of reports) applyReport(report, nowMs)
      for (const id of [...targets.keys()]) if (!named.has(id)) applyRemoval(id, nowMs, isOutage)
    },
    markLeaving (id, bornMs) {
      const mark = marks.get(id)
      const runMs = bornMs ?? mark?.bornMs
      if (runMs === undefined || (mark && runMs < mark.bornMs)) return false
      if (!mark || runMs > mark.bornMs) {
        // No record of this run has come yet.
        marks.set(id, { bornMs: runMs, sequence: -Infinity, isRemoved: false, isLeaving: true })
        return true
      }
      if (mark.isLeaving) return false
      mark.isLeaving = true
      const known = targets.get(id)
      if (known?.report.bornMs === runMs) known.isLeaving = true
      return true
    },
    removeExpired (nowMs) {
      const expired = [...targets.values()].filter((target) => target.expiresAtMs !== undefined && target.expiresAtMs <= nowMs)
      for (const target of expired) applyRemoval(target.report.id, nowMs, false)
      return expired.map((target) => target.report.id)
    },
    extendExpiry (untilMs) {
      for (const target of targets.values()) {
        if (target.expiresAtMs !== undefined) target.expiresAtMs = Math.max(target.expiresAtMs, untilMs)
      }
    },
    list: (service) => byService.get(service) ?? [],
    get: (id) => targets.get(id),
    countTargets: () => targets.size
  }
}
