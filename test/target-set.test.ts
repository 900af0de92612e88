import { expect, test } from 'vitest'
import { buildService, setupTargetSet, toEntryIds, toTargetId } from './support/target-service.ts'

test('requests go to the least loaded target and never exceed its slots', async () => {
  const { set, take, buildSlotRequest } = setupTargetSet(buildService(3))
  for (let count = 0; count < 12; count++) await take()
  expect(set.listTargets().map((target) => target.inFlight)).toEqual([4, 4, 4])
  const refused = await set.acquireSlot(buildSlotRequest({ canWait: false }))
  expect(refused._unsafeUnwrapErr().kind).toBe('queue-full')
})

test('the home slots of each target add up to its slots, and an idle entry selects one of its own first', async () => {
  const entries = toEntryIds('e0', 'e1', 'e2')
  const homeSlots = new Map<string, number>()
  for (const self of entries) {
    const { take, set } = setupTargetSet(buildService(6), { self, entries })
    for (const target of set.listTargets()) homeSlots.set(target.id, (homeSlots.get(target.id) ?? 0) + target.homeSlots)
    const first = await take()
    expect(set.listTargets().find((target) => target.id === first.target.id)?.homeSlots).toBeGreaterThan(0)
  }
  expect([...homeSlots.values()]).toEqual([4, 4, 4, 4, 4, 4])
})

test('waiting requests are served in the order of their deadlines', async () => {
  const { set, take, buildSlotRequest, clock } = setupTargetSet(buildService(1, { slotsPerTarget: 1 }))
  const first = await take()
  const served: string[] = []
  const waitFor = async (name: string, deadlineMs: number) => {
    const slot = await set.acquireSlot(buildSlotRequest({ deadlineMs }))
    served.push(name)
    slot._unsafeUnwrap().release({ kind: 'answered', status: 200, firstByteMs: 20 })
  }
  const waits = [waitFor('late', 400), waitFor('early', 200), waitFor('middle', 300)]
  first.release({ kind: 'answered', status: 200, firstByteMs: 20 })
  await clock.advance(0)
  await Promise.all(waits)
  expect(served).toEqual(['early', 'middle', 'late'])
})

test('a wait for a slot ends with the right error: full queue, queue timeout, deadline, caller disconnected', async () => {
  const { set, take, buildSlotRequest, clock } = setupTargetSet(buildService(1, { slotsPerTarget: 1, queue: { longest: 3, longestWaitMs: 500 } }))
  await take()
  const disconnect = new AbortController()
  const byWait = set.acquireSlot(buildSlotRequest({ deadlineMs: 10_000 }))
  const byDeadline = set.acquireSlot(buildSlotRequest({ deadlineMs: 300 }))
  const byDisconnect = set.acquireSlot(buildSlotRequest({ signal: disconnect.signal }))
  expect((await set.acquireSlot(buildSlotRequest()))._unsafeUnwrapErr().kind).toBe('queue-full')
  disconnect.abort()
  expect((await byDisconnect)._unsafeUnwrapErr().kind).toBe('deadline-passed')
  expect(set.report().waiting).toBe(2)
  await clock.advance(300)
  expect((await byDeadline)._unsafeUnwrapErr().kind).toBe('deadline-passed')
  await clock.advance(200)
  expect((await byWait)._unsafeUnwrapErr().kind).toBe('queue-timeout')
  expect(set.report().waiting).toBe(0)
})

test('a retry never goes to a target that was tried, and fails with `no-target` when none is left', async () => {
  const { set, take, buildSlotRequest } = setupTargetSet(buildService(2))
  const first = await take()
  const second = await take({ exclude: new Set([first.target.id]) })
  expect(second.target.id).not.toBe(first.target.id)
  const none = await set.acquireSlot(buildSlotRequest({ exclude: new Set([toTargetId('t0'), toTargetId('t1')]) }))
  expect(none._unsafeUnwrapErr().kind).toBe('no-target')
})

test('releasing a slot twice has no further effect', async () => {
  const { set, take } = setupTargetSet(buildService(1))
  const slot = await take()
  await take()
  slot.release({ kind: 'answered', status: 200, firstByteMs: 20 })
  slot.release({ kind: 'answered', status: 200, firstByteMs: 20 })
  expect(set.listTargets()[0]?.inFlight).toBe(1)
})

test.each([['all are live', ['e0', 'e1', 'e2', 'e3']], ['it takes itself to be the only one', ['e0']]])('an entry stays within its share of a target\'s connections when %s', async (_, live) => {
  const { set, take, buildSlotRequest } = setupTargetSet(buildService(1, { connectionsPerTarget: 8 }), { entries: toEntryIds(...live), maxEntries: 4 })
  await take()
  await take()
  expect((await set.acquireSlot(buildSlotRequest({ canWait: false })))._unsafeUnwrapErr().kind).toBe('queue-full')
})

test('long transfers occupy no slots: other requests are served meanwhile, and each slot is released once', async () => {
  const { set, take, clock } = setupTargetSet(buildService(1, { slotsPerTarget: 2 }))
  const downloads = [await take(), await take()]
  const waiting = take()
  await clock.advance(0)
  expect(set.report().waiting).toBe(1)
  for (const download of downloads) {
    download.startTransfer()
    download.startTransfer()
  }
  const status = await waiting
  expect(set.listTargets()[0]?.inFlight).toBe(1)
  for (const download of downloads) download.release({ kind: 'answered', status: 200, firstByteMs: 20 })
  status.release({ kind: 'answered', status: 200, firstByteMs: 20 })
  expect(set.listTargets()[0]?.inFlight).toBe(0)
})
