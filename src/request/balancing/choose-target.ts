/**
 * The choice of a target: least own requests in flight, with a preference for home slots.
 */

/** What the choice looks at. */
export interface Candidate {
  /** Requests of this process at the target. */
  inFlight: number
  /** Requests added to `inFlight` for the choice alone, for recent failures. */
  penalty: number
  /** Slots of the target that were dealt to this process. */
  homeSlots: number
  /** The largest `inFlight` that this process may bring about. */
  largestInFlight: number
}

/** How much a free home slot is preferred, in requests in flight. */
const HOME_PREFERENCE = 0.5

/** Computes the score of a target; the lowest is chosen. */
export function computeScore (candidate: Candidate): number {
  const load = candidate.inFlight + candidate.penalty
  return load < candidate.homeSlots ? load - HOME_PREFERENCE : load
}

/** The best candidate so far. */
export interface Pick<C extends Candidate> {
  best: C | undefined
  score: number
  /** Candidates with the best score so far. */
  ties: number
}

/** Creates a pick of nothing yet. */
export function createPick<C extends Candidate> (): Pick<C> {
  return { best: undefined, score: Infinity, ties: 0 }
}

/** Compares one more candidate: full ones are passed over, `random` in [0, 1) breaks ties evenly. */
export function addCandidate<C extends Candidate> (pick: Pick<C>, candidate: C, random: () => number): void {
  if (candidate.inFlight >= candidate.largestInFlight) return
  const score = computeScore(candidate)
  if (score > pick.score) return
  pick.ties = score < pick.score ? 1 : pick.ties + 1
  pick.score = score
  if (pick.ties === 1 || random() * pick.ties < 1) pick.best = candidate
}
