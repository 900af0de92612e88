/**
 * The log of the platform's store, in memory: keyed topics with conditional appends, fenced producers, trimming and
 * compaction.
 */

const LENGTH_BYTES = 4

/** A record of a topic; `data` holds its key and value as stored. */
export interface StoredRecord { offset: number, data: Buffer }

/** The conditions of an append. */
export interface AppendOptions {
  /** The append is rejected unless the topic ends at this offset. */
  expectedEnd?: number
  /** Fences out older epochs, and makes a repeated sequence number return the stored result. */
  producer?: { name: string, epoch: number, sequence: number }
}

/** The outcome of an append: where it went, or why it was rejected. */
export type AppendResult =
  | { type: 'appended', offset: number, end: number }
  | { type: 'wrong-end', end: number }
  | { type: 'fenced' }
  | { type: 'wrong-sequence', expected: number }

interface Producer { epoch: number, sequence: number, results: Map<number, AppendResult> }

/** A topic of keyed records. */
export interface PlatformTopic {
  append(records: readonly Buffer[], options?: AppendOptions): AppendResult
  /** Lists records from an offset on; returns undefined when the offset is before the first record that is kept, or after the end. */
  listFrom(from: number): StoredRecord[] | undefined
  /** Lists the newest record of each key, sorted by key. */
  listNewest(): { key: string, value: Buffer, offset: number }[]
  /** Drops the records before an offset; `listNewest` still returns the newest record of each key. */
  trim(before: number): void
  /** Returns a copy of the topic as it is. */
  copy(): PlatformTopic
  /** Returns the offset of the next record to be appended. */
  getEnd(): number
  /** Returns the offset of the first record that is kept. */
  getFirst(): number
}

/** Splits the body of an append into its records, each preceded by its length. */
export function splitRecords (body: Buffer): Buffer[] {
  const records: Buffer[] = []
  for (let at = 0; at + LENGTH_BYTES <= body.length;) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at)
    records.push(body.subarray(at + LENGTH_BYTES, end))
    at = end
  }
  return records
}

function decodeKeyed (data: Buffer): { key: string, value: Buffer } {
  const keyEnd = 1 + (data[0] ?? 0)
  return { key: data.subarray(1, keyEnd).toString('utf8'), value: data.subarray(keyEnd) }
}

const MAX_STORED_RESULTS = 5

/** What a topic holds. */
interface TopicContent {
  records: StoredRecord[]
  first: number
  end: number
  newest: Map<string, { value: Buffer, offset: number }>
}

/** Creates a topic, empty by default. */
export function createPlatformTopic (content: TopicContent = { records: [], first: 0, end: 0, newest: new Map() }): PlatformTopic {
  const { newest } = content
  let { records, first, end } = content
  const producers = new Map<string, Producer>()

  /** Returns the result if the producer's epoch and sequence already decide it; undefined when the records are to be appended. */
  const checkProducer = ({ name, epoch, sequence }: NonNullable<AppendOptions['producer']>): AppendResult | undefined => {
    const known = producers.get(name)
    if (!known || epoch > known.epoch) {
      producers.set(name, { epoch, sequence: sequence - 1, results: new Map() })
      return undefined
    }
    if (epoch < known.epoch) return { type: 'fenced' }
    const stored = known.results.get(sequence)
    if (stored) return stored
    return sequence === known.sequence + 1 ? undefined : { type: 'wrong-sequence', expected: known.sequence + 1 }
  }
  const recordResult = (name: string, sequence: number, result: AppendResult): void => {
    const known = producers.get(name)
    if (!known) return
    known.sequence = sequence
    known.results.set(sequence, result)
    for (const old of known.results.keys()) if (old <= sequence - MAX_STORED_RESULTS) known.results.delete(old)
  }
  const addRecord = (data: Buffer): void => {
    records.push({ offset: end, data })
    const { key, value } = decodeKeyed(data)
    if (value.length > 0) newest.set(key, { value, offset: end })
    else newest.delete(key)
    end += 1
  }
  return {
    append (added, { expectedEnd, producer } = {}) {
      if (expectedEnd !== undefined && expectedEnd !== end) return { type: 'wrong-end', end }
      const decided = producer && checkProducer(producer)
      if (decided) return decided
      const offset = end
      for (const data of added) addRecord(data)
      const result: AppendResult = { type: 'appended', offset, end }
      if (producer) recordResult(producer.name, producer.sequence, result)
      return result
    },
    listFrom: (from) => from < first || from > end ? undefined : records.filter((record) => record.offset >= from),
    listNewest: () => [...newest].map(([key, { value, offset }]) => ({ key, value, offset })).sort((a, b) => a.key < b.key ? -1 : 1),
    trim (before) {
      first = Math.max(first, Math.min(before, end))
      records = records.filter((record) => record.offset >= first)
    },
    copy: () => createPlatformTopic({ records: [...records], first, end, newest: new Map(newest) }),
    getEnd: () => end,
    getFirst: () => first
  }
}
