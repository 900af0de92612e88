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

/** Chooses the candidate with the lowest score; `random` in [0, 1) breaks ties. Undefined when all are full. */
export function chooseTarget<C extends Candidate> (candidates: Iterable<C>, random: () => number): C | undefined {
  let best: C | undefined
  let bestScore = Infinity
  let ties = 0
  for (const candidate of candidates) {
    if (candidate.inFlight >= candidate.largestInFlight) continue
    const score = computeScore(candidate)
    if (score > bestScore) continue
    ties = score < bestScore ? 1 : ties + 1
    if (ties === 1 || random() * ties < 1) best = candidate
    bestScore = score
  }
  return best
}
