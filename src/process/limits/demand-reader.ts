/**
 * Reads the `demand` stream and passes each grant window to the grant holder. One task for the process.
 */
import type { Clock } from '../../clock.ts'
import { toBrand } from '../../types.ts'
import type { Offset } from '../../types.ts'
import type { LogClient, LogPage } from '../log-client.ts'
import { decodeDemandRecord } from './demand-record.ts'
import { createGrantFold } from './grant-fold.ts'
import type { GrantFold } from './grant-fold.ts'
import type { GrantHolder } from './grant-holder.ts'
import { DEMAND_STREAM } from './granted-limiter.ts'
import type { LimiterLogger } from './granted-limiter.ts'

/** Options of a reader; times in ms. */
export interface DemandReaderOptions {
  clock: Clock
  log: LogClient
  holder: GrantHolder
  signal: AbortSignal
  windowMs: number
  logger: LimiterLogger | undefined
  readWaitMs: number
}

/** The reader of the stream. */
export interface DemandReader {
  /** Reads until the signal aborts. */
  runTask(): Promise<void>
  /** Returns the fold of the records read; undefined until the stream's bounds are known. */
  getFold(): GrantFold | undefined
  /** Returns whether all records that the log held at the last read have been folded. */
  isCaughtUp(): boolean
  /**
   * Records that an append of this process was sent at `sentMs` and got `offset`. A window that this record opens was
   * certainly opened after `sentMs`, which lets its grants last longer.
   */
  addOwnAppend(offset: Offset, sentMs: number): void
  report(): { reads: number, skippedRecords: number, mismatches: number }
}

/** A reader begins this many records before the end of the stream. */
const TAIL_RECORD_COUNT = 500
const RETRY_MS = 250
/** How long a read waits at the log while the next window is due, in ms. */
const DUE_WAIT_MS = 20
/** The next window is due while the age of the present one is between these two shares of a window's length. */
const DUE_AFTER_SHARE = 0.95
const DUE_UNTIL_SHARE = 1.2
/** A reader that has found no window within this time starts again, in ms. */
const NO_WINDOW_RESTART_MS = 60_000

interface ReaderState {
  fold: GrantFold | undefined
  next: Offset
  /** When the last read that reached the end of the stream was sent; later records were appended after this time. */
  endSeenAtMs: number
  isCaughtUp: boolean
  startedAtMs: number
  ownAppends: Map<Offset, number>
  reads: number
  skippedRecords: number
}

/** Starts a new fold near the end of the stream, or at its start if it is short. Returns false if the log is unavailable. */
async function startFold (state: ReaderState, options: DemandReaderOptions): Promise<boolean> {
  const bounds = await options.log.readBounds(DEMAND_STREAM)
  if (bounds.isErr()) return false
  const { earliest, next } = bounds.value
  const isMissingWindow = state.fold !== undefined && state.fold.getWindow() === undefined
  // The tail did not determine a window, so the whole stream is read.
  const from = isMissingWindow ? earliest : toBrand<Offset>(Math.max(earliest, next - TAIL_RECORD_COUNT))
  state.fold = createGrantFold(from, from === earliest)
  state.next = from
  state.endSeenAtMs = -Infinity
  state.isCaughtUp = false
  state.startedAtMs = options.clock.monotonicMs()
  return true
}

function applyPage (state: ReaderState, options: DemandReaderOptions, page: LogPage): void {
  for (const { offset, data } of page.records) {
    const record = decodeDemandRecord(data)
    if (record.isErr()) {
      state.skippedRecords += 1
      options.logger?.warn(`limits: skipped record ${offset}: ${record.error.message}`)
      continue
    }
    const window = state.fold?.addRecord(offset, record.value)
    const sentMs = state.ownAppends.get(offset) ?? -Infinity
    if (window) options.holder.setWindow(window, Math.max(state.endSeenAtMs, sentMs))
    state.ownAppends.delete(offset)
  }
  state.next = page.nextOffset
}

/**
 * Returns how long the next read may wait at the log, in ms. A window counts as opened when the read before it was sent,
 * so shorter waits date it more precisely. They are short while grants are in use, and shortest when a window is due.
 */
function chooseWaitMs (holder: GrantHolder, clock: Clock, windowMs: number, readWaitMs: number): number {
  const ageMs = clock.monotonicMs() - (holder.getReadAtMs() ?? -Infinity)
  if (ageMs > windowMs * DUE_AFTER_SHARE && ageMs < windowMs * DUE_UNTIL_SHARE) return DUE_WAIT_MS
  return holder.isActive() ? readWaitMs : RETRY_MS
}

/** Reads one page. Returns false if reading must start again. */
async function readPage (state: ReaderState, options: DemandReaderOptions): Promise<boolean> {
  const { clock, log, holder, signal, readWaitMs } = options
  const sentMs = clock.monotonicMs()
  const waitMs = chooseWaitMs(holder, clock, options.windowMs, readWaitMs)
  const page = await log.read(DEMAND_STREAM, state.next, { waitMs, signal })
  state.reads += 1
  if (page.isErr()) {
    if (page.error.kind === 'log-gap') return false
    await clock.wait(RETRY_MS, signal)
    return true
  }
  applyPage(state, options, page.value)
  state.isCaughtUp = page.value.nextOffset >= page.value.bounds.next
  if (state.isCaughtUp) state.endSeenAtMs = sentMs
  if (page.value.records.length === 0) await clock.wait(1, signal)
  const isSynced = state.fold?.getWindow() !== undefined || state.fold?.canStartStream() === true
  return isSynced || clock.monotonicMs() - state.startedAtMs < NO_WINDOW_RESTART_MS
}

/** Creates a reader. It does nothing before `runTask`. */
export function createDemandReader (options: DemandReaderOptions): DemandReader {
  const { clock, signal } = options
  const state: ReaderState = {
    fold: undefined,
    next: toBrand<Offset>(0),
    endSeenAtMs: -Infinity,
    isCaughtUp: false,
    startedAtMs: 0,
    ownAppends: new Map(),
    reads: 0,
    skippedRecords: 0
  }
  return {
    async runTask () {
      while (!signal.aborted) {
        if (!await startFold(state, options)) {
          await clock.wait(RETRY_MS, signal)
          continue
        }
        while (!signal.aborted && await readPage(state, options));
      }
    },
    getFold: () => state.fold,
    isCaughtUp: () => state.isCaughtUp,
    addOwnAppend (offset, sentMs) {
      if (offset >= state.next) state.ownAppends.set(offset, sentMs)
    },
    report: () => ({ reads: state.reads, skippedRecords: state.skippedRecords, mismatches: state.fold?.countMismatches() ?? 0 })
  }
}
