/**
 * What this process remembers of one target of a service.
 */
import type { Candidate } from '../../request/balancing/choose-target.ts'
import type { ContractTarget } from '../../version/contract.ts'
import type { TargetState } from './target-set.ts'

/** State of one target; it satisfies the balancing's `Candidate`. */
export interface TargetRecord extends Candidate {
  target: ContractTarget
  state: TargetState
  /** Requests handed out and not yet released. */
  running: number
  /** Slots kept occupied after a failure, so that failing fast looks like slow work. */
  held: number
}

/** Creates the record of a target that is taken to serve. */
export function createTargetRecord (target: ContractTarget, state: TargetState): TargetRecord {
  return { target, state, running: 0, held: 0, inFlight: 0, homeSlots: 0, largestInFlight: 1 }
}

/** Counts a request in or out of a target. */
export function addRunning (record: TargetRecord, change: 1 | -1): void {
  record.running += change
  record.inFlight = record.running + record.held
}

/** Counts a slot in or out of those kept occupied after failures. */
export function addHeld (record: TargetRecord, change: 1 | -1): void {
  record.held += change
  record.inFlight = record.running + record.held
}
