import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { HealthProbeResult } from '../src/process/targets/target-prober.ts'
import { computeProbeCost } from '../src/process/targets/target-prober.ts'
import { createSpendBudget } from '../src/request/balancing/spend-budget.ts'
import { createTestClock } from '../src/clock.ts'
import type { TestClock } from '../src/clock.ts'
import { buildService, setupTargetSet, toEntryIds, toTargetId } from './support/target-service.ts'

const GOOD = { kind: 'answered', status: 200, firstByteMs: 20 } as const
const MAX_ENTRIES = 6
const MEASURING = { budgetMsPerSecond: 30, probeCostMs: 6, connectCostMs: 1, probePath: '/health' }

interface Spending { clock: TestClock, probes: number }

/** Starts one entry process on a shared clock. Its targets are new and unreachable, so it probes as much as its budget allows. */
function startEntry (spending: Spending, self: string, assumedLive: string[]) {
  const changes = { measuring: MEASURING, ejectedShare: 0 }
  const { set } = setupTargetSet(buildService(1, changes), {
    clock: spending.clock,
    self: toEntryIds(self)[0]!,
    entries: toEntryIds(...assumedLive),
    maxEntries: MAX_ENTRIES,
    sendProbe: async (): Promise<HealthProbeResult> => {
      spending.probes += 1
      return { kind: 'unreachable' }
    }
  })
  set.updateContract(buildService(8, changes))
  return set
}

function computeSpentMs (spending: Spending): number {
  return spending.probes * computeProbeCost(MEASURING)
}

test('health probes stay within the measuring budget under restarts, replacements and different views of the live entries', async () => {
  const step = fc.record({
    restarted: fc.integer({ min: 0, max: MAX_ENTRIES - 1 }),
    assumedLive: fc.subarray(['e0', 'e1', 'e2', 'e3', 'e4', 'e5']),
    passMs: fc.integer({ min: 1, max: 4_000 })
  })
  let maxProbes = 0
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 3, maxLength: 12 }), async (steps) => {
    const spending: Spending = { clock: createTestClock(), probes: 0 }
    const sets = Array.from({ length: MAX_ENTRIES }, (_, index) => startEntry(spending, `e${index}`, ['e0']))
    for (const { restarted, assumedLive, passMs } of steps) {
      sets[restarted]!.close()
      sets[restarted] = startEntry(spending, `e${restarted}-again`, assumedLive)
      for (const set of sets) set.updateEntries(toEntryIds(...assumedLive))
      await spending.clock.advance(passMs)
      expect(computeSpentMs(spending)).toBeLessThanOrEqual(MEASURING.budgetMsPerSecond * spending.clock.monotonicMs() / 1000 + 1e-6)
    }
    for (const set of sets) set.close()
    maxProbes = Math.max(maxProbes, spending.probes)
  }), { seed: 41, numRuns: 25 })
  // Otherwise the limit would hold merely because nothing was probed.
  expect(maxProbes).toBeGreaterThan(50)
}, 40_000)

test('shares by the entries that each one takes to be live would exceed the budget', async () => {
  // Naive form: each of 6 entries takes itself to be the only one, and starts with a full token bucket.
  const entries = Array.from({ length: MAX_ENTRIES }, () => createSpendBudget({ refillMsPerSecond: MEASURING.budgetMsPerSecond, maxBalanceMs: 150, nowMs: -5_000 }))
  let spentMs = 0
  for (let ms = 0; ms < 1_000; ms += 10) {
    for (const budget of entries) if (budget.charge(7, ms)) spentMs += 7
  }
  expect(spentMs).toBeGreaterThan(MEASURING.budgetMsPerSecond)
})

test('the cost of a probe is charged before it is sent, even when it never completes', async () => {
  const { set, clock } = setupTargetSet(buildService(8), { sendProbe: () => new Promise(() => {}) })
  await clock.advance(20_000)
  const { probes, probeCostMs } = set.report()
  expect(probes).toBeGreaterThan(0)
  expect(probeCostMs).toBe(probes * 7)
})

test('a target with recent responses gets no probe, a silent one does', async () => {
  const probed = new Set<string>()
  const setup = setupTargetSet(buildService(3), {
    sendProbe: async (target) => {
      probed.add(target.id)
      return { kind: 'ready' }
    }
  })
  const silent = toTargetId('t2')
  for (let ms = 0; ms < 30_000; ms += 500) {
    for (const exclude of [[silent, toTargetId('t0')], [silent, toTargetId('t1')]]) {
      const slot = await setup.take({ exclude: new Set(exclude) })
      slot.release(GOOD)
    }
    await setup.clock.advance(500)
  }
  expect([...probed]).toEqual(['t2'])
})

test('a budget of zero sends no probe, and a new contract takes effect at once', async () => {
  const setup = setupTargetSet(buildService(3, { measuring: { ...MEASURING, budgetMsPerSecond: 0 } }), { sendProbe: async () => ({ kind: 'ready' }) })
  await setup.clock.advance(30_000)
  expect(setup.set.report().probes).toBe(0)
  setup.set.updateContract(buildService(3, { measuring: MEASURING }), 1)
  await setup.clock.advance(10_000)
  expect(setup.set.report().probes).toBe(3)
  setup.set.close()
  await setup.clock.advance(30_000)
  expect(setup.set.report().probes).toBe(3)
})

test('a probe that finds a target leaving stops new work for it', async () => {
  const setup = setupTargetSet(buildService(2), {
    sendProbe: async (target) => ({ kind: target.id === 't0' ? 'leaving' : 'ready' })
  })
  await setup.clock.advance(20_000)
  expect(setup.set.listTargets().map((target) => target.state)).toEqual(['leaving', 'serving'])
})
