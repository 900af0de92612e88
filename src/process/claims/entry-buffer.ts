/**
 * Entries of a claim stream that wait for the next append.
 */
import { LARGEST_ENTRY_COUNT, LARGEST_RECORD_BYTES, measureEntry } from './claim-record.ts'
import type { ClaimEntry } from './claim-record.ts'

const LARGEST_NOTICE_COUNT = 50_000
const BATCH_BYTES = LARGEST_RECORD_BYTES / 2

/** An entry that claims a key. */
export type ClaimOnly = ClaimEntry & { kind: 'claim' }
/** An entry that tells of an earlier claim: a void or an outcome. */
export type Notice = Exclude<ClaimEntry, { kind: 'claim' }>

/** Entries that wait. */
export interface EntryBuffer {
  addClaim(entry: ClaimOnly): void
  /** Adds a notice; when the buffer is full the oldest one is dropped and counted. */
  addNotice(entry: Notice): void
  /** Takes a claim back; false when it is not here any more. */
  removeClaim(seq: number): boolean
  /** Takes claims, oldest first, then notices, as far as they fit into one record. */
  takeBatch(largestCount: number): ClaimEntry[]
  /** Ends the last batch; its notices come back when the log may not have taken them. */
  settleBatch(isTaken: boolean): void
  hasClaims(): boolean
  hasVoids(): boolean
  isEmpty(): boolean
  /** Counts notices, those of the last batch included. */
  countNotices(): number
  countLostNotices(): number
}

/** Creates an empty buffer. */
export function createEntryBuffer (): EntryBuffer {
  const claims = new Map<number, ClaimOnly>()
  let notices: Notice[] = []
  let noticesOut: Notice[] = []
  let lostNotices = 0
  const dropOldest = (): void => {
    const excess = notices.length - LARGEST_NOTICE_COUNT
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
    takeBatch (largestCount) {
      const limit = Math.min(largestCount, LARGEST_ENTRY_COUNT)
      const batch: ClaimEntry[] = []
      let bytes = 0
      const hasRoom = (entry: ClaimEntry): boolean => {
        bytes += measureEntry(entry)
        return batch.length === 0 || (batch.length < limit && bytes <= BATCH_BYTES)
      }
      for (const entry of claims.values()) {
        if (!hasRoom(entry)) break
        batch.push(entry)
      }
      for (const { seq } of batch) claims.delete(seq)
      let taken = 0
      while (taken < notices.length && hasRoom(notices[taken]!)) batch.push(notices[taken++]!)
      noticesOut = notices.slice(0, taken)
      notices = notices.slice(taken)
      return batch
    },
    settleBatch (isTaken) {
      if (!isTaken) notices = [...noticesOut, ...notices]
      noticesOut = []
      dropOldest()
    },
    hasClaims: () => claims.size > 0,
    hasVoids: () => notices.some(({ kind }) => kind === 'void'),
    isEmpty: () => claims.size === 0 && notices.length === 0,
    countNotices: () => notices.length + noticesOut.length,
    countLostNotices: () => lostNotices
  }
}
