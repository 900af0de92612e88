/**
 * The data that the member table keeps for each entry, and the state (`live`, `suspect`, ...) computed from it.
 */
import type { Clock } from '../../clock.ts'
import type { PeerIdentity } from '../../connection/peer-frames.ts'
import { toBrand } from '../../types.ts'
import type { EntryId, Incarnation, Offset, ZoneId } from '../../types.ts'
import type { PeerState } from './peer-mesh.ts'

/** Options of the member table; times in ms. */
export interface MemberTableOptions {
  self: PeerIdentity
  clock: Clock
  /** How long an entry counts as leaving after the host list last showed it as leaving. */
  listLeavingHoldMs?: number
  /** After this long without contact an unlisted entry is gone, and an incarnation that looks earlier is accepted for its id. */
  forgetAfterMs?: number
}

const DEFAULT_LIST_LEAVING_HOLD_MS = 10_000
const DEFAULT_FORGET_AFTER_MS = 30_000
const MAX_LEAVING_MARKS = 4_096

/** Contract offset of an entry that has not reported one yet. */
export const NO_OFFSET = toBrand<Offset>(-1)

/** The zone, addresses and ports of an entry. */
export type EntryLocation = Pick<PeerIdentity, 'id' | 'zone' | 'address' | 'port' | 'peerPort'>

/** What is known of one entry. */
export interface Member {
  id: EntryId
  /** The latest incarnation that completed a handshake; undefined before the first. */
  incarnation: Incarnation | undefined
  zone: ZoneId
  address: string
  port: number
  peerPort: number
  isListed: boolean
  listedLeavingUntilMs: number
  /** Whether this process has a working link to that incarnation. */
  hasContact: boolean
  lastContactAtMs: number
  isLeaving: boolean
  contractOffset: Offset
  /** Incarnations of this entry that other peers report to be in contact with, by reporting peer. */
  peerReports: Map<EntryId, Incarnation>
}

/** Incarnations that are known to be leaving. */
export interface LeavingMarks {
  /** Adds a mark. Drops the oldest one beyond `MAX_LEAVING_MARKS`. */
  addMark(id: EntryId, incarnation: Incarnation): void
  hasMark(id: EntryId, incarnation: Incarnation): boolean
}

/** The state of a member table. */
export interface TableState {
  self: PeerIdentity
  clock: Clock
  listLeavingHoldMs: number
  forgetAfterMs: number
  members: Map<EntryId, Member>
  own: Member
  leavingMarks: LeavingMarks
  staleFactCount: number
}

/** Creates a member of which only the location is known. */
export function createMember (location: EntryLocation, nowMs: number): Member {
  const { id, zone, address, port, peerPort } = location
  return {
    id,
    zone,
    address,
    port,
    peerPort,
    incarnation: undefined,
    isListed: false,
    listedLeavingUntilMs: -Infinity,
    hasContact: false,
    lastContactAtMs: nowMs,
    isLeaving: false,
    contractOffset: NO_OFFSET,
    peerReports: new Map()
  }
}

/** Sets the location of a member. */
export function setLocation (member: Member, location: EntryLocation): void {
  member.zone = location.zone
  member.address = location.address
  member.port = location.port
  member.peerPort = location.peerPort
}

/** Returns a member; adds it first if it is unknown. */
export function getMember (state: TableState, location: EntryLocation): Member {
  const known = state.members.get(location.id)
  if (known) return known
  const created = createMember(location, state.clock.monotonicMs())
  state.members.set(location.id, created)
  return created
}

function createLeavingMarks (): LeavingMarks {
  const marks = new Set<string>()
  const toMark = (id: EntryId, incarnation: Incarnation) => `${id} ${incarnation}`
  return {
    addMark (id, incarnation) {
      marks.add(toMark(id, incarnation))
      if (marks.size <= MAX_LEAVING_MARKS) return
      const [oldest] = marks
      if (oldest !== undefined) marks.delete(oldest)
    },
    hasMark: (id, incarnation) => marks.has(toMark(id, incarnation))
  }
}

/** Creates the state with the entry itself in it. */
export function createTableState (options: MemberTableOptions): TableState {
  const { self, clock } = options
  const own = createMember(self, clock.monotonicMs())
  own.incarnation = self.incarnation
  own.hasContact = true
  return {
    self,
    clock,
    listLeavingHoldMs: options.listLeavingHoldMs ?? DEFAULT_LIST_LEAVING_HOLD_MS,
    forgetAfterMs: options.forgetAfterMs ?? DEFAULT_FORGET_AFTER_MS,
    members: new Map([[self.id, own]]),
    own,
    leavingMarks: createLeavingMarks(),
    staleFactCount: 0
  }
}

/** Returns whether a peer that this process is in contact with reports contact with this incarnation or a later one. */
function hasPeerReport (state: TableState, member: Member): boolean {
  for (const [reporter, incarnation] of member.peerReports) {
    if (!state.members.get(reporter)?.hasContact) continue
    if (member.incarnation === undefined || incarnation >= member.incarnation) return true
  }
  return false
}

/** Computes the state of an entry from direct contact, peer reports and the host list. */
export function computeMemberState (state: TableState, member: Member): PeerState {
  const nowMs = state.clock.monotonicMs()
  const isReachable = member.hasContact || hasPeerReport(state, member)
  if (member.isLeaving) return isReachable ? 'leaving' : 'gone'
  if (isReachable) return nowMs < member.listedLeavingUntilMs ? 'leaving' : 'live'
  return !member.isListed && nowMs - member.lastContactAtMs > state.forgetAfterMs ? 'gone' : 'suspect'
}
