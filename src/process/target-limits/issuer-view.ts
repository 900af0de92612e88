/**
 * Decides which entry issues the permits of a target, from this entry's view of the others: by rendezvous hashing over the
 * live entries, so that the loss of an entry moves only the targets that it issued for.
 */
import type { Clock } from '../../clock.ts'
import { sortByRendezvous } from '../../request/balancing/rendezvous.ts'
import type { EntryId, TargetId } from '../../types.ts'
import type { MemberView } from '../gossip/gossip-membership.ts'

/** What the decision needs of an entry. */
export type IssuerCandidate = Pick<MemberView, 'id' | 'state' | 'status'>

/** The issuers of all targets in the view of one entry. */
export interface IssuerView {
  /** Updates the view. Returns which entries are live now and were not before; undefined if the same ones are live. */
  update(entries: readonly IssuerCandidate[]): EntryId[] | undefined
  /** Returns the entry that issues the permits of a target. */
  getIssuer(target: TargetId): EntryId
  /**
   * Returns the share of all known entries that are live. The others may have failed, or they may be cut off and issue
   * permits among themselves; so each side of a split issues only its share.
   */
  getLiveShare(): number
  /** Forgets targets that are no longer registered. */
  removeUnregistered(isRegistered: (target: TargetId) => boolean): void
  /** Returns the instant from which this entry may issue for a target that another entry issued for before, by the monotonic clock in ms. */
  getSettledAtMs(): number
}

/** Views of the live entries agree within this time after a change, in ms; until then an earlier issuer may still issue. */
const SETTLE_MS = 1_000

/** Creates the view of an entry that knows no others. */
export function createIssuerView ({ self, clock }: { self: EntryId, clock: Clock }): IssuerView {
  const issuers = new Map<TargetId, EntryId>()
  let live: EntryId[] = [self]
  let lostCount = 0
  let changedAtMs = clock.monotonicMs()
  return {
    update (entries) {
      const next = entries.filter(({ state }) => state === 'live').map(({ id }) => id).sort()
      lostCount = entries.filter(({ state, status }) => state === 'suspect' || (state === 'gone' && !status.isLeaving)).length
      if (next.join() === live.join()) return undefined
      const before = new Set(live)
      live = next
      changedAtMs = clock.monotonicMs()
      issuers.clear()
      return live.filter((id) => !before.has(id))
    },
    getIssuer (target) {
      const known = issuers.get(target) ?? sortByRendezvous(target, live)[0] ?? self
      issuers.set(target, known)
      return known
    },
    removeUnregistered (isRegistered) {
      for (const target of issuers.keys()) if (!isRegistered(target)) issuers.delete(target)
    },
    getLiveShare: () => Math.max(1, live.length) / (Math.max(1, live.length) + lostCount),
    getSettledAtMs: () => changedAtMs + SETTLE_MS
  }
}
