import { expect, test } from 'vitest'
import type { HealthProbeResult } from '../src/process/targets/target-prober.ts'
import type { LeavingSource } from '../src/process/targets/target-set.ts'
import type { HostState, TargetId } from '../src/types.ts'
import { buildService, setupTargetSet, toTargetId } from './support/target-service.ts'

const GOOD = { kind: 'answered', status: 200, firstByteMs: 20 } as const
const T0 = toTargetId('t0')

function buildList (states: Record<string, HostState>) {
  return Object.entries(states).map(([id, state]) => ({ id, state }))
}

/** Acquires and releases `count` slots, and returns the targets that were selected. */
async function listSelected (setup: ReturnType<typeof setupTargetSet>, count: number): Promise<Set<string>> {
  const slots = []
  for (let index = 0; index < count; index++) slots.push(await setup.take())
  for (const slot of slots) slot.release(GOOD)
  return new Set(slots.map((slot) => slot.target.id))
}

/** Naive form: the latest report on a target wins, whatever its source. */
function createLatestReportSelection (ids: string[]) {
  const states = new Map<string, HostState>(ids.map((id) => [id, 'live']))
  return {
    markLeaving: (id: string) => states.set(id, 'leaving'),
    updateHosts: (hosts: { id: string, state: HostState }[]) => hosts.forEach((host) => states.set(host.id, host.state)),
    listOpen: () => [...states].filter(([, state]) => state === 'live').map(([id]) => id)
  }
}

test.each<LeavingSource>(['host-list', 'answer', 'probe', 'peer'])('no new work after the first leaving notice from %s, although the host list reports live', async (source) => {
  const notified: TargetId[] = []
  const setup = setupTargetSet(buildService(3), { notifyLeaving: (target) => notified.push(target) })
  expect(await listSelected(setup, 12)).toContain('t0')
  setup.set.markLeaving(T0, source)
  const live = buildList({ t0: 'live', t1: 'live', t2: 'live' })

  const naive = createLatestReportSelection(['t0', 't1', 't2'])
  naive.markLeaving('t0')
  naive.updateHosts(live)
  expect(naive.listOpen()).toContain('t0')

  for (let second = 0; second < 10; second++) {
    setup.set.updateHosts(live)
    expect(await listSelected(setup, 8)).not.toContain('t0')
    await setup.clock.advance(1_000)
  }
  expect(setup.events.filter((event) => event.type === 'target-leaving')).toHaveLength(1)
  expect(notified).toEqual(source === 'peer' ? [] : [T0])
})

test('in-flight requests of a leaving target run to their end', async () => {
  const setup = setupTargetSet(buildService(1))
  const slot = await setup.take()
  setup.set.markLeaving(T0, 'answer')
  expect(setup.set.listTargets()[0]).toMatchObject({ state: 'leaving', inFlight: 1 })
  slot.release(GOOD)
  expect(setup.set.listTargets()[0]).toMatchObject({ state: 'leaving', inFlight: 0 })
  expect((await setup.set.acquireSlot(setup.buildSlotRequest()))._unsafeUnwrapErr().kind).toBe('no-target')
})

function setupWithProbes (first: HealthProbeResult['kind']) {
  const probeResult = { kind: first }
  const setup = setupTargetSet(buildService(3), { sendProbe: async () => probeResult })
  return { ...setup, probeResult }
}

test('a restarted target is detected by refused connections followed by a ready probe', async () => {
  const setup = setupWithProbes('ready')
  setup.set.markLeaving(T0, 'answer')
  await setup.clock.advance(50_000)
  expect(setup.set.listTargets()[0]?.state).toBe('leaving')
  setup.probeResult.kind = 'unreachable'
  await setup.clock.advance(12_000)
  setup.probeResult.kind = 'ready'
  await setup.clock.advance(12_000)
  expect(setup.set.listTargets()[0]?.state).toBe('cold')
  // Four slots of each other target, and one slot of the cold target.
  expect(await listSelected(setup, 9)).toContain('t0')
})

test('a host list that has long reported a target live readmits it only together with a ready probe', async () => {
  const setup = setupWithProbes('leaving')
  const advanceSeconds = async (seconds: number) => {
    for (let second = 0; second < seconds; second++) {
      setup.set.updateHosts(buildList({ t0: 'live', t1: 'live', t2: 'live' }))
      await setup.clock.advance(1_000)
    }
  }
  setup.set.updateHosts(buildList({ t0: 'leaving', t1: 'live', t2: 'live' }))
  await advanceSeconds(90)
  expect(setup.set.listTargets()[0]?.state).toBe('leaving')
  setup.probeResult.kind = 'ready'
  await advanceSeconds(15)
  expect(setup.set.listTargets()[0]?.state).toBe('cold')
})

test('a host list that alternates between leaving and live readmits no target', async () => {
  const setup = setupWithProbes('ready')
  for (let second = 0; second < 300; second++) {
    setup.set.updateHosts(buildList({ t0: second % 30 === 0 ? 'leaving' : 'live', t1: 'live', t2: 'live' }))
    await setup.clock.advance(1_000)
  }
  expect(setup.set.listTargets()[0]?.state).toBe('leaving')
})

test('a target whose address changed is a new process and starts cold', () => {
  const setup = setupTargetSet(buildService(3))
  setup.set.markLeaving(T0, 'host-list')
  const moved = buildService(3)
  moved.targets[0] = { ...moved.targets[0]!, port: 9999 }
  setup.set.updateContract(moved)
  expect(setup.set.listTargets()[0]?.state).toBe('cold')
})

test('a leaving target that one contract removes and the next lists again is still leaving', () => {
  const setup = setupTargetSet(buildService(3))
  setup.set.markLeaving(T0, 'answer')
  const without = buildService(3)
  without.targets.shift()
  setup.set.updateContract(without)
  setup.set.updateContract(buildService(3))
  expect(setup.set.listTargets().find((target) => target.id === T0)?.state).toBe('leaving')
})

test('queued requests are rejected at once when the last target leaves', async () => {
  const setup = setupTargetSet(buildService(1, { slotsPerTarget: 1 }))
  await setup.take()
  const waiting = setup.set.acquireSlot(setup.buildSlotRequest())
  setup.set.markLeaving(T0, 'host-list')
  await setup.clock.advance(0)
  expect(setup.set.report().waiting).toBe(0)
  expect((await waiting)._unsafeUnwrapErr().kind).toBe('no-target')
})
