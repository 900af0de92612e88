/**
 * Outlier ejection: a target is ejected when it fails often, and far more often than the other targets of its service.
 */

/** Recent outcomes at targets, as plain or decaying counts. */
export interface RecentOutcomes { good: number, failed: number }

/** Inputs of the ejection decision. */
export interface EjectionInput {
  own: RecentOutcomes
  /** Sum over the other targets of the service that are not ejected. */
  others: RecentOutcomes
  consecutiveFailures: number
}

const MIN_CONSECUTIVE_FAILURES = 3
const MIN_FAILED_SHARE = 0.5
/** The failed share must exceed that of the other targets by this factor. */
const MIN_RATIO_TO_OTHERS = 3

function computeFailedShare (outcomes: RecentOutcomes): number {
  const total = outcomes.good + outcomes.failed
  return total === 0 ? 0 : outcomes.failed / total
}

/** Returns whether a target fails so much more often than the others that it is to be ejected. */
export function isOutlier (input: EjectionInput): boolean {
  if (input.consecutiveFailures < MIN_CONSECUTIVE_FAILURES) return false
  const ownShare = computeFailedShare(input.own)
  return ownShare >= MIN_FAILED_SHARE && ownShare > MIN_RATIO_TO_OTHERS * computeFailedShare(input.others)
}

/** Computes how many of `targetCount` targets may be ejected at the same time. */
export function computeMaxEjected (targetCount: number, ejectedShare: number): number {
  return Math.floor(targetCount * ejectedShare)
}
