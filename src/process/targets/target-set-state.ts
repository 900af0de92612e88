/**
 * The state that the modules of a target set share, and its options.
 */
import type { Clock } from '../../clock.ts'
import type { RatioBudget } from '../../request/balancing/ratio-budget.ts'
import type { CustomerId, EntryId, ServiceId, TargetId } from '../../types.ts'
import type { ServiceContract } from '../../version/contract.ts'
import type { AuditEvent, AuditTrail } from '../audit/audit-trail.ts'
import type { SlotQueue } from './slot-queue.ts'
import type { SendProbe } from './target-prober.ts'
import type { TargetRecord } from './target-record.ts'
import type { LeavingSource } from './target-set.ts'

/** Options of a target set. */
export interface TargetSetOptions {
  customer: CustomerId
  serviceId: ServiceId
  service: ServiceContract
  /** The entry that this process is. */
  self: EntryId
  /** The live entries at the start. */
  entries: readonly EntryId[]
  /** The largest number of entry processes by the contract; each may spend this part of the measuring budget. */
  largestEntries: number
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  /** Sends one probe on a new connection. Without it nothing is probed. */
  sendProbe?: SendProbe
  /** Called when this process sees a target leaving by itself, so that it can tell its peers. */
  notifyLeaving?: (target: TargetId, source: LeavingSource) => void
  /** Targets of the service that this process holds at most, unless they need more entries. Default 256. */
  largestTargets?: number
  /** Number in [0, 1) that breaks ties. Default `Math.random`. */
  random?: () => number
}

/** The state of a target set. */
export interface SetState {
  options: TargetSetOptions
  service: ServiceContract
  entries: readonly EntryId[]
  largestEntries: number
  /** Every target that this process serves. */
  records: Map<TargetId, TargetRecord>
  /** The same records, in an array for the choice. */
  list: TargetRecord[]
  /** The largest number of requests that this process may have at one warm target. */
  largestInFlight: number
  /** Leaving targets that this process does not serve now; a target that comes back is still leaving. */
  parked: Map<TargetId, TargetRecord>
  /** Every target of the contract, served by this process or not. */
  listedIds: ReadonlySet<TargetId>
  queue: SlotQueue
  hedges: RatioBudget
  retries: RatioBudget
  random: () => number
  /** Smoothed time of good exchanges, in ms. */
  typicalMs: number
}

type TargetEvent = Extract<AuditEvent, { type: 'target-ejected' | 'target-returned' | 'target-leaving' }>
type OwnPart<E> = E extends unknown ? Omit<E, 'customer' | 'service'> : never

/** Notes a change of a target in the audit trail. */
export function recordChange (state: SetState, event: OwnPart<TargetEvent>): void {
  const { customer, serviceId, audit } = state.options
  audit.record({ ...event, customer, service: serviceId } as TargetEvent)
}
