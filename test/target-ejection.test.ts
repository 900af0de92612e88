import { expect, test } from 'vitest'
import type { ContractTarget, ServiceContract } from '../src/version/contract.ts'
import { createBaselinePolicy } from '../src/request/balancing/baseline-policies.ts'
import { buildService, setupTargetSet, toTargetId } from './support/target-service.ts'

const GOOD = { kind: 'answered', status: 200, firstByteMs: 20 } as const
const BAD = { kind: 'answered', status: 500, firstByteMs: 1 } as const
const GOOD_MS = 20
const BAD_MS = 1
const FAILING = 't0'

type Setup = ReturnType<typeof setupTargetSet>

/** Sends one request each ms for `totalMs`; `isFailing` targets respond with an error after 1 ms. Returns the requests by target. */
async function runTraffic (setup: Setup, totalMs: number, isFailing: (target: ContractTarget) => boolean) {
  const counts = new Map<string, number>()
  for (let ms = 0; ms < totalMs; ms++) {
    const slot = (await setup.set.acquireSlot(setup.buildSlotRequest({ canWait: false }))).unwrapOr(undefined)
    if (slot) {
      counts.set(slot.target.id, (counts.get(slot.target.id) ?? 0) + 1)
      const isBad = isFailing(slot.target)
      setup.clock.startTimer(isBad ? BAD_MS : GOOD_MS, () => slot.release(isBad ? BAD : GOOD))
    }
    await setup.clock.advance(1)
  }
  return counts
}

const NO_EJECTION: Partial<ServiceContract> = { ejectedShare: 0, coldRampMs: 0 }

test('fast errors attract no load even when no target may be ejected, while selection by in-flight requests alone sends most load there', async () => {
  const { set, clock, buildSlotRequest } = setupTargetSet(buildService(10, NO_EJECTION))
  const counts = await runTraffic({ set, clock, buildSlotRequest } as Setup, 1_000, (target) => target.id === FAILING)
  expect(counts.get(FAILING)).toBeLessThan(100)

  const targets = buildService(10).targets.map((target) => target.id)
  const leastInFlight = createBaselinePolicy('least-in-flight', targets, () => 0)
  const baselineClock = setupTargetSet(buildService(1)).clock
  let baselineCount = 0
  for (let ms = 0; ms < 1_000; ms++) {
    const target = leastInFlight.select(new Set())
    if (target === FAILING) baselineCount += 1
    baselineClock.startTimer(target === FAILING ? BAD_MS : GOOD_MS, () => leastInFlight.finish(target!, 20))
    await baselineClock.advance(1)
  }
  expect(baselineCount).toBeGreaterThan(500)
})

test('an outlier is ejected, recorded in the audit trail, and gets no requests', async () => {
  const setup = setupTargetSet(buildService(10))
  await runTraffic(setup, 500, (target) => target.id === FAILING)
  expect(setup.set.listTargets()[0]?.state).toBe('ejected')
  expect(setup.events.filter((event) => event.type === 'target-ejected')).toHaveLength(1)
  const later = await runTraffic(setup, 500, (target) => target.id === FAILING)
  expect(later.get(FAILING)).toBeUndefined()
})

/** Lets five of ten targets fail, and returns the largest number ejected at the same time. */
async function countMaxEjected (ejectedShare: number): Promise<number> {
  const setup = setupTargetSet(buildService(10, { ejectedShare }))
  const failing = new Set(['t0', 't1', 't2', 't3', 't4'])
  let maxEjected = 0
  for (let round = 0; round < 60; round++) {
    await runTraffic(setup, 50, (target) => failing.has(target.id))
    maxEjected = Math.max(maxEjected, setup.set.listTargets().filter((target) => target.state === 'ejected').length)
  }
  return maxEjected
}

test('the contract limits the ejected targets, where outlier detection alone would eject more', async () => {
  expect(await countMaxEjected(0.2)).toBe(2)
  expect(await countMaxEjected(1)).toBeGreaterThan(2)
})

test('no target is ejected when all fail at the same rate', async () => {
  const setup = setupTargetSet(buildService(6))
  await runTraffic(setup, 500, () => true)
  expect(setup.set.listTargets().map((target) => target.state)).toEqual(Array(6).fill('serving'))
})

test('a new contract with a lower limit of ejections readmits the targets beyond it', async () => {
  const setup = setupTargetSet(buildService(10, { ejectedShare: 0.3 }))
  await runTraffic(setup, 1_000, (target) => ['t0', 't1', 't2'].includes(target.id))
  expect(setup.set.listTargets().filter((target) => target.state === 'ejected')).toHaveLength(3)
  setup.set.updateContract(buildService(10, { ejectedShare: 0.1 }))
  expect(setup.set.listTargets().filter((target) => target.state === 'ejected')).toHaveLength(1)
})

test('an ejected target is readmitted cold after single trials, which only idempotent requests run', async () => {
  const setup = setupTargetSet(buildService(10))
  const { set, clock, take, events } = setup
  await runTraffic(setup, 500, (target) => target.id === FAILING)
  await clock.advance(2_500)
  expect((await take({ isIdempotent: false })).target.id).not.toBe(FAILING)
  for (let trial = 0; trial < 3; trial++) {
    const first = await take()
    const second = await take()
    expect([first.target.id, second.target.id === FAILING]).toEqual([FAILING, false])
    first.release(GOOD)
    second.release(GOOD)
  }
  expect(set.listTargets()[0]?.state).toBe('cold')
  expect(events.at(-1)).toMatchObject({ type: 'target-returned', target: FAILING })
})

test('the wait before a trial grows with each failed trial', async () => {
  const setup = setupTargetSet(buildService(10))
  await runTraffic(setup, 500, (target) => target.id === FAILING)
  const waits: number[] = []
  for (let trial = 0; trial < 3; trial++) {
    let waitedMs = 0
    for (;;) {
      const slot = await setup.take()
      slot.release(slot.target.id === FAILING ? BAD : GOOD)
      if (slot.target.id === FAILING) break
      await setup.clock.advance(500)
      waitedMs += 500
    }
    waits.push(waitedMs)
  }
  expect(waits[1]).toBeGreaterThan(waits[0]!)
  expect(waits[2]).toBeGreaterThan(waits[1]!)
})

test('with health probes a trial waits until a probe finds the target ready', async () => {
  let isUp = false
  const setup = setupTargetSet(buildService(10), { sendProbe: async () => ({ kind: isUp ? 'ready' : 'unreachable' }) })
  await runTraffic(setup, 500, (target) => target.id === FAILING)
  await runTraffic(setup, 6_000, () => false)
  expect(setup.set.listTargets()[0]?.state).toBe('ejected')
  isUp = true
  const counts = await runTraffic(setup, 8_000, () => false)
  expect(counts.get(FAILING)).toBeGreaterThan(0)
  expect(setup.set.listTargets()[0]?.state).toBe('cold')
})

test('a target that sheds requests attracts no load and is not ejected', async () => {
  const setup = setupTargetSet(buildService(10))
  let shed = 0
  for (let ms = 0; ms < 1_000; ms++) {
    const slot = await setup.take()
    const isShed = slot.target.id === FAILING
    if (isShed) shed += 1
    setup.clock.startTimer(isShed ? BAD_MS : GOOD_MS, () => slot.release(isShed ? { kind: 'shed' } : GOOD))
    await setup.clock.advance(1)
  }
  expect(shed).toBeLessThan(100)
  expect(setup.set.listTargets()[0]?.state).toBe('serving')
})

test('the share of a new target grows during its slow start', async () => {
  let sequence = 0
  const setup = setupTargetSet(buildService(9), { random: () => (sequence = (sequence + 0.381966) % 1) })
  setup.set.updateContract(buildService(10, { coldRampMs: 10_000 }))
  const perSecond: number[] = []
  for (let second = 0; second < 10; second++) {
    const counts = await runTraffic(setup, 1_000, () => false)
    perSecond.push(counts.get('t9') ?? 0)
  }
  expect(perSecond[0]).toBeLessThan(40)
  expect(perSecond[4]).toBeGreaterThan(perSecond[0]!)
  expect(perSecond[9]).toBeGreaterThan(60)
  expect(setup.set.listTargets().find((target) => target.id === toTargetId('t9'))?.state).toBe('cold')
})

test('a target with a slow response gets less work for a while, and the other targets of its zone a little less', async () => {
  const setup = setupTargetSet(buildService(8))
  setup.set.tryAcquireHedge(toTargetId('t0'))
  const chosen: string[] = []
  for (let count = 0; count < 7; count++) chosen.push((await setup.take()).target.id)
  expect(chosen.slice(0, 6).toSorted()).toEqual(['t1', 't2', 't3', 't5', 't6', 't7'])
  expect(chosen[6]).toBe('t4')
})
