/**
 * Selects the target with the fewest in-flight requests of this process, with a preference for free home slots.
 */

/** A target that can be selected. */
export interface Candidate {
  /** In-flight requests of this process at the target. */
  inFlight: number
  /** Penalty for recent failures, in requests; added to `inFlight` in the score alone. */
  penalty: number
  /** Slots of the target that are assigned to this process. */
  homeSlots: number
  /** Maximum of `inFlight` for this process; at the maximum the target is not selected. */
  maxInFlight: number
}

/** Score advantage of a target with a free home slot, in in-flight requests. */
const HOME_PREFERENCE = 0.5

/** Computes the score of a target; the lowest is selected. */
export function computeScore (candidate: Candidate): number {
  const load = candidate.inFlight + candidate.penalty
  return load < candidate.homeSlots ? load - HOME_PREFERENCE : load
}

/** The best candidate of a selection so far. */
export interface BestCandidate<C extends Candidate> {
  best: C | undefined
  score: number
  /** Number of candidates with that score. */
  tieCount: number
}

/** Creates a selection without candidates. */
export function createBestCandidate<C extends Candidate> (): BestCandidate<C> {
  return { best: undefined, score: Infinity, tieCount: 0 }
}

/** Compares one more candidate with the best one. Skips full targets; `random` in [0, 1) breaks ties with equal chances. */
export function compareCandidate<C extends Candidate> (bestCandidate: BestCandidate<C>, candidate: C, random: () => number): void {
  if (candidate.inFlight >= candidate.maxInFlight) return
  const score = computeScore(candidate)
  if (score > bestCandidate.score) return
  bestCandidate.tieCount = score < bestCandidate.score ? 1 : bestCandidate.tieCount + 1
  bestCandidate.score = score
  if (bestCandidate.tieCount === 1 || random() * bestCandidate.tieCount < 1) bestCandidate.best = candidate
}
