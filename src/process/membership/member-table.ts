/**
 * What one entry knows of all entries: from the platform's list, from direct contact and from peers' word.
 * Facts only move forward: a later run replaces an earlier one, and leaving is for good within a run.
 */
import type { MemberFact, PeerIdentity } from '../../connection/peer-frames.ts'
import { toBrand } from '../../types.ts'
import type { EntryId, Incarnation, Offset } from '../../types.ts'
import type { ListedHost } from '../host-list-client.ts'
import { computeMemberState, createTableState, getMember, NO_OFFSET, setPlace } from './member-state.ts'
import type { Member, MemberTableOptions, TableState } from './member-state.ts'
import type { PeerView } from './peer-mesh.ts'

/** How a peer that has proved itself compares with what was known. */
export type ContactVerdict = 'current' | 'later' | 'stale'

/** What is known of all entries. */
export interface MemberTable {
  /** Applies a whole list of the platform. Entries missing from it are not forgotten at once. */
  applyList(hosts: readonly ListedHost[]): void
  /** Applies a finished handshake; on `stale` nothing changes. */
  applyContact(peer: PeerIdentity): ContactVerdict
  /** Notes that the links to a run are proved dead, or that none could be made. */
  markUnreachable(id: EntryId, incarnation: Incarnation | undefined): void
  /** Notes that a run leaves for good; runs not known yet are remembered. */
  applyLeaving(id: EntryId, incarnation: Incarnation): void
  /** Applies what a peer says of others. */
  applyWord(reporter: EntryId, facts: readonly MemberFact[]): void
  /** Drops the word of a peer that is no longer heard. */
  dropWord(reporter: EntryId): void
  /** Moves the known contract offset of a run up; a lower one is ignored. */
  applyOffset(id: EntryId, incarnation: Incarnation, offset: Offset): void
  /** Notes whether a run has more work than it can do in time. */
  applyBusy(id: EntryId, incarnation: Incarnation, isBusy: boolean): void
  /** What this entry tells peers: itself and every entry that it has heard itself. */
  listFacts(): MemberFact[]
  listPeers(): PeerView[]
  /** Entries that take work, in id order. */
  listLive(): EntryId[]
  /** Frames whose facts were behind what is known and were ignored. */
  countStale(): number
}

function applyHost (state: TableState, host: ListedHost): void {
  const place = { ...host, id: toBrand<EntryId>(host.id), peerPort: host.peerPort ?? 0 }
  const member = getMember(state, place)
  member.isListed = true
  if (host.state === 'leaving') member.listedLeavingUntilMs = state.clock.monotonicMs() + state.listLeavingHoldMs
  // The process itself knows best where it is; the list only helps until it has been heard.
  if (!member.isHeard) setPlace(member, place)
}

/** Forgets runs that neither the list nor any contact has shown for long. */
function dropForgotten (state: TableState): void {
  const nowMs = state.clock.monotonicMs()
  for (const member of state.members.values()) {
    const isIdle = nowMs - member.lastHeardMs > 2 * state.forgetAfterMs
    if (member !== state.own && isIdle && !member.isListed && computeMemberState(state, member) === 'gone') state.members.delete(member.id)
  }
}

function isEarlierRun (state: TableState, member: Member, incarnation: Incarnation): boolean {
  if (member.incarnation === undefined || incarnation >= member.incarnation) return false
  // A replaced host may have a clock behind its predecessor's; once that run is long silent it is over.
  return member.isHeard || state.clock.monotonicMs() - member.lastHeardMs <= state.forgetAfterMs
}

function applyHandshake (state: TableState, peer: PeerIdentity): ContactVerdict {
  const member = getMember(state, peer)
  if (isEarlierRun(state, member, peer.incarnation)) {
    state.staleFacts += 1
    return 'stale'
  }
  const isLater = member.incarnation !== peer.incarnation
  if (isLater) {
    member.incarnation = peer.incarnation
    member.isLeaving = state.leavingMarks.hasMark(peer.id, peer.incarnation)
    member.contractOffset = NO_OFFSET
    member.isBusy = false
  }
  setPlace(member, peer)
  member.isHeard = true
  member.lastHeardMs = state.clock.monotonicMs()
  return isLater ? 'later' : 'current'
}

function markLeaving (state: TableState, id: EntryId, incarnation: Incarnation): void {
  state.leavingMarks.addMark(id, incarnation)
  const member = state.members.get(id)
  if (!member) return
  if (member.incarnation === incarnation) member.isLeaving = true
  else state.staleFacts += 1
}

function applyFact (state: TableState, reporter: EntryId, fact: MemberFact): void {
  if (fact.id === state.self.id) {
    // A later run has taken this entry's place: this process was paused and is to leave.
    if (fact.isHeard && fact.incarnation > state.self.incarnation) state.own.isLeaving = true
    return
  }
  if (fact.isLeaving) markLeaving(state, fact.id, fact.incarnation)
  const member = getMember(state, fact)
  if (fact.isHeard) member.words.set(reporter, fact.incarnation)
  else member.words.delete(reporter)
  // The peer's word on the place helps to reach a run that the list does not show yet.
  const isLaterRun = member.incarnation === undefined || fact.incarnation > member.incarnation
  if (fact.isHeard && isLaterRun && !member.isHeard) setPlace(member, fact)
}

function toFact (member: Member): MemberFact[] {
  const { id, incarnation, zone, address, port, peerPort, isHeard, isLeaving } = member
  return incarnation === undefined ? [] : [{ id, incarnation, zone, address, port, peerPort, isHeard, isLeaving }]
}

function toView (state: TableState, member: Member): PeerView {
  const { id, incarnation, zone, address, port, peerPort, contractOffset, isBusy } = member
  const isSelf = member === state.own
  return { id, incarnation, zone, address, port, peerPort, contractOffset, isBusy, state: computeMemberState(state, member), isSelf }
}

function listLiveIds (state: TableState): EntryId[] {
  const all = [...state.members.values()]
  const live = all.filter((member) => computeMemberState(state, member) === 'live')
  // A list that calls every entry leaving must not leave callers with no address at all.
  const listed = live.length > 0 ? live : all.filter((member) => member.isHeard && !member.isLeaving)
  return listed.map((member) => member.id).sort()
}

/** Creates the table; it holds the entry itself from the start. */
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
      if (member.isHeard) member.lastHeardMs = state.clock.monotonicMs()
      member.isHeard = false
    },
    applyLeaving: (id, incarnation) => markLeaving(state, id, incarnation),
    applyWord (reporter, facts) {
      for (const fact of facts) applyFact(state, reporter, fact)
    },
    dropWord (reporter) {
      for (const member of state.members.values()) member.words.delete(reporter)
    },
    applyOffset (id, incarnation, offset) {
      const member = state.members.get(id)
      if (!member || member.incarnation !== incarnation || offset <= member.contractOffset) return
      member.contractOffset = offset
    },
    applyBusy (id, incarnation, isBusy) {
      const member = state.members.get(id)
      if (member?.incarnation === incarnation) member.isBusy = isBusy
    },
    listFacts: () => [...state.members.values()].flatMap(toFact),
    listPeers: () => [...state.members.values()].map((member) => toView(state, member)),
    listLive: () => listLiveIds(state),
    countStale: () => state.staleFacts
  }
}
