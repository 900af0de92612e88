/**
 * Follows one claim stream and keeps its state.
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
const MAX_BACKOFF_MS = 1_000
const MAX_DOUBLINGS = 6
const PAGE_LIMIT = 200
const FIRST_REQUEST_INTERVAL_MS = 2_000
const MAX_REQUEST_INTERVAL_MS = 60_000

/** Options for a reader. */
export interface ClaimReaderOptions extends ClaimStreamOptions {
  /** Long-poll time of a read, in ms. */
  pollMs: number
  /** Upper bound of every contract's claim window, in ms. */
  maxWindowMs: number
  /** Called with each valid record and the decisions on its claims. */
  handleRecord: (record: ClaimRecord, decisions: ClaimDecision[]) => void
  /** Called with the offset of each record that is malformed, oversized or unknown; all readers skip it. */
  handleSkipped: (offset: Offset) => void
  /** Called before the state is loaded again. */
  handleReload: () => void
  /** Requests a checkpoint from the other processes. */
  requestCheckpoint: () => Promise<void>
}

/**
 * The progress of a reader. `loading`: it has not caught up. `unproven`: it has caught up, but claims that are still
 * in effect may have been removed by retention before it read them. `ready`: its state is complete.
 */
export type ReaderState = 'loading' | 'unproven' | 'ready'

/** The state of one claim stream as read so far. */
export interface ClaimReader {
  getState(): ReaderState
  /** Returns the state as read so far; undefined before the first load and after a gap. */
  getIndex(): ClaimIndex | undefined
  /** Copies the state; undefined unless the reader is `ready`. */
  buildSnapshot(): IndexSnapshot | undefined
  /** Counts consecutive failed reads. */
  countFailures(): number
  /** Counts records skipped as malformed, oversized or unknown. */
  countSkipped(): number
  /** Resolves when the reader is `ready` or closed. */
  waitUntilReady(): Promise<void>
  close(): Promise<void>
}

interface Reading {
  index: ClaimIndex | undefined
  position: Offset
  isCaughtUp: boolean
  /** Whether a checkpoint part was read since the last attempt to load a complete state. */
  hasCheckpoint: boolean
  /** When the next checkpoint may be requested, in ms of the monotonic clock. */
  nextRequestMs: number
  /** Checkpoint requests since the start. */
  requests: number
  failures: number
  skipped: number
}

function createReading (): Reading {
  return { index: undefined, position: toBrand<Offset>(0), isCaughtUp: false, hasCheckpoint: false, nextRequestMs: 0, requests: 0, failures: 0, skipped: 0 }
}

/** Applies a page in offset order; records below the position were already applied and are skipped. */
function applyPage (reading: Reading, page: LogPage, options: ClaimReaderOptions): void {
  for (const { offset, appendedAtMs, data } of page.records) {
    if (offset < reading.position || !reading.index) continue
    reading.position = toBrand<Offset>(offset + 1)
    const record = decodeClaimRecord(data)
    if (record) {
      if (record.type === 'checkpoint') reading.hasCheckpoint = true
      options.handleRecord(record, reading.index.applyRecord(record, appendedAtMs))
    } else {
      reading.skipped += 1
      options.handleSkipped(offset)
    }
  }
  reading.position = toBrand<Offset>(Math.max(reading.position, page.nextOffset))
}

function getReaderState ({ index, isCaughtUp }: Reading): ReaderState {
  if (!index || !isCaughtUp) return 'loading'
  return index.isComplete() ? 'ready' : 'unproven'
}

function computeRequestIntervalMs (requests: number): number {
  return Math.min(MAX_REQUEST_INTERVAL_MS, FIRST_REQUEST_INTERVAL_MS * 2 ** Math.min(requests, MAX_DOUBLINGS))
}

function computeBackoffMs (failures: number): number {
  return Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(failures, MAX_DOUBLINGS))
}

/** Loads the state and its position; returns false when the log cannot be read. */
async function loadState (reading: Reading, options: ClaimReaderOptions): Promise<boolean> {
  const loaded = await loadClaimState(options.log, options.stream, options.maxWindowMs)
  if (loaded.isErr()) return false
  // A partial state has read more than a new partial one would, so only a complete state replaces it.
  if (reading.index && !loaded.value.index.isComplete()) return true
  if (reading.index) options.handleReload()
  Object.assign(reading, loaded.value, { isCaughtUp: false, failures: 0 })
  return true
}

/** Loads a checkpoint that has appeared, or else requests one, while the state is incomplete. */
async function loadOrRequestCheckpoint (reading: Reading, options: ClaimReaderOptions): Promise<void> {
  const { clock, random } = options
  if (reading.hasCheckpoint) {
    reading.hasCheckpoint = false
    await loadState(reading, options)
    return
  }
  if (clock.monotonicMs() < reading.nextRequestMs) return
  reading.nextRequestMs = clock.monotonicMs() + computeRequestIntervalMs(reading.requests) * (1 + random()) / 2
  reading.requests += 1
  await options.requestCheckpoint()
}

/** Creates a reader and starts reading. */
export function createClaimReader (options: ClaimReaderOptions): ClaimReader {
  const { log, clock, stream, random, pollMs } = options
  const stop = new AbortController()
  const reading = createReading()
  const readyWaiters: (() => void)[] = []

  const releaseReadyWaiters = (): void => {
    for (const resolve of readyWaiters.splice(0)) resolve()
  }
  const waitAfterFailure = async (): Promise<void> => {
    const backoffMs = computeBackoffMs(reading.failures)
    reading.failures += 1
    await clock.wait(backoffMs * (1 + random()) / 2, stop.signal)
  }
  const loadOrWait = async (): Promise<void> => {
    if (!await loadState(reading, options)) await waitAfterFailure()
  }
  const readOnce = async (): Promise<void> => {
    // After a failure the next read does not wait for new records, so that claims are accepted as soon as the log works.
    const waitMs = reading.isCaughtUp && reading.failures === 0 ? pollMs : 0
    const page = await log.read(stream, reading.position, { limit: PAGE_LIMIT, waitMs, signal: stop.signal })
    if (stop.signal.aborted) return
    if (page.isErr()) {
      if (page.error.kind === 'log-gap') {
        reading.index = undefined
        options.handleReload()
      }
      return waitAfterFailure()
    }
    reading.failures = 0
    applyPage(reading, page.value, options)
    reading.isCaughtUp ||= reading.position >= page.value.bounds.next
    if (getReaderState(reading) === 'unproven') return loadOrRequestCheckpoint(reading, options)
    if (getReaderState(reading) === 'ready') releaseReadyWaiters()
  }
  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) await (reading.index ? readOnce() : loadOrWait())
  }
  const running = run()
  return {
    getState: () => getReaderState(reading),
    getIndex: () => reading.index,
    buildSnapshot: () => (getReaderState(reading) === 'ready' ? reading.index?.buildSnapshot(reading.position) : undefined),
    countFailures: () => reading.failures,
    countSkipped: () => reading.skipped,
    waitUntilReady: () => (getReaderState(reading) === 'ready' ? Promise.resolve() : new Promise((resolve) => readyWaiters.push(resolve))),
    async close () {
      stop.abort()
      releaseReadyWaiters()
      await running
    }
  }
}
