/**
 * Options and shared state of a target set.
 */
import type { Clock } from '../../clock.ts'
import type { RatioBudget } from '../../request/balancing/ratio-budget.ts'
import type { CustomerId, EntryId, ServiceId, TargetId } from '../../types.ts'
import type { ServiceContract } from '../../version/contract.ts'
import type { AuditEvent, AuditTrail } from '../audit/audit-trail.ts'
import type { SlotQueue } from './slot-queue.ts'
import type { SendHealthProbe } from './target-prober.ts'
import type { TargetRecord } from './target-record.ts'
import type { LeavingSource } from './target-set.ts'

/** Options of a target set. */
export interface TargetSetOptions {
  customer: CustomerId
  serviceId: ServiceId
  service: ServiceContract
  /** Id of this entry. */
  self: EntryId
  /** Live entries at the start. */
  entries: readonly EntryId[]
  /** Maximum number of entry processes in the contract; the measuring budget is divided by it. */
  maxEntries: number
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  /** Sends one health probe on a new connection. Without it no target is probed. */
  sendProbe?: SendHealthProbe
  /** Called when this process itself detects that a target is leaving, so that it can notify its peers. */
  notifyLeaving?: (target: TargetId, source: LeavingSource) => void
  /** Maximum number of targets that this process serves, unless a target would have too few entries then. Default 256. */
  maxTargets?: number
  /** Returns a number in [0, 1), for ties and slow start. Default `Math.random`. */
  random?: () => number
}

/** State of a target set. */
export interface TargetSetState {
  options: TargetSetOptions
  service: ServiceContract
  entries: readonly EntryId[]
  maxEntries: number
  /** Targets that this process serves. */
  records: Map<TargetId, TargetRecord>
  /** The same records as an array, for fast iteration at each selection. */
  recordList: TargetRecord[]
  /** Maximum number of in-flight requests of this process at a target that is not cold. */
  maxInFlight: number
  /** Leaving targets that this process no longer serves; one that is assigned to it again is still leaving. */
  unservedLeaving: Map<TargetId, TargetRecord>
  /** Targets of the contract, served by this process or not. */
  contractTargetIds: ReadonlySet<TargetId>
  queue: SlotQueue
  hedgeBudget: RatioBudget
  retryBudget: RatioBudget
  random: () => number
  /** Moving average of the time to the first byte of successful responses, in ms. */
  averageFirstByteMs: number
}

type TargetEvent = Extract<AuditEvent, { type: 'target-ejected' | 'target-returned' | 'target-leaving' }>
type WithoutService<E> = E extends unknown ? Omit<E, 'customer' | 'service'> : never

/** Records a state change of a target in the audit trail. */
export function recordTargetEvent (state: TargetSetState, event: WithoutService<TargetEvent>): void {
  const { customer, serviceId, audit } = state.options
  audit.record({ ...event, customer, service: serviceId } as TargetEvent)
}
