/**
 * Hashes of records that were received from peers and not yet compared with the log.
 */
import { toBrand } from '../../types.ts'
import type { Offset } from '../../types.ts'
import { hashBytes } from '../../version/contract-record.ts'
import type { LogPage } from '../log-client.ts'
import type { ContractRecord } from './contract-state.ts'

/** Hashes of records from peers, compared with the log's records once it can be read. */
export interface UnverifiedRecords {
  /** Adds a record received from a peer. */
  addRecord(record: ContractRecord): void
  /**
   * Compares a page, read from the verified offset, with the peer records below `foldedTo`. Returns the offset of the
   * first difference; without one, advances the verified offset past the page.
   */
  verifyPage(page: LogPage, foldedTo: Offset): Offset | undefined
  /** Returns the offset below which every record has been read from the log. */
  getVerifiedOffset(): Offset
  /** Drops all hashes; every record below `offset` counts as verified. */
  reset(offset: Offset): void
}

/** Creates an empty set, verified up to the start of the stream. */
export function createUnverifiedRecords (): UnverifiedRecords {
  const hashes = new Map<Offset, string>()
  let verifiedOffset = toBrand<Offset>(0)

  const findDifference = (page: LogPage, foldedTo: Offset): Offset | undefined => {
    const inLog = new Set<Offset>()
    for (const { offset, data } of page.records) {
      inLog.add(offset)
      if (offset < foldedTo && hashes.get(offset) !== hashBytes(data)) return offset
    }
    return [...hashes.keys()].find((offset) => offset < page.nextOffset && !inLog.has(offset))
  }

  return {
    addRecord ({ offset, data }) {
      hashes.set(offset, hashBytes(data))
    },
    verifyPage (page, foldedTo) {
      const difference = foldedTo > verifiedOffset ? findDifference(page, foldedTo) : undefined
      if (difference !== undefined) return difference
      verifiedOffset = page.nextOffset
      for (const offset of hashes.keys()) if (offset < verifiedOffset) hashes.delete(offset)
      return undefined
    },
    getVerifiedOffset: () => verifiedOffset,
    reset (offset) {
      hashes.clear()
      verifiedOffset = offset
    }
  }
}
