/**
 * The task that reads one claim stream and keeps its state.
 */
import { toBrand } from '../../types.ts'
import type { Offset } from '../../types.ts'
import type { LogPage } from '../log-client.ts'
import type { ClaimDecision, ClaimIndex, IndexSnapshot } from './claim-index.ts'
import { loadClaimState } from './claim-loader.ts'
import { decodeClaimRecord } from './claim-record.ts'
import type { ClaimRecord } from './claim-record.ts'
import type { ClaimStreamOptions } from './claim-stream.ts'

const FIRST_BACKOFF_MS = 20
const LONGEST_BACKOFF_MS = 1_000
const LARGEST_DOUBLINGS = 6
const PAGE_LIMIT = 200

/** Options of a reader. */
export interface ClaimReaderOptions extends ClaimStreamOptions {
  /** How long a read waits for new records, in ms. */
  pollMs: number
  /** Gets each record that counts, with what its claims came to. */
  handleRecord: (record: ClaimRecord, decisions: ClaimDecision[]) => void
  /** Tells of a record that all readers skip. */
  handleSkipped: (offset: Offset) => void
  /** Tells that records have aged out unread and the state is forgotten. */
  handleGap: () => void
  /** Waits before the stream is looked at again that no checkpoint covers. */
  waitForCheckpoint: (signal: AbortSignal) => Promise<void>
}

/** How far a reader is. `unproven`: keys in their window may have aged out unread. */
export type ReaderState = 'loading' | 'unproven' | 'ready'

/** The state of one claim stream as read so far. */
export interface ClaimReader {
  getState(): ReaderState
  /** The state; undefined until it is known in full. */
  getIndex(): ClaimIndex | undefined
  /** Copies the state; undefined until it is known in full. */
  buildSnapshot(): IndexSnapshot | undefined
  /** Reads that failed since the last good one. */
  countFailures(): number
  countSkipped(): number
  /** Resolves when the stream has been read as far as it went at the start, or the reader is closed. */
  waitUntilReady(): Promise<void>
  close(): Promise<void>
}

interface Reading {
  index: ClaimIndex | undefined
  position: Offset
  state: ReaderState
  failures: number
  skipped: number
}

/** Applies a page in offset order; records that came twice are passed over. */
function applyPage (reading: Reading, page: LogPage, options: ClaimReaderOptions): void {
  for (const { offset, appendedAtMs, data } of page.records) {
    if (offset < reading.position || !reading.index) continue
    reading.position = toBrand<Offset>(offset + 1)
    const record = decodeClaimRecord(data)
    if (record) {
      options.handleRecord(record, reading.index.applyRecord(record, appendedAtMs))
    } else {
      reading.skipped += 1
      options.handleSkipped(offset)
    }
  }
  reading.position = toBrand<Offset>(Math.max(reading.position, page.nextOffset))
}

/** Creates a reader and starts its task. */
export function createClaimReader (options: ClaimReaderOptions): ClaimReader {
  const { log, clock, stream, random, pollMs } = options
  const stop = new AbortController()
  const reading: Reading = { index: undefined, position: toBrand<Offset>(0), state: 'loading', failures: 0, skipped: 0 }
  let readyWaiters: (() => void)[] = []

  const releaseReadyWaiters = (): void => {
    for (const resolve of readyWaiters) resolve()
    readyWaiters = []
  }
  const waitAfterFailure = async (): Promise<void> => {
    const backoffMs = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(reading.failures, LARGEST_DOUBLINGS))
    reading.failures += 1
    await clock.wait(backoffMs * (1 + random()) / 2, stop.signal)
  }
  const load = async (): Promise<void> => {
    const loaded = await loadClaimState(log, stream)
    if (loaded.isErr()) return waitAfterFailure()
    reading.failures = 0
    if (loaded.value.kind === 'loaded') {
      Object.assign(reading, loaded.value.state, { state: 'loading' })
      return
    }
    reading.state = 'unproven'
    await options.waitForCheckpoint(stop.signal)
  }
  const readOnce = async (): Promise<void> => {
    const waitMs = reading.state === 'ready' ? pollMs : 0
    const page = await log.read(stream, reading.position, { limit: PAGE_LIMIT, waitMs, signal: stop.signal })
    if (stop.signal.aborted) return
    if (page.isErr()) {
      if (page.error.kind === 'log-gap') {
        Object.assign(reading, { index: undefined, state: 'loading' })
        options.handleGap()
      }
      return waitAfterFailure()
    }
    reading.failures = 0
    applyPage(reading, page.value, options)
    if (reading.position < page.value.bounds.next) return
    reading.state = 'ready'
    releaseReadyWaiters()
  }
  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) await (reading.index ? readOnce() : load())
  }
  const running = run()
  return {
    getState: () => reading.state,
    getIndex: () => reading.index,
    buildSnapshot: () => (reading.state === 'ready' ? reading.index?.buildSnapshot(reading.position) : undefined),
    countFailures: () => reading.failures,
    countSkipped: () => reading.skipped,
    waitUntilReady: () => (reading.state === 'ready' ? Promise.resolve() : new Promise((resolve) => readyWaiters.push(resolve))),
    async close () {
      stop.abort()
      releaseReadyWaiters()
      await running
    }
  }
}
