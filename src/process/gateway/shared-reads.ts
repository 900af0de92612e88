/**
 * Elects the entry that reads the store's topics for all entries: of those that can read the store and are not overloaded,
 * the one with the lowest id.
 */
import type { EntryId } from '../../types.ts'
import type { SharedReading } from '../discovery/shared-reading.ts'
import type { MemberView } from '../gossip/gossip-membership.ts'

/** What the election knows of an entry. */
export type ReaderCandidate = Pick<MemberView, 'id' | 'state' | 'status'>

/** About this many entries retry to read a store that is unavailable, whatever the number of entries. */
const RETRYING_ENTRIES = 3

/** Returns the entry that reads for all; undefined when no entry is live. When no entry can read, it is the lowest id of all. */
export function selectReader (entries: readonly ReaderCandidate[]): EntryId | undefined {
  const live = entries.filter(({ state }) => state === 'live')
  const fit = live.filter(({ status }) => status.canReadStore && !status.isBusy)
  const candidates = (fit.length > 0 ? fit : live).map(({ id }) => id)
  return candidates.reduce<EntryId | undefined>((lowest, id) => lowest === undefined || id < lowest ? id : lowest, undefined)
}

/** Options of `createSharedReads`. */
export interface SharedReadsOptions extends Pick<SharedReading, 'publish'> {
  self: EntryId
  listEntries(): readonly ReaderCandidate[]
  /** Whether the other entries are known by now; until then no entry reads for all. */
  hasJoined(): boolean
}

/** Creates the sharing of reads for all topics. */
export function createSharedReads ({ self, listEntries, hasJoined, publish }: SharedReadsOptions): Omit<SharedReading, 'silentAfterMs'> {
  return {
    isReader: () => hasJoined() && selectReader(listEntries()) === self,
    getRetryFactor: () => Math.max(1, listEntries().filter(({ state }) => state !== 'gone').length / RETRYING_ENTRIES),
    publish
  }
}
