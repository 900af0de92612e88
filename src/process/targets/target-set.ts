/**
 * The interface of the targets of one service, as one entry process sees them.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { EntryId, HostState, TargetId, ZoneId } from '../../types.ts'
import type { ContractTarget, ServiceContract } from '../../version/contract.ts'

/** Whether a target takes work; all but `leaving` may change back. */
export type TargetState =
  /** New or returned; its share of work grows until the ramp ends. */
  | { kind: 'cold', sinceMs: number }
  | { kind: 'serving' }
  /** Failed in comparison with the others; tried by one request or probe at a time. */
  | { kind: 'ejected', sinceMs: number }
  /** Leaves for good in this incarnation; takes no new work. */
  | { kind: 'leaving', sinceMs: number }

/** Who said that a target is leaving. */
export type LeavingSource = 'host-list' | 'answer' | 'probe' | 'peer'

/** How an exchange with a target ended. */
export type ExchangeOutcome =
  | { kind: 'answered', status: number, firstByteMs: number }
  /** The target refused the work unstarted. */
  | { kind: 'shed' }
  /** No connection could be made. */
  | { kind: 'unreachable' }
  /** The connection broke or the answer was cut short or crossed. */
  | { kind: 'broken' }
  | { kind: 'timed-out' }
  /** Another attempt won or the caller left; says nothing about the target. */
  | { kind: 'cancelled' }

/** What a request asks of the target set. */
export interface TargetWish {
  /** Targets already tried for this request. */
  exclude: ReadonlySet<TargetId>
  /** The latest instant to get a target, by the monotonic clock in ms. */
  deadlineMs: number
  /** Whether to wait in the queue when all targets are busy. */
  mayWait: boolean
  /** Aborted when the caller has gone. */
  signal: AbortSignal
  /** Whether the request may be repeated; only such requests try an ejected target. Default true. */
  isRepeatable?: boolean
}

/** The right to send one request to a target. It must be released exactly once. */
export interface TargetSlot {
  target: ContractTarget
  /**
   * Says that the answer has begun: the target's work is done, so a long transfer holds none of its slots.
   * `release` still tells how the exchange ends.
   */
  startTransfer(): void
  release(outcome: ExchangeOutcome): void
}

/** Figures of one target for the status page. */
export interface TargetReport { id: TargetId, zone: ZoneId, state: TargetState['kind'], inFlight: number, homeSlots: number }

/** The targets of one service at one entry process. */
export interface TargetSet {
  /** Chooses a target and takes a slot. Errors: `no-target`, `queue-full`, `queue-timeout`, `deadline-passed`. */
  takeSlot(wish: TargetWish): Promise<Result<TargetSlot, AppError>>
  /**
   * Takes budget for one hedge; false when it is used up. `slowTarget` is the one that let the request wait; it gets
   * less work for a while, whether the hedge is granted or not.
   */
  takeHedge(slowTarget?: TargetId): boolean
  /**
   * Takes budget for one retry; false when it is used up, or when `attempts` (those before this process, by the
   * passed-on count, and those here) have reached the contract's largest number.
   */
  takeRetry(attempts?: number): boolean
  /** Marks a target as leaving for good. */
  markLeaving(target: TargetId, source: LeavingSource): void
  /** Follows a new version of the contract; `largestEntries` is its largest number of entry processes. */
  updateContract(service: ServiceContract, largestEntries?: number): void
  /** Tells which entries are live, for home slots and probing shares. */
  updateEntries(entries: readonly EntryId[]): void
  /** Applies the platform's list. */
  updateHosts(hosts: readonly { id: string, state: HostState }[]): void
  listTargets(): TargetReport[]
  /** Queue length and budget use for the status page. */
  report(): { waiting: number, hedges: number, retries: number, probes: number, probeCostMs: number }
  close(): void
}
