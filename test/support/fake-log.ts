/**
 * A log client in memory with the faults of the platform: outages, lost answers, late appends, held answers and gaps.
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
 * What the next append meets. `late-lost`: the answer is lost at once, the record lands when it is released.
 * `doubled`: the record lands twice.
 */
export type AppendFault = 'none' | 'refused' | 'answer-lost' | 'late-lost' | 'never-landed' | 'doubled'

/** A log in memory; each process under test has its own client of it. */
export interface FakeLog {
  store: LogStore
  /** Creates the client of one process; every answer waits at its gate, so that a frozen process stays at its await. */
  createClient(gate: ProcessGate): FakeLogClient
  /** Turns the whole log off or on. */
  setOutage(isOut: boolean): void
  /** Lands the oldest late record, if there is one. */
  releaseLateAppend(): boolean
  countLateAppends(): number
  /** Ages out the oldest records of every stream but the last `keep`. */
  dropOldest(streams: readonly StreamName[], keep: number): void
}

/** The log as one process sees it. */
export interface FakeLogClient extends LogClient {
  /** Sets what the next appends meet, in order. */
  addAppendFaults(...faults: AppendFault[]): void
  clearAppendFaults(): void
  countAppendFaults(): number
}

/** Options of a fake log. */
export interface FakeLogOptions {
  clock: Clock
  /** Store to use; a new one when left out. */
  store?: LogStore
}

type Answer<T> = Result<T, AppError>

/** Creates a log without records. */
export function createFakeLog (options: FakeLogOptions): FakeLog {
  const { clock, store = createLogStore(() => clock.wallMs()) } = options
  const lateAppends: (() => void)[] = []
  let isOut = false

  const buildOutage = (): Answer<never> => err(createError('log-unavailable', 'The fake log is out.'))
  const appendWithFault = (stream: StreamName, data: Uint8Array, fault: AppendFault): Answer<Offset> => {
    const unknown: Answer<never> = err(createError('log-unknown', 'The answer was lost.'))
    switch (fault) {
      case 'refused': return buildOutage()
      case 'never-landed': return unknown
      case 'late-lost':
        lateAppends.push(() => store.appendRecord(stream, data))
        return unknown
      case 'answer-lost':
        store.appendRecord(stream, data)
        return unknown
      case 'doubled':
        store.appendRecord(stream, data)
        return ok(store.appendRecord(stream, data))
      case 'none': return ok(store.appendRecord(stream, data))
    }
  }
  const readNow = (stream: StreamName, from: Offset, limit?: number): Answer<LogPage> => {
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
        await gate.waitForTurn()
        const result = isOut ? buildOutage() : appendWithFault(stream, data, faults.shift() ?? 'none')
        await gate.waitForTurn()
        return result
      },
      async read (stream, from, { limit, waitMs = 0, signal } = {}) {
        await gate.waitForTurn()
        let page = isOut ? buildOutage() : readNow(stream, from, limit)
        if (page.isOk() && page.value.records.length === 0 && waitMs > 0 && !signal?.aborted) {
          await waitForRecord(stream, waitMs, signal)
          page = isOut ? buildOutage() : readNow(stream, from, limit)
        }
        await gate.waitForTurn()
        return page
      },
      async readBounds (stream) {
        await gate.waitForTurn()
        const bounds = isOut ? buildOutage() : ok(store.readBounds(stream))
        await gate.waitForTurn()
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
      const late = lateAppends.shift()
      late?.()
      return late !== undefined
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
