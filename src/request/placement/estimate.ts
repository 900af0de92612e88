/**
 * Estimates what a target would do with one more request, from its load and what this process has sent there.
 */
import type { LoadReport } from './load-report.ts'

/** What the estimate looks at. */
export interface EstimateInput {
  /** The latest load that the target told; undefined when it has told none. */
  report: LoadReport | undefined
  /** Requests that this process sent there after that report was asked for. */
  sentSince: number
  /** Requests of this process at the target. */
  inFlight: number
  /** Slots as registered, used while there is no report. */
  slots: number
  /** Whether the target has only just started. */
  isWarming: boolean
  /** Time that the work takes on a target of usual speed, in ms. */
  workMs: number
}

/** What a target would do with one more request. */
export interface Estimate {
  /** From sending to the answer, in ms. */
  totalMs: number
  /** Requests there, this one included, over its slots. */
  occupancy: number
  /** Whether it would begin at once, at usual speed and without crowding others. */
  isGood: boolean
}

/** Targets may slow down when more than this share of their slots is taken. */
const CROWDED_SHARE = 0.8
const CROWDED_SLOWDOWN = 1.7
const WARMING_SLOWDOWN = 2
/** Work that takes no longer than this multiple of the usual time counts as usual. */
const USUAL_SLOWDOWN = 1.4

/** Estimates one more request at a target. */
export function estimateTarget (input: EstimateInput): Estimate {
  const { report, sentSince, inFlight, isWarming, workMs } = input
  const slots = report?.slots ?? input.slots
  const present = report ? report.running + report.waiting + sentSince : inFlight
  const taken = Math.max(present, inFlight) + 1
  const occupancy = taken / slots
  const isCrowded = occupancy > CROWDED_SHARE
  const slowdown = (report?.slowdown ?? 1) * (isWarming ? WARMING_SLOWDOWN : 1)
  const serviceMs = workMs * slowdown * (isCrowded ? CROWDED_SLOWDOWN : 1)
  const ahead = Math.max(0, taken - slots)
  return {
    totalMs: serviceMs + ahead * serviceMs / slots,
    occupancy,
    isGood: !isCrowded && !isWarming && slowdown <= USUAL_SLOWDOWN
  }
}
