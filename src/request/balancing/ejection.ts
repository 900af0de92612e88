/**
 * Outlier ejection: a target is ejected when it fails often, and far more often than the other targets of its service.
 */

/** Recent outcomes at targets, as plain or decaying counts. */
export interface RecentAnswers { good: number, failed: number }

/** Inputs of the ejection decision. */
export interface EjectionInput {
  own: RecentAnswers
  /** Sum over the other targets of the service that are not ejected. */
  others: RecentAnswers
  failuresInRow: number
}

const FEWEST_FAILURES_IN_ROW = 3
const SMALLEST_FAILED_SHARE = 0.5
const FACTOR_OVER_OTHERS = 3

function computeFailedShare (answers: RecentAnswers): number {
  const sum = answers.good + answers.failed
  return sum === 0 ? 0 : answers.failed / sum
}

/** Returns whether a target fails so much more often than the others that it is to be ejected. */
export function isOutlier (input: EjectionInput): boolean {
  if (input.failuresInRow < FEWEST_FAILURES_IN_ROW) return false
  const ownShare = computeFailedShare(input.own)
  return ownShare >= SMALLEST_FAILED_SHARE && ownShare > FACTOR_OVER_OTHERS * computeFailedShare(input.others)
}

/** Computes how many of `targetCount` targets may be ejected at the same time. */
export function computeLargestEjected (targetCount: number, ejectedShare: number): number {
  return Math.floor(targetCount * ejectedShare)
}
