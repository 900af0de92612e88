/**
 * The log of the platform's store, in memory: keyed topics, conditions, producers, trimming and compaction.
 */

const LENGTH_BYTES = 4

/** One record. */
export interface StoredRecord { offset: number, data: Buffer }

/** How to append. */
export interface AppendOptions {
  /** The append is refused unless the topic ends at this offset. */
  expectedEnd?: number
  producer?: { name: string, epoch: number, sequence: number }
}

/** What became of an append. */
export type AppendResult =
  | { type: 'appended', offset: number, end: number }
  | { type: 'wrong-end', end: number }
  | { type: 'fenced' }
  | { type: 'wrong-sequence', expected: number }

interface Producer { epoch: number, sequence: number, results: Map<number, AppendResult> }

/** One topic. */
export interface PlatformTopic {
  append(records: readonly Buffer[], options?: AppendOptions): AppendResult
  /** Lists records from an offset on; undefined when they are no longer kept. */
  listFrom(from: number): StoredRecord[] | undefined
  /** Lists the newest record of each key, in the order of keys. */
  listNewest(): { key: string, value: Buffer, offset: number }[]
  /** Drops records before an offset; the newest of each key stay readable by `listNewest`. */
  trim(before: number): void
  getEnd(): number
  getFirst(): number
}

/** Cuts a body into records. */
export function splitRecords (body: Buffer): Buffer[] {
  const records: Buffer[] = []
  for (let at = 0; at + LENGTH_BYTES <= body.length;) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at)
    records.push(body.subarray(at + LENGTH_BYTES, end))
    at = end
  }
  return records
}

function splitKeyed (data: Buffer): { key: string, value: Buffer } {
  const keyEnd = 1 + (data[0] ?? 0)
  return { key: data.subarray(1, keyEnd).toString('utf8'), value: data.subarray(keyEnd) }
}

const KEPT_RESULTS = 5

/** Creates an empty topic. */
export function createPlatformTopic (): PlatformTopic {
  let records: StoredRecord[] = []
  let first = 0
  let end = 0
  const newest = new Map<string, { value: Buffer, offset: number }>()
  const producers = new Map<string, Producer>()

  const checkProducer = ({ name, epoch, sequence }: NonNullable<AppendOptions['producer']>): AppendResult | undefined => {
    const known = producers.get(name)
    if (!known || epoch > known.epoch) {
      producers.set(name, { epoch, sequence: sequence - 1, results: new Map() })
      return undefined
    }
    if (epoch < known.epoch) return { type: 'fenced' }
    const repeated = known.results.get(sequence)
    if (repeated) return repeated
    return sequence === known.sequence + 1 ? undefined : { type: 'wrong-sequence', expected: known.sequence + 1 }
  }
  const recordResult = (name: string, sequence: number, result: AppendResult): void => {
    const known = producers.get(name)
    if (!known) return
    known.sequence = sequence
    known.results.set(sequence, result)
    for (const old of known.results.keys()) if (old <= sequence - KEPT_RESULTS) known.results.delete(old)
  }
  const addRecord = (data: Buffer): void => {
    records.push({ offset: end, data })
    const { key, value } = splitKeyed(data)
    if (value.length > 0) newest.set(key, { value, offset: end })
    else newest.delete(key)
    end += 1
  }
  return {
    append (added, { expectedEnd, producer } = {}) {
      if (expectedEnd !== undefined && expectedEnd !== end) return { type: 'wrong-end', end }
      const refused = producer && checkProducer(producer)
      if (refused) return refused
      const offset = end
      for (const data of added) addRecord(data)
      const result: AppendResult = { type: 'appended', offset, end }
      if (producer) recordResult(producer.name, producer.sequence, result)
      return result
    },
    listFrom: (from) => from < first ? undefined : records.filter((record) => record.offset >= from),
    listNewest: () => [...newest].map(([key, { value, offset }]) => ({ key, value, offset })).sort((a, b) => a.key < b.key ? -1 : 1),
    trim (before) {
      first = Math.max(first, Math.min(before, end))
      records = records.filter((record) => record.offset >= first)
    },
    getEnd: () => end,
    getFirst: () => first
  }
}
