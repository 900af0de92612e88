/**
 * The interface of the audit trail, which records the changes that the system made or observed.
 */
import type { ContractVersion, CustomerId, EntryId, Incarnation, Offset, ServiceId, TargetId } from '../../types.ts'

/** A change that is recorded. */
export type AuditEvent =
  | { type: 'contract-published', customer: CustomerId, version: ContractVersion, operator: string }
  | { type: 'contract-accepted', customer: CustomerId, version: ContractVersion, offset: Offset }
  | { type: 'contract-rejected', customer: string, offset: Offset, reason: string }
  | { type: 'contract-in-force', customer: CustomerId, version: ContractVersion }
  | { type: 'checkpoint-written', offset: Offset }
  /** A checkpoint differs from the state that this entry has folded. */
  | { type: 'checkpoint-refused', offset: Offset, reason: string }
  /** The contract state was reloaded; reading continues at the offset. */
  | { type: 'contracts-reloaded', offset: Offset, reason: string }
  /** Records from a peer differ from the log's or this entry's, first at the offset. */
  | { type: 'peer-records-refused', offset: Offset, reason: string }
  | { type: 'record-skipped', stream: string, offset: Offset, reason: string }
  | { type: 'target-ejected', customer: CustomerId, service: ServiceId, target: TargetId, reason: string }
  | { type: 'target-returned', customer: CustomerId, service: ServiceId, target: TargetId }
  | { type: 'target-leaving', customer: CustomerId, service: ServiceId, target: TargetId, source: string }
  | { type: 'entry-started', incarnation: Incarnation }
  | { type: 'entry-stopping', incarnation: Incarnation, reason: string }
  | { type: 'entry-stopped', incarnation: Incarnation }
  | { type: 'events-lost', count: number }

/** An event as written to the log. */
export interface AuditRecord {
  /** Wall-clock time of the writer, in ms since 1970. */
  atMs: number
  /** The entry, or `operator` for the command line. */
  entry: EntryId | 'operator'
  event: AuditEvent
}

/** Writes events to the audit stream without delaying requests. */
export interface AuditTrail {
  /** Queues an event; when the buffer is full, drops and counts it. */
  record(event: AuditEvent): void
  /** Writes the waiting events. Resolves when they are written or at `deadlineMs` of the monotonic clock. */
  flush(deadlineMs: number): Promise<void>
  /** Counts events written, waiting and lost since the start. */
  report(): { written: number, waiting: number, lost: number }
}
