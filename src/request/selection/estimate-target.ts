/**
 * Estimates how a target would handle one more request, from its load report and the requests that this process sent.
 */
import type { LoadReport } from './load-report.ts'

/** Inputs of the estimate. */
export interface EstimateInput {
  /** The latest load report of the target; undefined before the first. */
  report: LoadReport | undefined
  /** Requests that this process sent to the target after it requested the report, or received it with a response. */
  sentCountSinceReport: number
  /** In-flight requests of this process at the target. */
  inFlight: number
  /** Slots by the target's registration, used without a report. */
  slots: number
  /** Whether the target is warming up. */
  isWarming: boolean
  /** Time that the work takes on a target of normal speed, in ms. */
  workMs: number
}

/** The estimate for one more request at a target. */
export interface Estimate {
  /** Time from sending the request to its response, in ms. */
  totalMs: number
  /** Requests at the target, this one included, divided by its slots. */
  occupancy: number
  /** Whether the target would start at once, at normal speed, without getting crowded. */
  isSuitable: boolean
}

/** A target is crowded, and may slow down, when more than this share of its slots is taken. */
export const CROWDED_SHARE = 0.8
const CROWDED_SLOWDOWN = 1.7
const WARMING_SLOWDOWN = 2
/** A slowdown up to this factor counts as normal speed. */
const MAX_NORMAL_SLOWDOWN = 1.4

/** Estimates one more request at a target. Without a report, only the in-flight requests of this process count. */
export function estimateTarget (input: EstimateInput): Estimate {
  const { report, sentCountSinceReport, inFlight, isWarming, workMs } = input
  const slots = report?.slots ?? input.slots
  const presentCount = report ? report.running + report.waiting + sentCountSinceReport : inFlight
  const countWithThis = Math.max(presentCount, inFlight) + 1
  const occupancy = countWithThis / slots
  const isCrowded = occupancy > CROWDED_SHARE
  const slowdown = (report?.slowdown ?? 1) * (isWarming ? WARMING_SLOWDOWN : 1)
  const serviceMs = workMs * slowdown * (isCrowded ? CROWDED_SLOWDOWN : 1)
  const aheadCount = Math.max(0, countWithThis - slots)
  return {
    totalMs: serviceMs + aheadCount * serviceMs / slots,
    occupancy,
    isSuitable: !isCrowded && !isWarming && slowdown <= MAX_NORMAL_SLOWDOWN
  }
}
