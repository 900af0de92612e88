/**
 * Writes this entry's needs to the `demand` stream and opens grant windows when they are due. One task for the process.
 */
import type { Clock } from '../../clock.ts'
import type { CustomerId, EntryId, Incarnation } from '../../types.ts'
import type { Contract } from '../../version/contract.ts'
import type { LogClient } from '../log-client.ts'
import type { DemandMeter, DemandReading } from './demand-meter.ts'
import type { DemandReader } from './demand-reader.ts'
import { DEMAND_SCHEMA_VERSION, encodeDemandRecord, NO_WINDOW_OFFSET } from './demand-record.ts'
import type { CustomerNeed, DemandRecord, WindowOpening } from './demand-record.ts'
import { computePoolTerms } from './fixed-share.ts'
import { listPools } from './grant-fold.ts'
import type { GrantHolder } from './grant-holder.ts'
import { DEMAND_STREAM } from './granted-limiter.ts'
import type { EntryShare } from './local-customer-limiter.ts'

/** Options of a writer; times in ms. */
export interface DemandWriterOptions {
  clock: Clock
  log: LogClient
  entry: EntryId
  run: Incarnation
  windowMs: number
  tickMs: number
  holder: GrantHolder
  reader: DemandReader
  meter: DemandMeter
  signal: AbortSignal
  getFixedShare(contract: Contract): EntryShare
  getInProgress(customer: CustomerId): number
}

/** The writer of this entry's needs. */
export interface DemandWriter {
  /** Writes until the signal aborts. */
  runTask(): Promise<void>
  report(): { appends: number, failedAppends: number }
}

/** Needs are written this far into a window, plus a random delay up to the jitter; both as shares of a window. */
const REPORT_AFTER_SHARE = 0.6
const REPORT_JITTER_SHARE = 0.2
/** Maximum random delay before a window is opened, as a share of a window, so that few entries try at the same time. */
const OPEN_JITTER_SHARE = 0.05
/** Clocks of two hosts may run at rates that differ by this share. */
const CLOCK_DRIFT_SHARE = 0.001
/** Factor over the measured rate that is asked for, so that a grant leaves room for growth. */
const RATE_HEADROOM = 1.1

/** What the writer has done in the present window, and when it is to act; times in ms after the window was read. */
interface WindowWork { window: number, hasReported: boolean, reportAfterMs: number, openAfterMs: number }

/** Computes what an entry needs of one customer's pool; `use` holds the granted slots that it may use and its requests in progress. */
export function computeNeed (reading: DemandReading, fixed: EntryShare, use: { usable: number, inProgress: number }, windowMs: number): CustomerNeed {
  const terms = computePoolTerms(reading.contract, windowMs)
  const rate = Math.ceil(reading.requestsPerSecond * RATE_HEADROOM) - fixed.requestsPerSecond
  const inUse = Math.max(0, use.inProgress - fixed.concurrentRequests)
  const maxUsed = Math.max(0, reading.maxInProgress - fixed.concurrentRequests)
  return {
    ...terms,
    rate: Math.min(terms.ratePool, Math.max(0, rate)),
    slots: Math.min(terms.slotPool, reading.rejectedForConcurrency),
    held: Math.max(inUse, Math.min(use.usable, maxUsed))
  }
}

function hasNeed (need: CustomerNeed): boolean {
  return need.rate > 0 || need.slots > 0 || need.held > 0
}

function createWork (window: number, windowMs: number): WindowWork {
  return {
    window,
    hasReported: false,
    reportAfterMs: windowMs * (REPORT_AFTER_SHARE + REPORT_JITTER_SHARE * Math.random()),
    openAfterMs: windowMs * (1 + CLOCK_DRIFT_SHARE + OPEN_JITTER_SHARE * Math.random())
  }
}

/** Creates a writer. It does nothing before `runTask`. */
export function createDemandWriter (options: DemandWriterOptions): DemandWriter {
  const { clock, log, holder, reader, meter, windowMs, signal } = options
  let work = createWork(0, windowMs)
  let appends = 0
  let failedAppends = 0

  const listNeeds = (): CustomerNeed[] => meter.listReadings().flatMap((reading) => {
    const { customer } = reading.contract
    const use = { usable: holder.getUsableSlots(customer), inProgress: options.getInProgress(customer) }
    const need = computeNeed(reading, options.getFixedShare(reading.contract), use, windowMs)
    return hasNeed(need) || holder.getGrantedSlots(customer) > 0 ? [need] : []
  })
  const getKnownWindow = (): number => reader.getFold()?.getWindow()?.window ?? 0
  /** Builds the opening that may be written now: of the next window, or of the first one in an empty stream. */
  const buildOpening = (): WindowOpening | undefined => {
    const fold = reader.getFold()
    const current = fold?.getWindow()
    if (current) return { window: current.window + 1, basedOn: current.openedAt, pools: listPools(current.pools) }
    return fold?.canStartStream() ? { window: 1, basedOn: NO_WINDOW_OFFSET, pools: [] } : undefined
  }
  const sendRecord = async (needs: CustomerNeed[], opening: WindowOpening | undefined): Promise<void> => {
    const record: DemandRecord = { type: 'demand', v: DEMAND_SCHEMA_VERSION, entry: options.entry, run: options.run, knownWindow: getKnownWindow(), needs }
    if (opening) record.opening = opening
    // Capped before it is sent, because the record takes effect as soon as the log has it.
    for (const need of needs) holder.setSlotCap(need.customer, need.held)
    work.hasReported = true
    meter.reset()
    const sentMs = clock.monotonicMs()
    appends += 1
    const appended = await log.append(DEMAND_STREAM, encodeDemandRecord(record))
    if (appended.isErr()) failedAppends += 1
    else reader.addOwnAppend(appended.value, sentMs)
  }
  /** Writes a record if one is due. Returns whether it tried to open a window. */
  const writeIfDue = async (): Promise<boolean> => {
    if (!reader.isCaughtUp()) return false
    const window = getKnownWindow()
    if (window !== work.window) work = createWork(window, windowMs)
    const ageMs = clock.monotonicMs() - (holder.getReadAtMs() ?? -Infinity)
    const needs = listNeeds()
    const isAnyNeeded = needs.some(hasNeed)
    if (!isAnyNeeded && meter.getAgeMs() > windowMs) meter.reset()
    const opening = isAnyNeeded && ageMs >= work.openAfterMs ? buildOpening() : undefined
    const isReportDue = !work.hasReported && ageMs >= work.reportAfterMs && ageMs < windowMs
    if (!opening && !(isReportDue && needs.length > 0)) return false
    await sendRecord(needs, opening)
    return opening !== undefined
  }
  return {
    async runTask () {
      while (!signal.aborted) {
        const hasTriedOpening = await writeIfDue()
        // After an attempt the reader needs time to see which record opened the window.
        await clock.wait(hasTriedOpening ? windowMs / 4 : options.tickMs, signal)
      }
    },
    report: () => ({ appends, failedAppends })
  }
}
