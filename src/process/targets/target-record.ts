/**
 * State of one target of a service in the local view of this process.
 */
import type { Candidate } from '../../request/balancing/choose-target.ts'
import { createDecayingCount } from '../../request/balancing/decaying-count.ts'
import type { DecayingCount } from '../../request/balancing/decaying-count.ts'
import type { ContractTarget } from '../../version/contract.ts'
import type { TargetState } from './target-set.ts'

/** State of one target, also a `Candidate` for selection. Instants are by the monotonic clock in ms. */
export interface TargetRecord extends Candidate {
  target: ContractTarget
  state: TargetState
  /** Load that recent failures and slow responses add, in requests. */
  failureLoad: DecayingCount
  /** Recent successful responses. */
  good: DecayingCount
  /** Recent failures of requests and probes. */
  failed: DecayingCount
  failuresInRow: number
  /** When the target last responded to a request or a probe. */
  lastAnswerMs: number
  /** When the last health probe was sent. */
  lastProbeMs: number
  isProbing: boolean
  /** Whether a connection could not be made since the last response. */
  wasUnreachable: boolean
  trial: TrialState
  listing: ListingState
}

/** Progress of an ejected target towards readmission by trial requests. */
export interface TrialState {
  isRunning: boolean
  /** The next trial may start from this instant on. */
  nextMs: number
  /** Successful trials in a row. */
  good: number
  /** Wait after the next failed trial, in ms. */
  backoffMs: number
  /** Whether a probe has found the target ready since the ejection or the last failure. */
  isConfirmed: boolean
}

/** State of the target on the platform's host list. */
export interface ListingState {
  state: 'never-listed' | 'live' | 'leaving' | 'dropped'
  /** Since when the list has reported it live without a break. */
  liveSinceMs: number
  /** When the list last reported it live. */
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
