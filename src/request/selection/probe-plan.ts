/**
 * Plans the load probes of a search. Probes of many targets at once find one sooner; one probe at a time, and a target that is
 * merely on time, make few probes last for more requests.
 */

/** How to search for a target. */
export interface ProbePlan {
  /** Sizes of the rounds of probes that are sent in parallel. */
  rounds: readonly number[]
  /** Whether the search ends with the first target that meets the latency target, although it is crowded or slow. */
  endsOnTime: boolean
}

/** Probes are scarce when less than this share of those that may be saved up is left. */
const SCARCE_SHARE = 0.5

/** Creates the plan of a search of rounds of these sizes, when `savedShare`, 0 to 1, of the probes that may be saved up is left. */
export function createProbePlan (sizes: readonly number[], savedShare: number): ProbePlan {
  if (savedShare >= SCARCE_SHARE) return { rounds: sizes, endsOnTime: false }
  return { rounds: sizes.flatMap((size) => new Array<number>(size).fill(1)), endsOnTime: true }
}
