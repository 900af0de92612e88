/**
 * The ranges of records in which an entry that has read a topic sends what it read to the others.
 */
import type { KeyedRecord } from '../../platform/store-frames.ts'
import type { StoreEpoch } from '../../types.ts'

/** A range of records that one entry has read, for the entries that have read the topic up to `from`. */
export interface SharedRecordRange {
  topic: string
  /** Epoch to which the offsets belong. */
  epoch: StoreEpoch
  from: number
  /** Offset at which the next read continues. */
  next: number
  /** How long before the message the store held no record beyond `next`, in ms; left out when more records follow. */
  ageMs?: number
  /** Whether the reads of the sender failed shortly before; the store may have been unavailable. */
  isAfterOutage: boolean
  /** The records that the others may lack. A range that is too large to share has no records, and its `from` equals `next`. */
  records: readonly KeyedRecord[]
}

/** Bytes of records in one shared range. */
const MAX_SHARED_BYTES = 8_192
/** A larger record, or more bytes at once, is read by each entry itself, so that the link of the reader stays free. */
const MAX_SHARED_RECORD_BYTES = 24_576
const MAX_SHARED_TOTAL_BYTES = 65_536
/** What a removal, which has a key and no value, counts for, in bytes. */
const REMOVAL_BYTES = 64

function computeSizeBytes ({ value }: KeyedRecord): number {
  return value?.byteLength ?? REMOVAL_BYTES
}

/** Splits the records of a range into parts of at most `MAX_SHARED_BYTES`; a larger record is a part of its own. */
function splitRecords (records: readonly KeyedRecord[]): KeyedRecord[][] {
  const parts: KeyedRecord[][] = []
  let partBytes = Infinity
  for (const record of records) {
    const sizeBytes = computeSizeBytes(record)
    if (partBytes + sizeBytes > MAX_SHARED_BYTES) {
      parts.push([])
      partBytes = 0
    }
    parts.at(-1)!.push(record)
    partBytes += sizeBytes
  }
  return parts
}

/**
 * Converts a range to consecutive ranges that are small enough to send. Of one that is too large only its end is left, so
 * that entries which have not read that far read by themselves.
 */
export function toSharedRanges (range: SharedRecordRange): SharedRecordRange[] {
  const sizes = range.records.map(computeSizeBytes)
  const totalBytes = sizes.reduce((sum, size) => sum + size, 0)
  if (totalBytes > MAX_SHARED_TOTAL_BYTES || Math.max(0, ...sizes) > MAX_SHARED_RECORD_BYTES) return [{ ...range, from: range.next, records: [] }]
  const parts = splitRecords(range.records)
  if (parts.length <= 1) return [range]
  const { ageMs, ...common } = range
  return parts.map((records, index) => ({
    ...common,
    ...(index === parts.length - 1 && ageMs !== undefined ? { ageMs } : {}),
    from: index === 0 ? range.from : records[0]!.offset,
    next: parts[index + 1]?.[0]?.offset ?? range.next,
    records
  }))
}
