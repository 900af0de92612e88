/**
 * The newest records of the contract stream, kept for peers that are behind or start without state.
 */
import { toBrand } from '../../types.ts'
import type { Offset } from '../../types.ts'
import type { Checkpoint } from './checkpoint-set.ts'
import type { ContractRecord } from './contract-state.ts'

/** Consecutive records from the start of the stream or from a checkpoint on. */
export interface ContractTail {
  /** Adds the next record; when the size limit is exceeded, drops the checkpoint and the older half of the records. */
  addRecord(record: ContractRecord): void
  /**
   * Lists the records from an offset on, as many as fit into one message; the peer requests the rest. When records from
   * that offset are no longer kept, the checkpoint comes first, and the list is empty if there is none.
   */
  listRecords(from: Offset): ContractRecord[]
  findRecord(offset: Offset): ContractRecord | undefined
  /** Keeps the checkpoint and drops the records that it covers; no effect if records after it have been dropped already. */
  setBase(checkpoint: Checkpoint): void
  getBase(): Checkpoint | undefined
  /** Returns the offset from which on every record is kept. */
  getStart(): Offset
  /** Drops everything; the records added next are those from `start` on. */
  reset(start: Offset): void
}

/** Maximum size of the kept records. Beyond it the oldest are dropped, and peers cannot start from this process. */
const MAX_TAIL_BYTES = 16_777_216
/** Maximum size of the records in one message to a peer, not counting a checkpoint. */
const MAX_MESSAGE_BYTES = 1_048_576

/** Returns the index of the first record at or after an offset. */
function findIndex (records: readonly ContractRecord[], offset: Offset): number {
  let low = 0
  let high = records.length
  while (low < high) {
    const middle = (low + high) >> 1
    const record = records[middle]
    if (record && record.offset < offset) low = middle + 1
    else high = middle
  }
  return low
}

/** Returns the records from an index on that fit into one message, at least one. */
function takeMessage (records: readonly ContractRecord[], from: number): ContractRecord[] {
  let size = 0
  const end = records.findIndex((record, index) => {
    if (index < from) return false
    size += record.data.length
    return size > MAX_MESSAGE_BYTES && index > from
  })
  return records.slice(from, end < 0 ? undefined : end)
}

/** Creates an empty tail that begins at the start of the stream. */
export function createContractTail (): ContractTail {
  let records: ContractRecord[] = []
  let base: Checkpoint | undefined
  let start = toBrand<Offset>(0)
  let size = 0

  const dropBelow = (offset: Offset): void => {
    const dropped = records.splice(0, findIndex(records, offset))
    for (const { data } of dropped) size -= data.length
    start = offset
  }

  const dropOldestHalf = (): void => {
    base = undefined
    const middle = records[records.length >> 1]
    if (middle) dropBelow(middle.offset)
  }

  return {
    addRecord (record) {
      records.push(record)
      size += record.data.length
      if (size > MAX_TAIL_BYTES && records.length > 1) dropOldestHalf()
    },
    listRecords (from) {
      if (from >= start) return takeMessage(records, findIndex(records, from))
      return base ? [...base.records, ...takeMessage(records, 0)] : []
    },
    findRecord (offset) {
      const record = records[findIndex(records, offset)]
      return record?.offset === offset ? record : undefined
    },
    setBase (checkpoint) {
      if (checkpoint.coversTo < start) return
      base = checkpoint
      dropBelow(checkpoint.coversTo)
    },
    getBase: () => base,
    getStart: () => start,
    reset (offset) {
      records = []
      base = undefined
      start = offset
      size = 0
    }
  }
}
