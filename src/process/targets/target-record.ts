/**
 * What this process remembers of one target of a service.
 */
import type { Candidate } from '../../request/balancing/choose-target.ts'
import { createDecayingCount } from '../../request/balancing/decaying-count.ts'
import type { DecayingCount } from '../../request/balancing/decaying-count.ts'
import type { ContractTarget } from '../../version/contract.ts'
import type { TargetState } from './target-set.ts'

/** State of one target; it satisfies the balancing's `Candidate`. Instants are by the monotonic clock in ms. */
export interface TargetRecord extends Candidate {
  target: ContractTarget
  state: TargetState
  /** Recent failures, as requests that count for the choice. */
  failureLoad: DecayingCount
  good: DecayingCount
  failed: DecayingCount
  failuresInRow: number
  /** When something last came from the target. */
  lastAnswerMs: number
  /** When it was last probed. */
  lastProbeMs: number
  isProbing: boolean
  /** Whether a connection was refused or failed since the last answer. */
  wasUnreachable: boolean
  trial: TrialState
  listing: ListingState
}

/** How the return of an ejected target goes. */
export interface TrialState {
  isRunning: boolean
  /** The first instant for the next trial. */
  nextMs: number
  /** Good trials in a row. */
  good: number
  /** The wait after the next failed trial. */
  backoffMs: number
  /** Whether a probe was answered since the ejection. */
  isConfirmed: boolean
}

/** What the platform's list says of the target. */
export interface ListingState {
  state: 'never-listed' | 'live' | 'leaving' | 'dropped'
  /** Since when the list has called it live without a break. */
  liveSinceMs: number
  /** When the list last called it live. */
  liveUntilMs: number
}

/** Creates the record of a target. */
export function createTargetRecord (target: ContractTarget, state: TargetState, nowMs: number): TargetRecord {
  return {
    target,
    state,
    inFlight: 0,
    penalty: 0,
    homeSlots: 0,
    largestInFlight: 1,
    failureLoad: createDecayingCount(),
    good: createDecayingCount(),
    failed: createDecayingCount(),
    failuresInRow: 0,
    lastAnswerMs: state.kind === 'cold' ? -Infinity : nowMs,
    lastProbeMs: state.kind === 'cold' ? -Infinity : nowMs,
    isProbing: false,
    wasUnreachable: false,
    trial: { isRunning: false, nextMs: 0, good: 0, backoffMs: 0, isConfirmed: false },
    listing: { state: 'never-listed', liveSinceMs: 0, liveUntilMs: 0 }
  }
}
