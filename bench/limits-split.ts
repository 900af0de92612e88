/**
 * Bench of the ways to split a customer's limit over the entries: requests admitted under even and skewed load, in
 * simulated time.
 */
import { createCustomerLimiter } from '../src/process/limits/local-customer-limiter.ts'
import { createLimitsContract } from '../test/support/limits.ts'
import { createLimitsSimulation, createOwnLimiter } from '../test/support/limits-simulation.ts'
import type { LimiterFactory } from '../test/support/limits-simulation.ts'

const ENTRY_COUNT = 6
const REQUESTS_PER_SECOND = 600
const UNLIMITED = 1_000_000
const MS_PER_SECOND = 1_000
const PHASE_MS = 20 * MS_PER_SECOND
const PHASE_COUNT = 6

/** How the limit is split: in equal fixed shares, or half in fixed shares and half in grants from a pool, with the log up or down. */
export type LimitsSplit = 'even' | 'half granted' | 'half granted, log down'
/** How requests are spread: evenly, or half or all of them at one entry, another one every 20 s. */
export type LimitsTrace = 'even' | 'half on one' | 'all on one'

/** Results of one trace. */
export interface LimitsFigures {
  split: LimitsSplit
  trace: LimitsTrace
  /** Offered requests per second, as a share of the contract's rate limit. */
  load: number
  /** Share of the offered requests that were admitted. */
  admittedShare: number
  /** Maximum number of requests admitted within any second, as a share of the contract's rate limit. */
  maxRateShare: number
  /** Appends to the log per second, over all entries. */
  appendsPerSecond: number
}

/** Creates a limiter with fixed shares only. */
const createEvenLimiter: LimiterFactory = ({ clock }) => createCustomerLimiter({ clock })

/** Returns the share of the requests that arrive at an entry. */
function computeShare (trace: LimitsTrace, entry: number, busyEntry: number): number {
  switch (trace) {
    case 'even': return 1 / ENTRY_COUNT
    case 'half on one': return entry === busyEntry ? 0.5 : 0.5 / (ENTRY_COUNT - 1)
    case 'all on one': return entry === busyEntry ? 1 : 0
  }
}

/** Runs one trace in simulated time; `load` is the share of the contract's rate limit that is offered. */
export async function measureLimitsSplit (split: LimitsSplit, trace: LimitsTrace, load: number): Promise<LimitsFigures> {
  const contract = createLimitsContract({ requestsPerSecond: REQUESTS_PER_SECOND, concurrentRequests: UNLIMITED, largestCount: ENTRY_COUNT })
  const simulation = createLimitsSimulation(contract, split === 'even' ? createEvenLimiter : createOwnLimiter)
  simulation.log.isDown = split === 'half granted, log down'
  for (let index = 0; index < ENTRY_COUNT; index++) simulation.addEntry(`entry-${index}`)
  for (let phase = 0; phase < PHASE_COUNT; phase++) {
    simulation.entries.forEach((entry, index) => { entry.offeredPerSecond = REQUESTS_PER_SECOND * load * computeShare(trace, index, phase % ENTRY_COUNT) })
    await simulation.runFor(PHASE_MS)
  }
  simulation.close()
  const countAll = (field: 'offered' | 'admitted') => simulation.entries.reduce((total, entry) => total + entry[field], 0)
  return {
    split,
    trace,
    load,
    admittedShare: countAll('admitted') / countAll('offered'),
    maxRateShare: simulation.getMaxRate() / REQUESTS_PER_SECOND,
    appendsPerSecond: simulation.log.store.readBounds('demand' as never).next / (PHASE_COUNT * PHASE_MS / MS_PER_SECOND)
  }
}

/** Runs the bench from the command line; returns the exit code. */
export async function runLimitsBench (): Promise<number> {
  for (const trace of ['even', 'half on one', 'all on one'] as const) {
    for (const load of [0.4, 0.8]) {
      for (const split of ['even', 'half granted', 'half granted, log down'] as const) {
        const { admittedShare, maxRateShare: largestRateShare, appendsPerSecond } = await measureLimitsSplit(split, trace, load)
        console.log(`${trace}, load ${load}, ${split}: admitted ${(admittedShare * 100).toFixed(1)}%, busiest second ${(largestRateShare * 100).toFixed(0)}% of the rate limit, ${appendsPerSecond.toFixed(2)} appends per second`)
      }
    }
  }
  return 0
}
