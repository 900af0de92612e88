/**
 * Chooses the entry that reads the store's topics for all: the live one with the lowest id.
 */
import type { EntryId } from '../../types.ts'
import type { SharedReading } from '../discovery/topic-follower.ts'
import type { PeerMesh } from '../membership/peer-mesh.ts'

/** How to share reads. */
export interface SharedReadsOptions {
  mesh: Pick<PeerMesh, 'watchEntries' | 'broadcast'>
  self: EntryId
  /** Whether this entry has more work than it can do in time; what it reads would reach the others late. */
  isBusy(): boolean
}

/** Creates the sharing of all topics. A busy reader says nothing, so that the others read by themselves. */
export function createSharedReads ({ mesh, self, isBusy }: SharedReadsOptions): Omit<SharedReading, 'silentAfterMs'> {
  let reader = self
  mesh.watchEntries((live) => { reader = live[0] ?? self })
  return {
    isReader: () => reader === self && !isBusy(),
    publish: (stretch) => mesh.broadcast({ type: 'topic-stretch', stretch })
  }
}
