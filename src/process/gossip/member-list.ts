/**
 * One member's view of all members, merged from the updates that members pass on. It neither sends nor waits.
 */
import type { Clock } from '../../clock.ts'
import { computeHash } from '../../request/balancing/rendezvous.ts'
import type { EntryId } from '../../types.ts'
import { compareUpdates } from './member-record.ts'
import type { Liveness, MemberRecord, MemberStatus, MemberUpdate } from './member-record.ts'

/** A member in the view. */
export interface KnownMember {
  update: MemberUpdate
  /** When its liveness last changed, by the monotonic clock in ms. */
  changedAtMs: number
}

/** Result of applying an update: it changed the view, it was older than the view, or it repeated it. */
export type MergeResult = 'changed' | 'stale' | 'known'

/** One member's view of all members, itself included. */
export interface MemberList {
  /**
   * Merges an update. One about this member that is wrong raises its own run or version above it. A member that is alive in
   * this view is only suspected when others report it dead, so that it can contradict: they may have been cut off from it.
   */
  apply(update: MemberUpdate): MergeResult
  getSelf(): MemberRecord
  /** Changes the own status. Returns whether it differs from before. */
  setStatus(changes: Partial<MemberStatus>): boolean
  get(id: EntryId): KnownMember | undefined
  /** Changes the liveness of another member by what this member observed. Returns whether it changed. */
  setLiveness(id: EntryId, liveness: Liveness): boolean
  /** Moves the beginning of all suspicions forward, since this process was paused and could hear no contradiction. */
  postponeSuspicions(byMs: number): void
  /** Lists the updates of all members, this one and the dead ones included. */
  listUpdates(): MemberUpdate[]
  /** Lists the other members that are not dead. */
  listOthers(): KnownMember[]
  /** Lists the dead members that have not been forgotten. */
  listDead(): KnownMember[]
  /** Forgets members that have been dead for `forgetAfterMs`. */
  removeForgotten(forgetAfterMs: number): void
  /** Counts the members that are not dead, this one included. */
  countMembers(): number
  /** Returns a hash over the members that are not dead; equal views have equal hashes. */
  getDigest(): number
}

/** Options of `createMemberList`. */
export interface MemberListOptions {
  self: MemberRecord
  clock: Clock
  /** Called for each member whose update in the view has changed; for this member when its record has. */
  handleChange(update: MemberUpdate): void
}

/** Computes a member's share of the digest. Suspicions are left out, because they pass within seconds. */
function computeShare ({ record, liveness }: MemberUpdate): number {
  return liveness === 'dead' ? 0 : computeHash(`${record.id} ${record.run} ${record.version}`)
}

/** Creates a view that contains only this member. */
export function createMemberList (options: MemberListOptions): MemberList {
  const { clock, handleChange } = options
  const members = new Map<EntryId, KnownMember>()
  const selfId = options.self.id
  let self = options.self
  let digest = 0
  let memberCount = 0

  const replace = (update: MemberUpdate): void => {
    const known = members.get(update.record.id)
    digest = (digest - (known ? computeShare(known.update) : 0) + computeShare(update)) >>> 0
    memberCount += Number(update.liveness !== 'dead') - Number(known !== undefined && known.update.liveness !== 'dead')
    members.set(update.record.id, { update, changedAtMs: clock.monotonicMs() })
    handleChange(update)
  }
  const setSelf = (record: MemberRecord): void => {
    self = record
    replace({ record, liveness: 'alive' })
  }
  /** Contradicts an update about this member that would replace its own record. */
  const refute = ({ record, liveness }: MemberUpdate): MergeResult => {
    if (compareUpdates({ record, liveness }, { record: self, liveness: 'alive' }) <= 0) return 'stale'
    // Another run of this member is known: its predecessor's, whose clock was ahead.
    if (record.run > self.run) setSelf({ ...self, run: record.run + 1, version: 0 })
    else setSelf({ ...self, version: record.version + 1 })
    return 'changed'
  }
  setSelf(self)
  return {
    apply (update) {
      const { id } = update.record
      if (id === selfId) return refute(update)
      const known = members.get(id)
      const order = known ? compareUpdates(update, known.update) : 1
      // A member that is unknown here and dead elsewhere is of no use.
      if (order < 0 || (!known && update.liveness === 'dead')) return 'stale'
      if (order === 0) return 'known'
      const isUnexpectedDeath = update.liveness === 'dead' && known?.update.liveness === 'alive'
      replace(isUnexpectedDeath ? { ...update, liveness: 'suspect' } : update)
      return 'changed'
    },
    getSelf: () => self,
    setStatus (changes) {
      const status = { ...self.status, ...changes, isLeaving: self.status.isLeaving || changes.isLeaving === true }
      const names = Object.keys(status) as (keyof MemberStatus)[]
      if (names.every((name) => status[name] === self.status[name])) return false
      setSelf({ ...self, version: self.version + 1, status })
      return true
    },
    get: (id) => members.get(id),
    setLiveness (id, liveness) {
      const known = members.get(id)
      if (!known || id === selfId || known.update.liveness === liveness) return false
      replace({ ...known.update, liveness })
      return true
    },
    postponeSuspicions (byMs) {
      for (const known of members.values()) if (known.update.liveness === 'suspect') known.changedAtMs += byMs
    },
    listUpdates: () => [...members.values()].map(({ update }) => update),
    listOthers: () => [...members.values()].filter(({ update }) => update.record.id !== selfId && update.liveness !== 'dead'),
    listDead: () => [...members.values()].filter(({ update }) => update.liveness === 'dead'),
    removeForgotten (forgetAfterMs) {
      const nowMs = clock.monotonicMs()
      for (const [id, { update, changedAtMs }] of members) {
        if (update.liveness === 'dead' && nowMs - changedAtMs > forgetAfterMs) members.delete(id)
      }
    },
    countMembers: () => memberCount,
    getDigest: () => digest
  }
}
