/**
 * The interface of the audit trail: the changes that the system made or saw.
 */
import type { ContractVersion, CustomerId, EntryId, Incarnation, Offset, ServiceId, TargetId } from '../../types.ts'

/** A change worth keeping. */
export type AuditEvent =
  | { type: 'contract-published', customer: CustomerId, version: ContractVersion, operator: string }
  | { type: 'contract-accepted', customer: CustomerId, version: ContractVersion, offset: Offset }
  | { type: 'contract-rejected', customer: string, offset: Offset, reason: string }
  | { type: 'contract-in-force', customer: CustomerId, version: ContractVersion }
  | { type: 'checkpoint-written', offset: Offset }
  /** A checkpoint differs from what this entry has read itself. */
  | { type: 'checkpoint-refused', offset: Offset, reason: string }
  /** The state was read anew, from the offset on. */
  | { type: 'contracts-reloaded', offset: Offset, reason: string }
  /** What a peer passed on is not what the log holds. */
  | { type: 'peer-records-refused', offset: Offset, reason: string }
  | { type: 'record-skipped', stream: string, offset: Offset, reason: string }
  | { type: 'target-ejected', customer: CustomerId, service: ServiceId, target: TargetId, reason: string }
  | { type: 'target-returned', customer: CustomerId, service: ServiceId, target: TargetId }
  | { type: 'target-leaving', customer: CustomerId, service: ServiceId, target: TargetId, source: string }
  | { type: 'entry-started', incarnation: Incarnation }
  | { type: 'entry-stopping', incarnation: Incarnation, reason: string }
  | { type: 'entry-stopped', incarnation: Incarnation }
  | { type: 'events-lost', count: number }

/** An event as it stands on the log. */
export interface AuditRecord {
  /** Wall time at the writer, in ms since 1970. */
  atMs: number
  /** The entry, or `operator` for the command line. */
  entry: EntryId | 'operator'
  event: AuditEvent
}

/** Writes events to the audit stream without ever holding up a request. */
export interface AuditTrail {
  /** Notes an event; when the buffer is full the event is counted as lost. */
  record(event: AuditEvent): void
  /** Writes what is waiting. Resolves when it is written or `deadlineMs` has passed. */
  flush(deadlineMs: number): Promise<void>
  report(): { written: number, waiting: number, lost: number }
}
