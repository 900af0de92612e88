/**
 * The memory of the log stand-in: streams of records with offsets and retention. Tests use it directly.
 */
import type { LogBounds, LogPage, LogRecord } from '../src/process/log-client.ts'
import { toBrand } from '../src/types.ts'
import type { Offset, StreamName } from '../src/types.ts'

const DEFAULT_READ_LIMIT = 500

/** Streams of records, held in memory. */
export interface LogStore {
  /** Appends a record and returns its offset. */
  appendRecord(stream: StreamName, data: Uint8Array): Offset
  /** Reads from an offset; undefined when records from that offset have aged out. */
  readRecords(stream: StreamName, from: Offset, limit?: number): LogPage | undefined
  readBounds(stream: StreamName): LogBounds
  /** Drops all records of a stream below an offset. */
  dropBefore(stream: StreamName, offset: Offset): void
  /** Drops the records that were appended before an instant, in every stream. */
  dropOlderThan(wallMs: number): void
  /** Calls `action` once when the stream next grows. */
  watchNextAppend(stream: StreamName, action: () => void): void
}

interface Stream { records: LogRecord[], next: number, watchers: (() => void)[] }

/** Creates an empty store; `nowMs` gives the wall time of appends. */
export function createLogStore (nowMs: () => number): LogStore {
  const streams = new Map<StreamName, Stream>()
  const getStream = (name: StreamName): Stream => {
    const found = streams.get(name)
    if (found) return found
    const created: Stream = { records: [], next: 0, watchers: [] }
    streams.set(name, created)
    return created
  }
  const getBounds = (stream: Stream): LogBounds => {
    const next = toBrand<Offset>(stream.next)
    return { earliest: stream.records[0]?.offset ?? next, next }
  }
  return {
    appendRecord (name, data) {
      const stream = getStream(name)
      const offset = toBrand<Offset>(stream.next)
      stream.next += 1
      stream.records.push({ offset, appendedAtMs: nowMs(), data: Uint8Array.from(data) })
      const watchers = stream.watchers
      stream.watchers = []
      for (const notify of watchers) notify()
      return offset
    },
    readRecords (name, from, limit = DEFAULT_READ_LIMIT) {
      const stream = getStream(name)
      const bounds = getBounds(stream)
      if (from < bounds.earliest) return undefined
      const start = Math.min(stream.records.length, from - bounds.earliest)
      const records = stream.records.slice(start, start + limit)
      const last = records.at(-1)
      const nextOffset = last ? toBrand<Offset>(last.offset + 1) : from
      return { records, nextOffset, bounds }
    },
    readBounds: (name) => getBounds(getStream(name)),
    dropBefore (name, offset) {
      const stream = getStream(name)
      stream.records = stream.records.filter((record) => record.offset >= offset)
    },
    dropOlderThan (wallMs) {
      for (const stream of streams.values()) {
        stream.records = stream.records.filter((record) => record.appendedAtMs >= wallMs)
      }
    },
    watchNextAppend (name, action) {
      getStream(name).watchers.push(action)
    }
  }
}
