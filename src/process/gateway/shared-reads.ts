/**
 * Elects the entry that reads the store's topics for all entries: the live one with the lowest id.
 */
import type { EntryId } from '../../types.ts'
import type { SharedReading } from '../discovery/topic-follower.ts'
import type { PeerMesh } from '../membership/peer-mesh.ts'

/** Options of `createSharedReads`. */
export interface SharedReadsOptions {
  mesh: Pick<PeerMesh, 'watchEntries' | 'broadcast'>
  self: EntryId
  /** Whether this entry is overloaded, so that the records it reads would reach the others late. */
  isBusy(): boolean
}

/** Creates the sharing of reads for all topics. An overloaded reader publishes nothing, so that the others read themselves. */
export function createSharedReads ({ mesh, self, isBusy }: SharedReadsOptions): Omit<SharedReading, 'silentAfterMs'> {
  let readerId = self
  mesh.watchEntries((live) => { readerId = live[0] ?? self })
  return {
    isReader: () => readerId === self && !isBusy(),
    publish: (stretch) => mesh.broadcast({ type: 'topic-stretch', stretch })
  }
}
