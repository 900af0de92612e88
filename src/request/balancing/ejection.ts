/**
 * When a target is ejected: it fails often by itself, and far more often than the service's other targets.
 */

/** Recent answers, as counts or decayed counts. */
export interface RecentAnswers { good: number, failed: number }

/** What the decision looks at. */
export interface EjectionInput {
  own: RecentAnswers
  /** The sum over the service's other targets that are not ejected. */
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

/** Tells whether a target fails out of line with the others. */
export function isOutlier (input: EjectionInput): boolean {
  if (input.failuresInRow < FEWEST_FAILURES_IN_ROW) return false
  const ownShare = computeFailedShare(input.own)
  return ownShare >= SMALLEST_FAILED_SHARE && ownShare > FACTOR_OVER_OTHERS * computeFailedShare(input.others)
}

/** Computes how many of `targetCount` targets may be ejected at once. */
export function computeLargestEjected (targetCount: number, ejectedShare: number): number {
  return Math.floor(targetCount * ejectedShare)
}
