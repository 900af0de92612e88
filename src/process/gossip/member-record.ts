/**
 * What members say about themselves and about each other, and the order in which such updates replace each other.
 */
import type { EntryId, ZoneId } from '../../types.ts'

/** What a member says about itself. */
export interface MemberRecord {
  id: EntryId
  zone: ZoneId
  /** IP address for callers and for members. */
  address: string
  /** Port for callers. */
  port: number
  /** Port for datagrams of members. */
  peerPort: number
  /** Start number of the process; a later run of the same member has a greater one. */
  run: number
  /** Increases whenever the member changes its record or contradicts a suspicion. */
  version: number
  /** What this member can take, in cores of normal speed; undefined for members of a release that does not state it. */
  capacity?: number | undefined
  status: MemberStatus
}

/** The part of a record that changes within one run. */
export interface MemberStatus {
  /** Whether the member serves callers. */
  isReady: boolean
  /** Whether the member is shutting down, which is final within a run. */
  isLeaving: boolean
  /** Whether the member is overloaded. */
  isBusy: boolean
  /** Whether the member's last read of the store succeeded. */
  canReadStore: boolean
  /** Whether the member can reach no targets, while other members do. */
  isCutOff: boolean
  /** Whether the member cannot reach most targets of some service, while other members do. */
  isPartlyCutOff: boolean
}

/** What the failure detector says about a member. */
export type Liveness = 'alive' | 'suspect' | 'dead'

/** A record with the liveness that its sender believes in. */
export interface MemberUpdate { record: MemberRecord, liveness: Liveness }

const LIVENESS_RANK: Record<Liveness, number> = { alive: 0, suspect: 1, dead: 2 }

/**
 * Compares two updates of one member; positive when `a` replaces `b`. The later run and then the later version decide.
 * Within one version a suspicion replaces `alive`, and `dead` replaces both; only the member itself can raise its version.
 */
export function compareUpdates (a: MemberUpdate, b: MemberUpdate): number {
  return a.record.run - b.record.run || a.record.version - b.record.version || LIVENESS_RANK[a.liveness] - LIVENESS_RANK[b.liveness]
}
