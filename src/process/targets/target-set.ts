/**
 * Interface of a target set: the targets of one service at one entry process.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { EntryId, HostState, TargetId, ZoneId } from '../../types.ts'
import type { ContractTarget, ServiceContract } from '../../version/contract.ts'

/** Whether a target takes work. A leaving target changes state only when it is known to be a new process. */
export type TargetState =
  /** New or readmitted; its share of the requests grows until its slow start ends. */
  | { kind: 'cold', sinceMs: number }
  | { kind: 'serving' }
  /** Failed more than the others; takes one trial request at a time. */
  | { kind: 'ejected', sinceMs: number }
  /** Draining until its process ends; takes no new work. */
  | { kind: 'leaving', sinceMs: number }

/** Where the information that a target is leaving came from. */
export type LeavingSource = 'host-list' | 'answer' | 'probe' | 'peer'

/** Outcome of an exchange with a target. */
export type ExchangeOutcome =
  /** The target responded; `firstByteMs` is the time to the first byte, in ms. */
  | { kind: 'answered', status: number, firstByteMs: number }
  /** The target shed the request without running it. */
  | { kind: 'shed' }
  /** No connection could be made. */
  | { kind: 'unreachable' }
  /** The connection broke, or the response was truncated or belonged to another request. */
  | { kind: 'broken' }
  /** No response came in time. */
  | { kind: 'timed-out' }
  /** Another attempt won, or the caller disconnected; shows nothing about the target. */
  | { kind: 'cancelled' }

/** A request for a slot. */
export interface SlotRequest {
  /** Targets already tried for this request. */
  exclude: ReadonlySet<TargetId>
  /** Deadline for acquiring a slot, by the monotonic clock in ms. */
  deadlineMs: number
  /** Whether the request may wait in the queue when all targets are busy. */
  canWait: boolean
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
  /** Whether the request is idempotent; only such requests are sent to an ejected target as a trial. Default true. */
  isIdempotent?: boolean
}

/** The right to send one request to a target. It must be released exactly once. */
export interface TargetSlot {
  target: ContractTarget
  /**
   * Stops counting the request as in flight once its response has begun: the target's work is done, so a long transfer
   * occupies no slot. `release` still reports the outcome.
   */
  startTransfer(): void
  /** Releases the slot with the outcome of the exchange. */
  release(outcome: ExchangeOutcome): void
}

/** State of one target; the status page shows it under these keys. `homeSlots` are the slots assigned to this entry. */
export interface TargetReport { id: TargetId, zone: ZoneId, state: TargetState['kind'], inFlight: number, homeSlots: number }

/** The targets of one service at one entry process. */
export interface TargetSet {
  /** Selects a target and acquires a slot. Errors: `no-target`, `queue-full`, `queue-timeout`, `deadline-passed`. */
  acquireSlot(request: SlotRequest): Promise<Result<TargetSlot, AppError>>
  /**
   * Takes budget for one hedge; false when none is left. `slowTarget` is the target that hasn't responded within the
   * hedging delay; it gets less work for a while, whether the hedge is granted or not.
   */
  tryAcquireHedge(slowTarget?: TargetId): boolean
  /**
   * Takes budget for one retry; false when none is left, or when `attempts` has reached the contract's maximum.
   * `attempts` counts those of this process and those that the request's attempt header reports from before.
   */
  tryAcquireRetry(attempts?: number): boolean
  /** Marks a target as leaving until it is known to be a new process. */
  markLeaving(target: TargetId, source: LeavingSource): void
  /** Applies a new version of the contract; `maxEntries` is its maximum number of entry processes. */
  updateContract(service: ServiceContract, maxEntries?: number): void
  /** Sets the live entries, which decide the subset of targets and the home slots. */
  updateEntries(entries: readonly EntryId[]): void
  /** Applies the complete host list of the platform. */
  updateHosts(hosts: readonly { id: string, state: HostState }[]): void
  /** Lists the targets that this process serves. */
  listTargets(): TargetReport[]
  /** Returns queue length and budget use, under the keys of the status page. */
  report(): { waiting: number, hedges: number, retries: number, probes: number, probeCostMs: number }
  /** Stops the health probes. */
  close(): void
}
