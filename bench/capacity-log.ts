/**
 * A log in memory without faults or delays, for the capacity bench.
 */
import { err, ok } from 'neverthrow'
import { createError } from '../src/errors.ts'
import type { LogClient } from '../src/process/log-client.ts'
import type { StreamName } from '../src/types.ts'
import { createLogStore } from '../stand-ins/log-store.ts'

/** A log client whose bytes are counted. */
export type MemoryLog = LogClient & {
  countBytes(): number
  /** Forgets every record, so that only the client's own state is left in memory. */
  dropAll(): void
}

/** Creates a log. */
export function createMemoryLog (): MemoryLog {
  const store = createLogStore(Date.now)
  const streams = new Set<StreamName>()
  let bytes = 0
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
      bytes += data.length
      return ok(store.appendRecord(stream, data))
    },
    async read (stream, from, options = {}) {
      if (store.readBounds(stream).next <= from) await waitForAppend(stream, options.waitMs ?? 0, options.signal)
      const page = store.readRecords(stream, from, options.limit)
      return page ? ok(page) : err(createError('log-gap', 'aged out'))
    },
    readBounds: async (stream) => ok(store.readBounds(stream)),
    countBytes: () => bytes,
    dropAll () {
      for (const stream of streams) store.dropBefore(stream, store.readBounds(stream).next)
    }
  }
}
