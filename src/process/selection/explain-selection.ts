/**
 * Explains which targets a request would try now, and why others are left out, from the local view. Nothing is sent and nothing
 * is counted.
 */
import type { Estimate } from '../../request/selection/estimate-target.ts'
import type { LoadReport } from '../../request/selection/load-report.ts'
import type { TargetId, ZoneId } from '../../types.ts'
import type { TargetState } from './target-states.ts'

/** A target that the request may use. Times in ms. */
export interface ExplainedTarget {
  target: TargetId
  zone: ZoneId
  /** In-flight requests of this entry. */
  inFlight: number
  /** Latest load report, as `running+waiting/slots xslowdown`, and its age; undefined before the first. */
  load: string | undefined
  loadAgeMs: number | undefined
  /** Expected time to the response, by that report. */
  expectedMs: number
  /** The lower, the earlier it is tried. */
  penalty: number
}

/** A target that the request may not use now. */
export interface LeftOutTarget { target: TargetId, zone: ZoneId, reasons: string[] }

/** Where a request would go now at one service. */
export interface SelectionExplanation {
  /** Targets in the order in which they would be tried. */
  targets: ExplainedTarget[]
  leftOut: LeftOutTarget[]
}

/** The instants and limits by which a target is left out. */
export interface LeaveOutOptions {
  nowMs: number
  isEvacuated(zone: ZoneId): boolean
  /** Whether a permit may be available, for a target whose rate is limited. */
  hasPermit(target: TargetId): boolean
}

function formatLoad ({ running, waiting, slots, slowdown }: LoadReport): string {
  return `${running}+${waiting}/${slots} x${slowdown}`
}

/** Returns why a target is left out; empty if it is not. */
export function listLeaveOutReasons ({ registered, ejectedUntilMs, pausedUntilMs }: TargetState, { nowMs, isEvacuated, hasPermit }: LeaveOutOptions): string[] {
  const { id, zone } = registered.report
  return [
    ...(registered.isLeaving ? ['it is leaving'] : []),
    ...(isEvacuated(zone) ? ['its zone is evacuated'] : []),
    ...(pausedUntilMs > nowMs ? [`it rejects requests of this entry for ${Math.ceil(pausedUntilMs - nowMs)} ms more`] : []),
    ...(ejectedUntilMs > nowMs ? [`it is ejected for ${Math.ceil(ejectedUntilMs - nowMs)} ms more, after failures`] : []),
    ...(hasPermit(id) ? [] : ['its rate limit allows no request now'])
  ]
}

/** Describes a target that the request may use. */
export function explainTarget (state: TargetState, penalty: number, estimate: Estimate, nowMs: number): ExplainedTarget {
  const { report, reportAtMs, registered, inFlight } = state
  return {
    target: registered.report.id,
    zone: registered.report.zone,
    inFlight,
    load: report && formatLoad(report),
    loadAgeMs: report && Math.round(nowMs - reportAtMs),
    expectedMs: Math.round(estimate.totalMs),
    penalty
  }
}
