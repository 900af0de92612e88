/**
 * What a customer loses by how its limit is split over the entries, on even and on skewed load, in simulated time.
 */
import { createCustomerLimiter } from '../src/process/limits/local-customer-limiter.ts'
import { createLimitsContract } from '../test/support/limits.ts'
import { createLimitsSimulation, createOwnLimiter } from '../test/support/limits-simulation.ts'
import type { LimiterFactory } from '../test/support/limits-simulation.ts'

const ENTRIES = 6
const RATE = 600
const AMPLE = 1_000_000
const SECOND_MS = 1_000
const TURN_MS = 20 * SECOND_MS
const TURNS = 6

/** How the limit is split. */
export type LimitsSplit = 'even' | 'half granted' | 'half granted, log down'
/** How callers spread: evenly; half of them on one entry that changes every 20 s; all on one. */
export type LimitsTrace = 'even' | 'half on one' | 'all on one'

/** What came of one trace. */
export interface LimitsFigures {
  split: LimitsSplit
  trace: LimitsTrace
  /** Requests offered a second, as a share of the contract's rate. */
  load: number
  /** Share of the offered requests that were admitted. */
  admittedShare: number
  /** The most admissions in any second, as a share of the contract's rate. */
  largestRateShare: number
  /** Appends a second on the log, over all entries. */
  appendsPerSecond: number
}

const createEvenLimiter: LimiterFactory = ({ clock }) => createCustomerLimiter({ clock })

function computeShare (trace: LimitsTrace, entry: number, busy: number): number {
  switch (trace) {
    case 'even': return 1 / ENTRIES
    case 'half on one': return entry === busy ? 0.5 : 0.5 / (ENTRIES - 1)
    case 'all on one': return entry === busy ? 1 : 0
  }
}

/** Runs one trace in simulated time. */
export async function measureLimitsSplit (split: LimitsSplit, trace: LimitsTrace, load: number): Promise<LimitsFigures> {
  const contract = createLimitsContract({ requestsPerSecond: RATE, concurrentRequests: AMPLE, largestCount: ENTRIES })
  const simulation = createLimitsSimulation(contract, split === 'even' ? createEvenLimiter : createOwnLimiter)
  simulation.log.isDown = split === 'half granted, log down'
  for (let index = 0; index < ENTRIES; index++) simulation.addEntry(`entry-${index}`)
  for (let turn = 0; turn < TURNS; turn++) {
    simulation.entries.forEach((entry, index) => { entry.offeredPerSecond = RATE * load * computeShare(trace, index, turn % ENTRIES) })
    await simulation.runFor(TURN_MS)
  }
  simulation.close()
  const countAll = (field: 'offered' | 'admitted') => simulation.entries.reduce((total, entry) => total + entry[field], 0)
  return {
    split,
    trace,
    load,
    admittedShare: countAll('admitted') / countAll('offered'),
    largestRateShare: simulation.getMaxRate() / RATE,
    appendsPerSecond: simulation.log.store.readBounds('demand' as never).next / (TURNS * TURN_MS / SECOND_MS)
  }
}

/** Runs the bench from the command line; returns the exit code. */
export async function runLimitsBench (): Promise<number> {
  for (const trace of ['even', 'half on one', 'all on one'] as const) {
    for (const load of [0.4, 0.8]) {
      for (const split of ['even', 'half granted', 'half granted, log down'] as const) {
        const { admittedShare, largestRateShare, appendsPerSecond } = await measureLimitsSplit(split, trace, load)
        console.log(`${trace}, load ${load}, ${split}: admitted ${(admittedShare * 100).toFixed(1)}%, largest second ${(largestRateShare * 100).toFixed(0)}% of the contract, ${appendsPerSecond.toFixed(2)} appends a second`)
      }
    }
  }
  return 0
}
