/**
 * An in-memory log without faults or delays, for the capacity bench.
 */
import { err, ok } from 'neverthrow'
import { createError } from '../src/errors.ts'
import type { LogClient } from '../src/process/log-client.ts'
import type { StreamName } from '../src/types.ts'
import { createLogStore } from '../stand-ins/log-store.ts'

/** A client of the in-memory log that counts the appended bytes. */
export type MemoryLog = LogClient & {
  /** Returns the number of bytes appended so far. */
  countBytes(): number
  /** Drops every record, so that only the state of the process under test is left in memory. */
  dropAll(): void
}

/** Creates an empty log. */
export function createMemoryLog (): MemoryLog {
  const store = createLogStore(Date.now)
  const streams = new Set<StreamName>()
  let byteCount = 0
  const waitForAppend = (stream: StreamName, waitMs: number, signal?: AbortSignal): Promise<void> => new Promise((resolve) => {
    const stopWaiting = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', stopWaiting)
      resolve()
    }
    const timer = setTimeout(stopWaiting, waitMs)
    store.watchNextAppend(stream, stopWaiting)
    signal?.addEventListener('abort', stopWaiting, { once: true })
  })
  return {
    async append (stream, data) {
      streams.add(stream)
      byteCount += data.length
      return ok(store.appendRecord(stream, data))
    },
    async read (stream, from, options = {}) {
      if (store.readBounds(stream).next <= from) await waitForAppend(stream, options.waitMs ?? 0, options.signal)
      const page = store.readRecords(stream, from, options.limit)
      return page ? ok(page) : err(createError('log-gap', 'the records at this offset were removed by retention'))
    },
    readBounds: async (stream) => ok(store.readBounds(stream)),
    countBytes: () => byteCount,
    dropAll () {
      for (const stream of streams) store.dropBefore(stream, store.readBounds(stream).next)
    }
  }
}
