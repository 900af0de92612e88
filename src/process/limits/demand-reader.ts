/**
 * Reads the `demand` stream and hands each window to the holder of grants. One task for the process.
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

/** How to create a reader; times in ms. */
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
  /** Undefined until the stream's bounds are known. */
  getFold(): GrantFold | undefined
  /** Whether everything that the log held at the last read has been folded. */
  isCaughtUp(): boolean
  /** Tells that an append of this process began at `sentMs` and got `offset`; dates windows it opens more tightly. */
  addOwnAppend(offset: Offset, sentMs: number): void
  report(): { reads: number, skippedRecords: number, mismatches: number }
}

/** Records before the end of the stream from which a reader begins. */
const TAIL_RECORD_COUNT = 500
const RETRY_MS = 250
/** How long a read waits around the time when the next window is due, in ms, and when that is, in windows. */
const DUE_WAIT_MS = 20
const DUE_AFTER_SHARE = 0.95
const DUE_UNTIL_SHARE = 1.2
/** A reader that knows no window by then begins again, in ms. */
const NO_WINDOW_RESTART_MS = 60_000

interface ReaderState {
  fold: GrantFold | undefined
  next: Offset
  /** When the last read that reached the end of the stream was sent; later records were appended after it. */
  endSeenAtMs: number
  isCaughtUp: boolean
  startedAtMs: number
  ownAppends: Map<Offset, number>
  reads: number
  skippedRecords: number
}

/** Finds the ends of the stream and starts to fold near its end, or at its start when it is short. */
async function startFold (state: ReaderState, options: DemandReaderOptions): Promise<boolean> {
  const bounds = await options.log.readBounds(DEMAND_STREAM)
  if (bounds.isErr()) return false
  const { earliest, next } = bounds.value
  const isMissingWindow = state.fold !== undefined && state.fold.getWindow() === undefined
  // A tail in which no window could be told for certain is not enough.
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

/** Short waits while grants are in use, and the shortest when the next window is due, date that window tightly. */
function chooseWaitMs (holder: GrantHolder, clock: Clock, windowMs: number, readWaitMs: number): number {
  const ageMs = clock.monotonicMs() - (holder.getReadMs() ?? -Infinity)
  if (ageMs > windowMs * DUE_AFTER_SHARE && ageMs < windowMs * DUE_UNTIL_SHARE) return DUE_WAIT_MS
  return holder.isActive() ? readWaitMs : RETRY_MS
}

/** Reads one page. False when reading must begin again. */
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
  const hasWindow = state.fold?.getWindow() !== undefined || state.fold?.canStartStream() === true
  return hasWindow || clock.monotonicMs() - state.startedAtMs < NO_WINDOW_RESTART_MS
}

/** Creates a reader; it does nothing before `runTask`. */
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
