import { expect, test } from 'vitest'
import { buildService, setupTargetSet, toEntryIds, toTargetId } from './support/target-service.ts'

test('work spreads to the least loaded target and never past the bound', async () => {
  const { set, take, buildWish } = setupTargetSet(buildService(3))
  for (let count = 0; count < 12; count++) await take()
  expect(set.listTargets().map((target) => target.inFlight)).toEqual([4, 4, 4])
  const refused = await set.takeSlot(buildWish({ mayWait: false }))
  expect(refused._unsafeUnwrapErr().kind).toBe('queue-full')
})

test('the slots of every target are dealt out whole, and an idle entry begins with its own', async () => {
  const entries = toEntryIds('e0', 'e1', 'e2')
  const dealt = new Map<string, number>()
  for (const self of entries) {
    const { take, set } = setupTargetSet(buildService(6), { self, entries })
    for (const target of set.listTargets()) dealt.set(target.id, (dealt.get(target.id) ?? 0) + target.homeSlots)
    const first = await take()
    expect(set.listTargets().find((target) => target.id === first.target.id)?.homeSlots).toBeGreaterThan(0)
  }
  expect([...dealt.values()]).toEqual([4, 4, 4, 4, 4, 4])
})

test('waiting requests are served in the order of their deadlines', async () => {
  const { set, take, buildWish, clock } = setupTargetSet(buildService(1, { slotsPerTarget: 1 }))
  const first = await take()
  const served: string[] = []
  const waitFor = async (name: string, deadlineMs: number) => {
    const slot = await set.takeSlot(buildWish({ deadlineMs }))
    served.push(name)
    slot._unsafeUnwrap().release({ kind: 'answered', status: 200, firstByteMs: 20 })
  }
  const waits = [waitFor('late', 400), waitFor('early', 200), waitFor('middle', 300)]
  first.release({ kind: 'answered', status: 200, firstByteMs: 20 })
  await clock.advance(0)
  await Promise.all(waits)
  expect(served).toEqual(['early', 'middle', 'late'])
})

test('a wait ends truthfully: full queue, longest wait, deadline and caller gone', async () => {
  const { set, take, buildWish, clock } = setupTargetSet(buildService(1, { slotsPerTarget: 1, queue: { longest: 3, longestWaitMs: 500 } }))
  await take()
  const leave = new AbortController()
  const byWait = set.takeSlot(buildWish({ deadlineMs: 10_000 }))
  const byDeadline = set.takeSlot(buildWish({ deadlineMs: 300 }))
  const byLeaving = set.takeSlot(buildWish({ signal: leave.signal }))
  expect((await set.takeSlot(buildWish()))._unsafeUnwrapErr().kind).toBe('queue-full')
  leave.abort()
  expect((await byLeaving)._unsafeUnwrapErr().kind).toBe('deadline-passed')
  expect(set.report().waiting).toBe(2)
  await clock.advance(300)
  expect((await byDeadline)._unsafeUnwrapErr().kind).toBe('deadline-passed')
  await clock.advance(200)
  expect((await byWait)._unsafeUnwrapErr().kind).toBe('queue-timeout')
  expect(set.report().waiting).toBe(0)
})

test('a retry never lands on a target that was tried, and says so when none is left', async () => {
  const { set, take, buildWish } = setupTargetSet(buildService(2))
  const first = await take()
  const second = await take({ exclude: new Set([first.target.id]) })
  expect(second.target.id).not.toBe(first.target.id)
  const none = await set.takeSlot(buildWish({ exclude: new Set([toTargetId('t0'), toTargetId('t1')]) }))
  expect(none._unsafeUnwrapErr().kind).toBe('no-target')
})

test('a slot that is released twice counts once', async () => {
  const { set, take } = setupTargetSet(buildService(1))
  const slot = await take()
  await take()
  slot.release({ kind: 'answered', status: 200, firstByteMs: 20 })
  slot.release({ kind: 'answered', status: 200, firstByteMs: 20 })
  expect(set.listTargets()[0]?.inFlight).toBe(1)
})

test.each([['all are live', ['e0', 'e1', 'e2', 'e3']], ['it believes itself alone', ['e0']]])('an entry keeps to its share of a target\'s connections when %s', async (_, live) => {
  const { set, take, buildWish } = setupTargetSet(buildService(1, { connectionsPerTarget: 8 }), { entries: toEntryIds(...live), largestEntries: 4 })
  await take()
  await take()
  expect((await set.takeSlot(buildWish({ mayWait: false })))._unsafeUnwrapErr().kind).toBe('queue-full')
})

test('long transfers hold no slots: others are served meanwhile, and each slot is given back once', async () => {
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
