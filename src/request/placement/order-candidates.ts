/**
 * Orders the targets of a service by how promising a look at them is, from what this process knows without asking.
 */

/** What is known of a candidate. */
export interface Candidate {
  /** Requests of this process at the target, and looks under way. */
  inFlight: number
  slots: number
  /** Whether it stands in the zone of this entry. */
  isNear: boolean
  /** Whether an open connection is idle, so that none needs to be opened. */
  hasIdleConnection: boolean
  /** Whether it has only just started. */
  isWarming: boolean
  /** The age in ms of the latest report that found it slow or full; undefined when the latest found it good. */
  badReportAgeMs: number | undefined
}

/** What crossing zones costs the request, relative to a full target. */
export interface OrderOptions {
  /** Added to the score of targets in other zones; 1 stands for a full target. */
  farPenalty: number
}

/** Penalties are in shares of a full target. */
const CONNECTION_PENALTY = 0.3
const WARMING_PENALTY = 0.5
const BAD_PENALTY = 1
/** Candidates that differ by less than this are taken in turn by chance. */
const RANDOM_SPREAD = 0.25
/** After this long a bad report says nothing any more, in ms. */
const BAD_REPORT_LIFETIME_MS = 120

/** Computes how little promising a candidate is; `random` in [0, 1) spreads equal ones. */
export function computePenalty (candidate: Candidate, { farPenalty }: OrderOptions, random: number): number {
  const { badReportAgeMs } = candidate
  const bad = badReportAgeMs === undefined ? 0 : Math.max(0, 1 - badReportAgeMs / BAD_REPORT_LIFETIME_MS)
  return candidate.inFlight / candidate.slots +
    (candidate.isNear ? 0 : farPenalty) +
    (candidate.hasIdleConnection ? 0 : CONNECTION_PENALTY) +
    (candidate.isWarming ? WARMING_PENALTY : 0) +
    bad * BAD_PENALTY +
    random * RANDOM_SPREAD
}
