/**
 * Decides which entry issues the permits of a limit that all entries share, from this entry's view of the others: by rendezvous
 * hashing over the live entries, so that the loss of an entry moves only the limits that it issued for.
 */
import type { Clock } from '../../clock.ts'
import { sortByRendezvous } from '../../request/balancing/rendezvous.ts'
import type { EntryId } from '../../types.ts'
import type { MemberView } from '../gossip/gossip-membership.ts'
import { createLiveShare } from './live-share.ts'

/** What the decision needs of an entry. */
export type IssuerCandidate = Pick<MemberView, 'id' | 'state' | 'status'>

/** The issuers of all limits in the view of one entry. `K` is the id of what a limit belongs to. */
export interface IssuerView<K extends string> {
  /** Updates the view. Returns which entries are live now and were not before; undefined if the same ones are live. */
  update(entries: readonly IssuerCandidate[]): EntryId[] | undefined
  /** Returns the entry that issues the permits of a limit. */
  getIssuer(key: K): EntryId
  /** Returns the entry that issues them once the issuer is lost; undefined when this entry knows no other. */
  getSuccessor(key: K): EntryId | undefined
  /**
   * Returns the share of all known entries that are live. The others may have failed, or they may be cut off and issue
   * permits among themselves; so each side of a split issues only its share. It falls at once and rises after `settleMs`.
   */
  getLiveShare(): number
  /** Forgets limits that are no longer registered. */
  removeUnregistered(isRegistered: (key: K) => boolean): void
  /** Returns the instant from which this entry may issue for a limit that another entry issued for before, by the monotonic clock in ms. */
  getSettledAtMs(): number
  /** Returns the instant from which this entry may issue for a limit that it has issued for in its last views, by the monotonic clock in ms. */
  getIssuingSinceMs(key: K): number
  /** Records whether no other entry can be heard, so that this one may be cut off from all others before it knows. */
  setIsolated(isIsolated: boolean): void
  /** Starts anew, as after a pause in which other entries may have issued: every limit has to settle again. */
  reset(): void
}

/** Options of `createIssuerView`. */
export interface IssuerViewOptions {
  self: EntryId
  clock: Clock
  /** Views of the live entries agree within this time after a change, in ms; until then an earlier issuer may still issue. */
  settleMs: number
}

/** The first two entries in the order of a limit. */
interface Ranking { issuer: EntryId, successor: EntryId | undefined }

/** The live entries from an instant on, by the monotonic clock in ms. */
interface LiveEntries { ids: readonly EntryId[], sinceMs: number }

/** Earlier views that are kept, to find out since when this entry has been an issuer. */
const MAX_KEPT_VIEWS = 16

/** Creates the view of an entry that knows no others. */
export function createIssuerView<K extends string> ({ self, clock, settleMs }: IssuerViewOptions): IssuerView<K> {
  const rankings = new Map<K, Ranking>()
  const share = createLiveShare({ clock, settleMs })
  let lostCount = 0
  let otherCount = 0
  let isIsolated = false
  /** The present view, then earlier ones. */
  let views: [LiveEntries, ...LiveEntries[]] = [{ ids: [self], sinceMs: clock.monotonicMs() }]

  const computeShare = (): number => {
    const { ids } = views[0]
    const knownCount = ids.length + lostCount
    // The others do not count an entry that is leaving: it issues nothing unless all are.
    if (!ids.includes(self)) return knownCount > 0 ? 0 : 1 / (1 + otherCount)
    return (isIsolated ? 1 : ids.length) / knownCount
  }
  const getRanking = (key: K): Ranking => {
    const known = rankings.get(key)
    if (known) return known
    const [issuer = self, successor] = sortByRendezvous(key, views[0].ids)
    const ranking = { issuer, successor }
    rankings.set(key, ranking)
    return ranking
  }
  const findIssuingSinceMs = (key: K): number => {
    let { sinceMs } = views[0]
    for (const view of views.slice(1)) {
      if (sortByRendezvous(key, view.ids)[0] !== self) break
      sinceMs = view.sinceMs
    }
    return sinceMs
  }
  return {
    update (entries) {
      const ids = entries.filter(({ state }) => state === 'live').map(({ id }) => id).sort()
      otherCount = entries.filter(({ id }) => id !== self).length
      lostCount = entries.filter(({ state, status }) => state === 'suspect' || (state === 'gone' && !status.isLeaving)).length
      const before = new Set(views[0].ids)
      const hasChanged = ids.join() !== views[0].ids.join()
      if (hasChanged) views = [{ ids, sinceMs: clock.monotonicMs() }, ...views.slice(0, MAX_KEPT_VIEWS - 1)]
      share.update(computeShare())
      if (!hasChanged) return undefined
      rankings.clear()
      return ids.filter((id) => !before.has(id))
    },
    getIssuer: (key) => getRanking(key).issuer,
    getSuccessor: (key) => getRanking(key).successor,
    removeUnregistered (isRegistered) {
      for (const key of rankings.keys()) if (!isRegistered(key)) rankings.delete(key)
    },
    getLiveShare: () => share.get(),
    getSettledAtMs: () => views[0].sinceMs + settleMs,
    getIssuingSinceMs: (key) => findIssuingSinceMs(key) + settleMs,
    setIsolated (isNowIsolated) {
      if (isNowIsolated === isIsolated) return
      isIsolated = isNowIsolated
      share.update(computeShare())
    },
    reset () {
      views = [{ ids: views[0].ids, sinceMs: clock.monotonicMs() }]
    }
  }
}
