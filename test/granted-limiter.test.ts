import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { GrantWindow } from '../src/process/limits/grant-fold.ts'
import { createGrantHolder } from '../src/process/limits/grant-holder.ts'
import { createCustomerLimiter } from '../src/process/limits/local-customer-limiter.ts'
import type { CustomerLimiter } from '../src/process/limits/customer-limiter.ts'
import type { GrantedLimiter } from '../src/process/limits/granted-limiter.ts'
import { createLimitsContract } from './support/limits.ts'
import { createLimitsSimulation, createOwnLimiter } from './support/limits-simulation.ts'
import type { LimiterFactory, LimitsSimulation } from './support/limits-simulation.ts'
import { createModelRuns } from './support/model-runs.ts'

const RATE = 120
const CONCURRENCY = 36
const LARGEST_COUNT = 6
const SECOND_MS = 1_000
const contract = createLimitsContract({ requestsPerSecond: RATE, concurrentRequests: CONCURRENCY, largestCount: LARGEST_COUNT })

function reportGrants (limiter: CustomerLimiter) {
  return (limiter as GrantedLimiter).reportGrants()
}

/** Puts the load on one entry, then cuts it off, sets its wall clock back and moves the load to another entry. */
async function runMovingLoad (simulation: LimitsSimulation): Promise<void> {
  const [first, second] = ['entry-0', 'entry-1', 'entry-2'].map((id) => simulation.addEntry(id, { offeredPerSecond: 5 }))
  first!.offeredPerSecond = 200
  await simulation.runFor(6 * SECOND_MS)
  first!.isPartitioned = true
  first!.wallSkewMs = -60 * SECOND_MS
  second!.offeredPerSecond = 200
  await simulation.runFor(8 * SECOND_MS)
  simulation.close()
}

const createFullLimitLimiter: LimiterFactory = ({ clock }) => createCustomerLimiter({
  clock, getShare: ({ limits }) => ({ requestsPerSecond: limits.requestsPerSecond, concurrentRequests: limits.concurrentRequests })
})
const createWallClockLimiter: LimiterFactory = (options) => {
  const clock = { ...options.clock, monotonicMs: options.clock.wallMs }
  const holder = createGrantHolder({ clock, run: options.run, windowMs: 2 * SECOND_MS })
  let readMs: number | undefined
  const setWindow = (window: GrantWindow) => {
    readMs = options.clock.monotonicMs()
    holder.setWindow(window, clock.wallMs())
  }
  return createOwnLimiter({ ...options, holder: { ...holder, setWindow, getReadAtMs: () => readMs } })
}

test('a busy entry gets most of the rate when the others are idle, far above its even share', async () => {
  const simulation = createLimitsSimulation(contract)
  const busy = simulation.addEntry('entry-0', { offeredPerSecond: 200 })
  for (const id of ['entry-1', 'entry-2']) simulation.addEntry(id, { offeredPerSecond: 3 })
  await simulation.runFor(4 * SECOND_MS)
  const before = busy.admitted
  await simulation.runFor(10 * SECOND_MS)
  expect((busy.admitted - before) / 10).toBeGreaterThan(2 * RATE / LARGEST_COUNT)
  expect(simulation.getMaxRate()).toBeLessThanOrEqual(RATE)
  const report = reportGrants(busy.limiter)
  expect(report.mismatches + report.failedAppends + report.skippedRecords).toBe(0)
  simulation.close()
})

test('a customer within its fixed share causes no appends', async () => {
  const simulation = createLimitsSimulation(contract)
  for (const id of ['entry-0', 'entry-1']) simulation.addEntry(id, { offeredPerSecond: 5 })
  await simulation.runFor(5 * SECOND_MS)
  expect(simulation.log.store.readBounds('demand' as never).next).toBe(0)
  simulation.close()
})

test('with the log unavailable the fixed share stays in effect, and grants return when it recovers', async () => {
  const simulation = createLimitsSimulation(contract)
  const busy = simulation.addEntry('entry-0', { offeredPerSecond: 200 })
  simulation.log.isDown = true
  await simulation.runFor(5 * SECOND_MS)
  expect(busy.admitted).toBeGreaterThanOrEqual(4 * RATE / LARGEST_COUNT / 2)
  expect(reportGrants(busy.limiter).isActive).toBe(false)
  simulation.log.isDown = false
  await simulation.runFor(4 * SECOND_MS)
  expect(reportGrants(busy.limiter).window).toBeGreaterThan(0)
  simulation.close()
})

test('an entry that starts late computes the same windows', async () => {
  const simulation = createLimitsSimulation(contract)
  const first = simulation.addEntry('entry-0', { offeredPerSecond: 200 })
  await simulation.runFor(9 * SECOND_MS)
  const late = simulation.addEntry('entry-1', { offeredPerSecond: 200 })
  await simulation.runFor(9 * SECOND_MS)
  const reports = [first, late].map((entry) => reportGrants(entry.limiter))
  expect(reports[0]!.window).toBe(reports[1]!.window)
  expect(reports[0]!.mismatches + reports[1]!.mismatches).toBe(0)
  expect(late.admitted).toBeGreaterThan(9 * RATE / LARGEST_COUNT / 2)
  expect(simulation.getMaxRate()).toBeLessThanOrEqual(RATE)
  simulation.close()
})

test('malformed records on the stream are skipped and counted, and grants continue', async () => {
  const simulation = createLimitsSimulation(contract)
  for (const bytes of [new Uint8Array([0xff, 0, 1]), new Uint8Array(), new TextEncoder().encode('hello')]) {
    simulation.log.store.appendRecord('demand' as never, bytes)
  }
  const busy = simulation.addEntry('entry-0', { offeredPerSecond: 200 })
  await simulation.runFor(4 * SECOND_MS)
  expect(reportGrants(busy.limiter)).toMatchObject({ skippedRecords: 3, mismatches: 0 })
  expect(reportGrants(busy.limiter).window).toBeGreaterThan(0)
  simulation.close()
})

test('load that moves from a cut-off entry to another stays within the contract', async () => {
  const simulation = createLimitsSimulation(contract)
  await runMovingLoad(simulation)
  expect(simulation.getMaxRate()).toBeLessThanOrEqual(RATE)
})

test('enforcing the full limit at each entry exceeds the contract under the same load', async () => {
  const simulation = createLimitsSimulation(contract, createFullLimitLimiter)
  await runMovingLoad(simulation)
  expect(simulation.getMaxRate()).toBeGreaterThan(RATE)
})

test('a lease by the wall clock exceeds the contract under the same load', async () => {
  const simulation = createLimitsSimulation(contract, createWallClockLimiter)
  await runMovingLoad(simulation)
  expect(simulation.getMaxRate()).toBeGreaterThan(RATE)
})

/** Runs as many processes as the contract allows, so that any share used twice exceeds it. */
const TIGHT_COUNT = 4
const AMPLE = 1_000_000
/** Contracts with one limit that is reached and one that never is. */
const tightContracts = [
  createLimitsContract({ requestsPerSecond: RATE, concurrentRequests: AMPLE, largestCount: TIGHT_COUNT }),
  createLimitsContract({ requestsPerSecond: AMPLE, concurrentRequests: CONCURRENCY, largestCount: TIGHT_COUNT })
]

/** Pauses a busy entry at a phase of its window, moves its load to another entry, resumes it and returns the peak rate. */
async function runPauseAt (phaseMs: number, createLimiter: LimiterFactory): Promise<number> {
  const pair = createLimitsContract({ requestsPerSecond: RATE, concurrentRequests: 1_000, largestCount: 2 })
  const simulation = createLimitsSimulation(pair, createLimiter)
  simulation.log.latencyMs = 120
  const busy = simulation.addEntry('entry-0', { offeredPerSecond: 300 })
  const other = simulation.addEntry('entry-1')
  await simulation.runFor(5 * SECOND_MS + phaseMs)
  simulation.setPaused(busy, true)
  other.offeredPerSecond = 300
  await simulation.runFor(9 * SECOND_MS)
  simulation.setPaused(busy, false)
  await simulation.runFor(SECOND_MS)
  simulation.close()
  return simulation.getMaxRate()
}

const createReadDatedLimiter: LimiterFactory = (options) => {
  const holder = createGrantHolder({ clock: options.clock, run: options.run, windowMs: 2 * SECOND_MS })
  return createOwnLimiter({ ...options, holder: { ...holder, setWindow: (window) => holder.setWindow(window, options.clock.monotonicMs()) } })
}

test('an entry paused while it read a window has no grant when it resumes; one that dates windows by the read exceeds the rate', async () => {
  const phases = Array.from({ length: 42 }, (_, index) => index * 50)
  const own = []
  const readDated = []
  for (const phaseMs of phases) {
    own.push(await runPauseAt(phaseMs, createOwnLimiter))
    readDated.push(await runPauseAt(phaseMs, createReadDatedLimiter))
  }
  expect(Math.max(...own)).toBeLessThanOrEqual(RATE)
  expect(Math.max(...readDated)).toBeGreaterThan(RATE)
})

type Step =
  | { kind: 'loads', offered: number[], workMs: number }
  | { kind: 'pause' | 'partition' | 'replace', entry: number }
  | { kind: 'log-down' | 'lost-responses', isOn: boolean }
  | { kind: 'latency', ms: number }

const entryIndex = fc.nat({ max: TIGHT_COUNT - 1 })
const offered = fc.constantFrom(0, 0, 40, 300)
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('loads' as const), offered: fc.tuple(offered, offered, offered, offered), workMs: fc.constantFrom(20, 20, 700, 3_000) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('pause' as const, 'partition' as const, 'replace' as const), entry: entryIndex }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('log-down' as const, 'lost-responses' as const), isOn: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('latency' as const), ms: fc.constantFrom(1, 20, 120) }) }
)

function applyToEntry (simulation: LimitsSimulation, kind: 'pause' | 'partition' | 'replace', index: number): void {
  const entry = simulation.entries[index % simulation.entries.length]!
  switch (kind) {
    case 'pause':
      return simulation.setPaused(entry, !entry.isPaused)
    case 'partition':
      entry.isPartitioned = !entry.isPartitioned
      return
    case 'replace':
      // The earlier incarnation is paused and may resume; both count towards the maximum number of processes.
      if (simulation.entries.length >= TIGHT_COUNT) return
      simulation.setPaused(entry, true)
      simulation.addEntry(entry.id, { offeredPerSecond: entry.offeredPerSecond, workMs: entry.workMs })
  }
}

function applyStep (simulation: LimitsSimulation, action: Step): void {
  const { entries, log } = simulation
  switch (action.kind) {
    case 'loads':
      entries.forEach((entry, index) => Object.assign(entry, { offeredPerSecond: action.offered[index] ?? 0, workMs: action.workMs }))
      return
    case 'log-down':
      log.isDown = action.isOn
      return
    case 'lost-responses':
      log.losesResponses = action.isOn
      return
    case 'latency':
      log.latencyMs = action.ms
      return
    default:
      applyToEntry(simulation, action.kind, action.entry)
  }
}

test('rate and concurrency stay within the contract under random loads, pauses, partitions, replacements and outages', async () => {
  const steps = fc.array(fc.tuple(step, fc.integer({ min: 1, max: 14 })), { minLength: 10, maxLength: 24 })
  const count = fc.integer({ min: TIGHT_COUNT - 1, max: TIGHT_COUNT })
  await fc.assert(fc.asyncProperty(fc.constantFrom(...tightContracts), count, steps, async (tight, count, steps) => {
    const simulation = createLimitsSimulation(tight)
    for (let index = 0; index < count; index++) simulation.addEntry(`entry-${index}`, { offeredPerSecond: 300, workMs: 200 })
    await simulation.runFor(3 * SECOND_MS)
    for (const [action, steps50Ms] of steps) {
      applyStep(simulation, action)
      await simulation.runFor(50 * steps50Ms)
    }
    for (const entry of simulation.entries) simulation.setPaused(entry, false)
    await simulation.runFor(3 * SECOND_MS)
    simulation.close()
    expect(simulation.getMaxRate()).toBeLessThanOrEqual(tight.limits.requestsPerSecond)
    expect(simulation.getMaxConcurrency()).toBeLessThanOrEqual(tight.limits.concurrentRequests)
    for (const entry of simulation.entries) expect(reportGrants(entry.limiter).mismatches).toBe(0)
  }), createModelRuns(40))
})
