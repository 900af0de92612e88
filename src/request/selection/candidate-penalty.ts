/**
 * Scores the targets of a service from the local view alone, to decide which ones to probe first.
 */

/** The local view of a candidate target. */
export interface Candidate {
  /** In-flight requests and load probes of this process at the target. */
  inFlight: number
  slots: number
  /** Whether it is in the zone of this entry. */
  isSameZone: boolean
  /** Whether an open connection is idle, which saves opening one. */
  hasIdleConnection: boolean
  /** Whether it is warming up. */
  isWarming: boolean
  /** Whether it advertises a rate limit. */
  isLimited: boolean
  /** Age of the latest load report in ms if the latest probe found the target unsuitable; undefined otherwise. */
  unsuitableReportAgeMs: number | undefined
}

/** Penalties that depend on the request. */
export interface PenaltyOptions {
  /** Added to the penalty of targets in other zones; 1 is the penalty of a target whose slots are all taken. */
  crossZonePenalty: number
}

/** Penalties in the same unit: 1 is a target whose slots are all taken. */
const NEW_CONNECTION_PENALTY = 0.3
const WARMING_PENALTY = 0.5
/** More than the penalty of another zone: a target that advertises a limit is overloaded, so others are tried first. */
const LIMITED_PENALTY = 0.4
const UNSUITABLE_PENALTY = 1
/** Largest random penalty: candidates closer than this may swap order, so that entries do not all probe the same one. */
const MAX_RANDOM_PENALTY = 0.25
/** Age at which an unsuitable load report no longer counts, in ms; its penalty decreases linearly until then. */
const UNSUITABLE_REPORT_LIFETIME_MS = 120

/** Computes the penalty of a candidate; the lowest is probed first. `random` in [0, 1) spreads similar candidates. */
export function computePenalty (candidate: Candidate, { crossZonePenalty }: PenaltyOptions, random: number): number {
  const { unsuitableReportAgeMs } = candidate
  const unsuitableWeight = unsuitableReportAgeMs === undefined ? 0 : Math.max(0, 1 - unsuitableReportAgeMs / UNSUITABLE_REPORT_LIFETIME_MS)
  return candidate.inFlight / candidate.slots +
    (candidate.isSameZone ? 0 : crossZonePenalty) +
    (candidate.hasIdleConnection ? 0 : NEW_CONNECTION_PENALTY) +
    (candidate.isWarming ? WARMING_PENALTY : 0) +
    (candidate.isLimited ? LIMITED_PENALTY : 0) +
    unsuitableWeight * UNSUITABLE_PENALTY +
    random * MAX_RANDOM_PENALTY
}
