/**
 * Enforces the limits of customers over all entries. Each entry has a fixed share; the rest is a pool that is granted for
 * one window at a time. All entries compute the same grants from the `demand` stream.
 */
import type { Clock } from '../../clock.ts'
import { toBrand } from '../../types.ts'
import type { CustomerId, EntryId, Incarnation, StreamName } from '../../types.ts'
import type { Contract } from '../../version/contract.ts'
import type { LogClient } from '../log-client.ts'
import type { CustomerLimiter } from './customer-limiter.ts'
import { createDemandMeter } from './demand-meter.ts'
import { computeFixedShare } from './fixed-share.ts'
import { createGrantHolder } from './grant-holder.ts'
import type { GrantHolder } from './grant-holder.ts'
import { createDemandReader } from './demand-reader.ts'
import { createDemandWriter } from './demand-writer.ts'
import { createCustomerLimiter } from './local-customer-limiter.ts'
import type { EntryShare } from './local-customer-limiter.ts'

/** Logger of the limiter. */
export interface LimiterLogger { info(message: string): void, warn(message: string): void }

/** Options of a limiter; times in ms. */
export interface GrantedLimiterOptions {
  clock: Clock
  log: LogClient
  entry: EntryId
  run: Incarnation
  logger?: LimiterLogger
  /** Length of a grant window. It must be the same at every entry. */
  windowMs?: number
  /** Maximum wait of a read at the log while grants are in use. */
  readWaitMs?: number
  /** Time between two checks whether a record is due. */
  tickMs?: number
  /** Replaces the default holder, whose grants expire by the monotonic clock. */
  holder?: GrantHolder
  /** Lists the live entries. Entries beyond the contract's `entries.largestCount` get no fixed share. */
  listLiveEntries?: () => readonly EntryId[]
}

/** Counters of the grants, for the status page. */
export interface GrantReport {
  /** The newest window; 0 before the first. */
  window: number
  isActive: boolean
  appends: number
  failedAppends: number
  reads: number
  skippedRecords: number
  mismatches: number
}

/** A limiter that uses grants once it is started. */
export type GrantedLimiter = CustomerLimiter & {
  start(): void
  reportGrants(): GrantReport
}

/** Name of the stream of demand records. */
export const DEMAND_STREAM = toBrand<StreamName>('demand')

const DEFAULT_WINDOW_MS = 2_000
const DEFAULT_READ_WAIT_MS = 100
const DEFAULT_TICK_MS = 25
const NO_SHARE: EntryShare = { requestsPerSecond: 0, concurrentRequests: 0 }

/** Returns whether more entries run than the contract allows, and this entry is one of the surplus. */
function isBeyondMaxCount (contract: Contract, entry: EntryId, live: readonly EntryId[]): boolean {
  return live.length > contract.entries.largestCount && live.indexOf(entry) >= contract.entries.largestCount
}

/** Creates a limiter. Before `start`, and while the log is unavailable, it uses only the fixed share. */
export function createGrantedLimiter (options: GrantedLimiterOptions): GrantedLimiter {
  const { clock, log, entry, run, logger } = options
  const windowMs = options.windowMs ?? DEFAULT_WINDOW_MS
  const readWaitMs = options.readWaitMs ?? DEFAULT_READ_WAIT_MS
  const stop = new AbortController()
  const meter = createDemandMeter(clock)
  const holder = options.holder ?? createGrantHolder({ clock, run, windowMs })
  const shared = { clock, log, run, windowMs, holder, signal: stop.signal }
  const reader = createDemandReader({ ...shared, logger, readWaitMs })
  const getFixedShare = (contract: Contract): EntryShare => {
    const live = options.listLiveEntries?.() ?? []
    return isBeyondMaxCount(contract, entry, live) ? NO_SHARE : computeFixedShare(contract)
  }
  const getShare = (contract: Contract): EntryShare => {
    const fixed = getFixedShare(contract)
    const grant = holder.getGrant(contract.customer)
    return {
      requestsPerSecond: fixed.requestsPerSecond + grant.rate,
      concurrentRequests: fixed.concurrentRequests + grant.slots
    }
  }
  const limiter = createCustomerLimiter({ clock, getShare, handleArrival: (contract, arrival) => meter.addArrival(contract, arrival) })
  const getInProgress = (customer: CustomerId): number =>
    limiter.report().find((figures) => figures.customer === customer)?.inProgress ?? 0
  const writer = createDemandWriter({ ...shared, entry, reader, meter, getFixedShare, getInProgress, tickMs: options.tickMs ?? DEFAULT_TICK_MS })
  const startTask = (name: string, task: () => Promise<void>): void => {
    task().catch((cause) => logger?.warn(`limits: ${name} failed: ${String(cause)}`))
  }
  return {
    acquirePermit: limiter.acquirePermit,
    report: limiter.report,
    start () {
      startTask('reading demand', reader.runTask)
      startTask('writing demand', writer.runTask)
    },
    reportGrants: () => ({
      window: reader.getFold()?.getWindow()?.window ?? 0, isActive: holder.isActive(), ...reader.report(), ...writer.report()
    }),
    close () {
      stop.abort()
      limiter.close()
    }
  }
}
