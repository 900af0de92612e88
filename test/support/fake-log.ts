/**
 * A log in memory, with clients that show the faults of the platform's log: outages, lost responses, late and duplicate
 * appends, delayed responses, and records dropped by retention.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../src/errors.ts'
import type { AppError } from '../../src/errors.ts'
import type { Clock } from '../../src/clock.ts'
import type { LogClient, LogPage } from '../../src/process/log-client.ts'
import type { Offset, StreamName } from '../../src/types.ts'
import { createLogStore } from '../../stand-ins/log-store.ts'
import type { ProcessGate } from './process-gate.ts'
import type { LogStore } from '../../stand-ins/log-store.ts'

/**
 * The fault of an append.
 * - `none`: the record is appended.
 * - `refused`: the log rejects the append with `log-unavailable`; no record is appended.
 * - `answer-lost`: the record is appended, but the response is lost (`log-unknown`).
 * - `late-lost`: the response is lost (`log-unknown`); the record is appended when `releaseLateAppend` is called.
 * - `never-landed`: the response is lost (`log-unknown`) and no record is appended.
 * - `doubled`: the record is appended twice.
 */
export type AppendFault = 'none' | 'refused' | 'answer-lost' | 'late-lost' | 'never-landed' | 'doubled'

/** A log in memory; each process under test has its own client of it. */
export interface FakeLog {
  store: LogStore
  /** Creates the client of one process; its responses wait at the process's gate, so that a paused process receives none. */
  createClient(gate: ProcessGate): FakeLogClient
  /** Makes the log unavailable to every client, or available again. */
  setOutage(isOut: boolean): void
  /** Appends the oldest late record; returns false when there is none. */
  releaseLateAppend(): boolean
  countLateAppends(): number
  /** Drops all records of the streams but the last `keep` of each, as the log's retention does. */
  dropOldest(streams: readonly StreamName[], keep: number): void
}

/** The log as one process sees it. */
export interface FakeLogClient extends LogClient {
  /** Adds the faults of the next appends, in order. */
  addAppendFaults(...faults: AppendFault[]): void
  clearAppendFaults(): void
  countAppendFaults(): number
}

/** Options of a fake log. */
export interface FakeLogOptions {
  clock: Clock
  /** The store of the records; an empty one by default. */
  store?: LogStore
}

type LogResult<T> = Result<T, AppError>

/** Creates a log without records. */
export function createFakeLog (options: FakeLogOptions): FakeLog {
  const { clock, store = createLogStore(() => clock.wallMs()) } = options
  const lateAppends: (() => void)[] = []
  let isOut = false

  const buildOutageError = (): LogResult<never> => err(createError('log-unavailable', 'The fake log is unavailable.'))
  const appendWithFault = (stream: StreamName, data: Uint8Array, fault: AppendFault): LogResult<Offset> => {
    const unknownResult: LogResult<never> = err(createError('log-unknown', 'The response was lost.'))
    switch (fault) {
      case 'refused': return buildOutageError()
      case 'never-landed': return unknownResult
      case 'late-lost':
        lateAppends.push(() => store.appendRecord(stream, data))
        return unknownResult
      case 'answer-lost':
        store.appendRecord(stream, data)
        return unknownResult
      case 'doubled':
        store.appendRecord(stream, data)
        return ok(store.appendRecord(stream, data))
      case 'none': return ok(store.appendRecord(stream, data))
    }
  }
  const readPage = (stream: StreamName, from: Offset, limit?: number): LogResult<LogPage> => {
    const page = store.readRecords(stream, from, limit)
    return page ? ok(page) : err(createError('log-gap', 'Records have aged out.'))
  }
  const waitForRecord = (stream: StreamName, waitMs: number, signal?: AbortSignal): Promise<void> => new Promise((resolve) => {
    const stopWaiting = (): void => {
      cancel()
      signal?.removeEventListener('abort', stopWaiting)
      resolve()
    }
    const cancel = clock.startTimer(waitMs, stopWaiting)
    store.watchNextAppend(stream, stopWaiting)
    signal?.addEventListener('abort', stopWaiting, { once: true })
  })

  const createClient = (gate: ProcessGate): FakeLogClient => {
    const faults: AppendFault[] = []
    return {
      async append (stream, data) {
        await gate.waitWhilePaused()
        const result = isOut ? buildOutageError() : appendWithFault(stream, data, faults.shift() ?? 'none')
        await gate.waitWhilePaused()
        return result
      },
      async read (stream, from, { limit, waitMs = 0, signal } = {}) {
        await gate.waitWhilePaused()
        let page = isOut ? buildOutageError() : readPage(stream, from, limit)
        if (page.isOk() && page.value.records.length === 0 && waitMs > 0 && !signal?.aborted) {
          await waitForRecord(stream, waitMs, signal)
          page = isOut ? buildOutageError() : readPage(stream, from, limit)
        }
        await gate.waitWhilePaused()
        return page
      },
      async readBounds (stream) {
        await gate.waitWhilePaused()
        const bounds = isOut ? buildOutageError() : ok(store.readBounds(stream))
        await gate.waitWhilePaused()
        return bounds
      },
      addAppendFaults: (...added) => { faults.push(...added) },
      clearAppendFaults: () => { faults.length = 0 },
      countAppendFaults: () => faults.length
    }
  }
  return {
    store,
    createClient,
    setOutage: (value) => { isOut = value },
    releaseLateAppend () {
      const lateAppend = lateAppends.shift()
      lateAppend?.()
      return lateAppend !== undefined
    },
    countLateAppends: () => lateAppends.length,
    dropOldest (streams, keep) {
      for (const stream of streams) {
        const { earliest, next } = store.readBounds(stream)
        store.dropBefore(stream, Math.max(earliest, next - keep) as Offset)
      }
    }
  }
}
