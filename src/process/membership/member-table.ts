/**
 * One entry's view of all entries, from the platform's host list, from direct contact and from peer reports.
 * State only moves forward: a later incarnation replaces an earlier one, and leaving is final within an incarnation.
 */
import type { MemberFact, PeerIdentity } from '../../connection/peer-frames.ts'
import { toBrand } from '../../types.ts'
import type { EntryId, Incarnation, Offset } from '../../types.ts'
import type { ListedHost } from '../host-list-client.ts'
import { computeMemberState, createTableState, getMember, NO_OFFSET, setLocation } from './member-state.ts'
import type { Member, MemberTableOptions, TableState } from './member-state.ts'
import type { PeerView } from './peer-mesh.ts'

/**
 * Result of a completed handshake: the peer's incarnation is the known one (`current`), one that
 * replaces it (`later`), or one that has been replaced (`stale`).
 */
export type ContactResult = 'current' | 'later' | 'stale'

/** One entry's view of all entries. */
export interface MemberTable {
  /** Applies a complete host list of the platform. Entries missing from it are not forgotten at once. */
  applyList(hosts: readonly ListedHost[]): void
  /** Applies a completed handshake; on `stale` nothing changes. */
  applyContact(peer: PeerIdentity): ContactResult
  /** Marks an incarnation as out of contact: its links failed, or none could be opened. */
  markUnreachable(id: EntryId, incarnation: Incarnation | undefined): void
  /** Marks an incarnation as leaving, which is final. The mark is kept for an incarnation that is not known yet. */
  applyLeaving(id: EntryId, incarnation: Incarnation): void
  /** Applies the facts that a peer reports about other entries. */
  applyPeerFacts(reporter: EntryId, facts: readonly MemberFact[]): void
  /** Drops everything that a peer reported, once it is out of contact. */
  dropPeerFacts(reporter: EntryId): void
  /** Raises the known contract offset of an incarnation; a lower offset is ignored. */
  applyOffset(id: EntryId, incarnation: Incarnation, offset: Offset): void
  /** Lists the facts to send to peers: this entry, and every entry that it has had direct contact with. */
  listFacts(): MemberFact[]
  listPeers(): PeerView[]
  /** Lists the entries that accept work, in id order. */
  listLive(): EntryId[]
  /** Counts the handshakes and facts that were ignored because they concerned another incarnation than the known one. */
  countStaleFacts(): number
}

function applyHost (state: TableState, host: ListedHost): void {
  const location = { ...host, id: toBrand<EntryId>(host.id), peerPort: host.peerPort ?? 0 }
  const member = getMember(state, location)
  member.isListed = true
  if (host.state === 'leaving') member.listedLeavingUntilMs = state.clock.monotonicMs() + state.listLeavingHoldMs
  // The handshake is the better source of the location; the list is used only while there is no contact.
  if (!member.hasContact) setLocation(member, location)
}

/** Removes entries that are unlisted, gone and long out of contact. */
function dropForgotten (state: TableState): void {
  const nowMs = state.clock.monotonicMs()
  for (const member of state.members.values()) {
    const isIdle = nowMs - member.lastContactAtMs > 2 * state.forgetAfterMs
    if (member !== state.own && isIdle && !member.isListed && computeMemberState(state, member) === 'gone') state.members.delete(member.id)
  }
}

function isEarlierRun (state: TableState, member: Member, incarnation: Incarnation): boolean {
  if (member.incarnation === undefined || incarnation >= member.incarnation) return false
  // The clock of a replaced host may be behind its predecessor's, which makes its incarnation look earlier. It is
  // accepted once the known incarnation has been out of contact for `forgetAfterMs`.
  return member.hasContact || state.clock.monotonicMs() - member.lastContactAtMs <= state.forgetAfterMs
}

function applyHandshake (state: TableState, peer: PeerIdentity): ContactResult {
  const member = getMember(state, peer)
  if (isEarlierRun(state, member, peer.incarnation)) {
    state.staleFactCount += 1
    return 'stale'
  }
  const isLater = member.incarnation !== peer.incarnation
  if (isLater) {
    member.incarnation = peer.incarnation
    member.isLeaving = state.leavingMarks.hasMark(peer.id, peer.incarnation)
    member.contractOffset = NO_OFFSET
  }
  setLocation(member, peer)
  member.hasContact = true
  member.lastContactAtMs = state.clock.monotonicMs()
  return isLater ? 'later' : 'current'
}

function markLeaving (state: TableState, id: EntryId, incarnation: Incarnation): void {
  state.leavingMarks.addMark(id, incarnation)
  const member = state.members.get(id)
  if (!member) return
  if (member.incarnation === incarnation) member.isLeaving = true
  else state.staleFactCount += 1
}

function applyFact (state: TableState, reporter: EntryId, fact: MemberFact): void {
  if (fact.id === state.self.id) {
    // A later incarnation has replaced this process, which was paused meanwhile and must now leave.
    if (fact.isHeard && fact.incarnation > state.self.incarnation) state.own.isLeaving = true
    return
  }
  if (fact.isLeaving) markLeaving(state, fact.id, fact.incarnation)
  const member = getMember(state, fact)
  if (fact.isHeard) member.peerReports.set(reporter, fact.incarnation)
  else member.peerReports.delete(reporter)
  // The location that a peer reports makes an incarnation reachable that the list does not show yet.
  const isLaterRun = member.incarnation === undefined || fact.incarnation > member.incarnation
  if (fact.isHeard && isLaterRun && !member.hasContact) setLocation(member, fact)
}

function toFact (member: Member): MemberFact[] {
  const { id, incarnation, zone, address, port, peerPort, hasContact: isHeard, isLeaving } = member
  return incarnation === undefined ? [] : [{ id, incarnation, zone, address, port, peerPort, isHeard, isLeaving }]
}

function toView (state: TableState, member: Member): PeerView {
  const { id, incarnation, zone, address, port, peerPort, contractOffset } = member
  const isSelf = member === state.own
  return { id, incarnation, zone, address, port, peerPort, contractOffset, state: computeMemberState(state, member), isSelf }
}

function listLiveIds (state: TableState): EntryId[] {
  const all = [...state.members.values()]
  const live = all.filter((member) => computeMemberState(state, member) === 'live')
  // If the list shows every entry as leaving, callers must still get an address.
  const listed = live.length > 0 ? live : all.filter((member) => member.hasContact && !member.isLeaving)
  return listed.map((member) => member.id).sort()
}

/** Creates the table, which contains the entry itself from the start. */
export function createMemberTable (options: MemberTableOptions): MemberTable {
  const state = createTableState(options)
  return {
    applyList (hosts) {
      for (const member of state.members.values()) member.isListed = false
      for (const host of hosts) if (host.role === 'entry') applyHost(state, host)
      dropForgotten(state)
    },
    applyContact: (peer) => applyHandshake(state, peer),
    markUnreachable (id, incarnation) {
      const member = state.members.get(id)
      if (!member || member === state.own || member.incarnation !== incarnation) return
      if (member.hasContact) member.lastContactAtMs = state.clock.monotonicMs()
      member.hasContact = false
    },
    applyLeaving: (id, incarnation) => markLeaving(state, id, incarnation),
    applyPeerFacts (reporter, facts) {
      for (const fact of facts) applyFact(state, reporter, fact)
    },
    dropPeerFacts (reporter) {
      for (const member of state.members.values()) member.peerReports.delete(reporter)
    },
    applyOffset (id, incarnation, offset) {
      const member = state.members.get(id)
      if (!member || member.incarnation !== incarnation || offset <= member.contractOffset) return
      member.contractOffset = offset
    },
    listFacts: () => [...state.members.values()].flatMap(toFact),
    listPeers: () => [...state.members.values()].map((member) => toView(state, member)),
    listLive: () => listLiveIds(state),
    countStaleFacts: () => state.staleFactCount
  }
}
