/**
 * The records of the log stand-in, in memory: streams with offsets and retention. Tests also use it without the server.
 */
import type { LogBounds, LogPage, LogRecord } from '../src/process/log-client.ts'
import { toBrand } from '../src/types.ts'
import type { Offset, StreamName } from '../src/types.ts'

const DEFAULT_READ_LIMIT = 500

/** Streams of records, held in memory. */
export interface LogStore {
  /** Appends a record and returns its offset. */
  appendRecord(stream: StreamName, data: Uint8Array): Offset
  /** Reads records from an offset on; returns undefined when the record at that offset has been dropped. */
  readRecords(stream: StreamName, from: Offset, limit?: number): LogPage | undefined
  /** Returns the earliest offset that is kept and the next one to be appended. */
  readBounds(stream: StreamName): LogBounds
  /** Drops all records of a stream below an offset. */
  dropBefore(stream: StreamName, offset: Offset): void
  /** Drops the records of every stream that were appended before a wall time, in ms since 1970. */
  dropOlderThan(wallMs: number): void
  /** Calls `action` once, at the next append to the stream. */
  watchNextAppend(stream: StreamName, action: () => void): void
}

interface Stream { records: LogRecord[], next: number, watchers: (() => void)[] }

/** Creates an empty store; `nowMs` returns the wall time to record with each append. */
export function createLogStore (nowMs: () => number): LogStore {
  const streams = new Map<StreamName, Stream>()
  const getStream = (name: StreamName): Stream => {
    const known = streams.get(name)
    if (known) return known
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
