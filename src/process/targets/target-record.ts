/**
 * State of one target of a service in the local view of this process.
 */
import type { Candidate } from '../../request/balancing/best-candidate.ts'
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
  recentSuccesses: DecayingCount
  /** Recent failures of requests and probes. */
  recentFailures: DecayingCount
  consecutiveFailures: number
  /** When the target last responded to a request or a probe. */
  lastResponseAtMs: number
  /** When the last health probe was sent. */
  lastProbeAtMs: number
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
  nextAtMs: number
  /** Successful trials in a row. */
  consecutiveSuccesses: number
  /** Wait after the next failed trial, in ms. */
  backoffMs: number
  /** Whether a probe has found the target ready since the ejection or the last failure. */
  hasReadyProbe: boolean
}

/** State of the target on the platform's host list. */
export interface ListingState {
  state: 'never-listed' | 'live' | 'leaving' | 'dropped'
  /** Since when the list has reported it live without a break. */
  liveSinceAtMs: number
  /** When the list last reported it live. */
  lastLiveAtMs: number
}

/** Creates the record of a target. */
export function createTargetRecord (target: ContractTarget, state: TargetState, nowMs: number): TargetRecord {
  return {
    target,
    state,
    inFlight: 0,
    penalty: 0,
    homeSlots: 0,
    maxInFlight: 1,
    failureLoad: createDecayingCount(),
    recentSuccesses: createDecayingCount(),
    recentFailures: createDecayingCount(),
    consecutiveFailures: 0,
    lastResponseAtMs: state.kind === 'cold' ? -Infinity : nowMs,
    lastProbeAtMs: state.kind === 'cold' ? -Infinity : nowMs,
    isProbing: false,
    wasUnreachable: false,
    trial: { isRunning: false, nextAtMs: 0, consecutiveSuccesses: 0, backoffMs: 0, hasReadyProbe: false },
    listing: { state: 'never-listed', liveSinceAtMs: 0, lastLiveAtMs: 0 }
  }
}
