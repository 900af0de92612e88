/**
 * Buffers the entries of a claim stream until they are appended.
 */
import { MAX_ENTRY_COUNT, MAX_RECORD_BYTES, measureEntry } from './claim-record.ts'
import type { ClaimEntry } from './claim-record.ts'

const MAX_NOTICE_COUNT = 50_000
const MAX_BATCH_BYTES = MAX_RECORD_BYTES / 2

/** An entry that claims a key. */
export type NewClaim = ClaimEntry & { kind: 'claim' }
/** An entry about an earlier claim: a tombstone or a stored response. */
export type Notice = Exclude<ClaimEntry, { kind: 'claim' }>

/** Entries that wait to be appended. */
export interface EntryBuffer {
  addClaim(entry: NewClaim): void
  /** Adds a notice; when the buffer is full the oldest one is dropped and counted. */
  addNotice(entry: Notice): void
  /** Removes a claim; returns false when it is not in the buffer. */
  removeClaim(seq: number): boolean
  /** Removes and returns claims, oldest first, then notices, as many as fit into one record; claims are not put back. */
  takeBatch(maxCount: number): ClaimEntry[]
  /** Settles the last batch; its notices are put back unless the log confirmed the append. */
  settleBatch(isConfirmed: boolean): void
  hasClaims(): boolean
  hasTombstones(): boolean
  isEmpty(): boolean
  /** Counts notices, including those of a batch that is not settled yet. */
  countNotices(): number
  /** Counts notices that were dropped because the buffer was full. */
  countLostNotices(): number
}

/** Creates an empty buffer. */
export function createEntryBuffer (): EntryBuffer {
  const claims = new Map<number, NewClaim>()
  let notices: Notice[] = []
  let inFlightNotices: Notice[] = []
  let lostNotices = 0
  const dropOldest = (): void => {
    const excess = notices.length - MAX_NOTICE_COUNT
    if (excess <= 0) return
    notices = notices.slice(excess)
    lostNotices += excess
  }
  return {
    addClaim: (entry) => { claims.set(entry.seq, entry) },
    addNotice (entry) {
      notices.push(entry)
      dropOldest()
    },
    removeClaim: (seq) => claims.delete(seq),
    takeBatch (maxCount) {
      const limit = Math.min(maxCount, MAX_ENTRY_COUNT)
      const batch: ClaimEntry[] = []
      let bytes = 0
      const hasRoom = (entry: ClaimEntry): boolean => {
        bytes += measureEntry(entry)
        return batch.length === 0 || (batch.length < limit && bytes <= MAX_BATCH_BYTES)
      }
      for (const entry of claims.values()) {
        if (!hasRoom(entry)) break
        batch.push(entry)
      }
      for (const { seq } of batch) claims.delete(seq)
      let taken = 0
      while (taken < notices.length && hasRoom(notices[taken]!)) batch.push(notices[taken++]!)
      inFlightNotices = notices.slice(0, taken)
      notices = notices.slice(taken)
      return batch
    },
    settleBatch (isConfirmed) {
      if (!isConfirmed) notices = [...inFlightNotices, ...notices]
      inFlightNotices = []
      dropOldest()
    },
    hasClaims: () => claims.size > 0,
    hasTombstones: () => notices.some(({ kind }) => kind === 'void'),
    isEmpty: () => claims.size === 0 && notices.length === 0,
    countNotices: () => notices.length + inFlightNotices.length,
    countLostNotices: () => lostNotices
  }
}
