import { expect, test } from 'vitest'
import { createReachFleet } from './support/reach-fleet.ts'
import type { ReachEntry } from './support/reach-fleet.ts'

const FLEET_SIZE = 123
/** From this long after a cut, callers must be served as if it were not there, in ms: `stableWindow` of the platform's rules. */
const STABLE_WINDOW_MS = 3_000
/** Requests for help that an entry may send per second about one service: three others every half second. */
const MAX_REQUESTS_PER_SECOND = 6

function countCutOff (entries: readonly ReachEntry[]): number {
  return entries.filter(({ cutOff }) => cutOff !== 'none').length
}

// Guards against an entry that keeps taking callers while it reaches none of a small service's targets (review/10).
test.each([1, 2, 3, 4, 28])('entries of two zones that are partitioned from all %i targets say so within the stable window, and no other entry does', async (targetCount) => {
  const fleet = createReachFleet({ size: 24, services: { desk: targetCount } })
  await fleet.runLoad({ service: 'desk', perSecond: 8, lengthMs: 1_000 })
  const cut = fleet.entries.filter((_, index) => index % 3 === 0)
  for (const entry of cut) entry.cutFrom.add('desk')
  fleet.runLoad({ service: 'desk', perSecond: 8, lengthMs: 10_000 }).catch((cause: unknown) => { throw cause })
  await fleet.clock.advance(STABLE_WINDOW_MS)
  expect(countCutOff(cut)).toBe(cut.length)
  expect(countCutOff(fleet.entries)).toBe(cut.length)
  await fleet.clock.advance(STABLE_WINDOW_MS)
  expect(cut.every(({ cutOff }) => cutOff === 'total')).toBe(true)
  for (const entry of cut) entry.cutFrom.clear()
  await fleet.clock.advance(STABLE_WINDOW_MS)
  expect(countCutOff(fleet.entries)).toBe(0)
})

test('an entry that is cut off rejects requests at once, and finds out without callers that it can reach the targets again', async () => {
  const fleet = createReachFleet({ size: 4, services: { desk: 3 } })
  const [cut] = fleet.entries
  await fleet.runLoad({ service: 'desk', perSecond: 20, lengthMs: 1_000 })
  cut!.cutFrom.add('desk')
  await fleet.runLoad({ service: 'desk', perSecond: 20, lengthMs: STABLE_WINDOW_MS })
  const during = await fleet.runLoad({ to: [cut!], service: 'desk', perSecond: 20, lengthMs: 1_000 })
  expect(during.every(({ kind, tookMs }) => kind === 'rejected' && tookMs === 0)).toBe(true)
  cut!.cutFrom.clear()
  await fleet.clock.advance(1_000)
  expect(cut!.cutOff).toBe('none')
})

test('with two services of which one has a single target, an entry that is cut off from all targets is cut off as a whole, from one in part', async () => {
  const fleet = createReachFleet({ size: 4, services: { desk: 12, kiosk: 1 } })
  const [total, partial] = fleet.entries
  const runBoth = (lengthMs: number) => Promise.all([fleet.runLoad({ service: 'desk', perSecond: 10, lengthMs }), fleet.runLoad({ service: 'kiosk', perSecond: 2, lengthMs })])
  await runBoth(1_000)
  total!.cutFrom.add('desk').add('kiosk')
  partial!.cutFrom.add('kiosk')
  runBoth(20_000).catch((cause: unknown) => { throw cause })
  await fleet.clock.advance(2 * STABLE_WINDOW_MS)
  expect(fleet.entries.map(({ cutOff }) => cutOff)).toEqual(['total', 'partial', 'none', 'none'])
})

test.each([1, 2, 3, 8])('when all %i targets of a service fail, no entry takes itself for cut off', async (targetCount) => {
  const fleet = createReachFleet({ size: 12, services: { desk: targetCount } })
  await fleet.runLoad({ service: 'desk', perSecond: 20, lengthMs: 1_000 })
  for (const target of fleet.targets) target.isDown = true
  await fleet.runLoad({ service: 'desk', perSecond: 20, lengthMs: 5_000 })
  for (const target of fleet.targets) target.isDown = false
  await fleet.runLoad({ service: 'desk', perSecond: 20, lengthMs: 2_000 })
  expect(fleet.entries.filter(({ cutOffs }) => cutOffs.size > 1)).toEqual([])
})

test('a target that is paused again and again for longer than a probe waits makes no entry take itself for cut off', async () => {
  const fleet = createReachFleet({ size: 8, services: { desk: 1 } })
  const [target] = fleet.targets
  const load = fleet.runLoad({ service: 'desk', perSecond: 20, lengthMs: 12_000 })
  for (let round = 0; round < 12; round++) {
    target!.isDown = round % 2 === 1
    await fleet.clock.advance(300 + round * 70)
  }
  target!.isDown = false
  await fleet.clock.advance(12_000)
  await load
  expect(fleet.entries.filter(({ cutOffs }) => cutOffs.size > 1)).toEqual([])
})

test('an entry is found cut off although targets report no load, so that nothing probes them', async () => {
  const fleet = createReachFleet({ size: 4, services: { desk: 3 }, hasLoadReports: false })
  const [cut] = fleet.entries
  await fleet.runLoad({ service: 'desk', perSecond: 20, lengthMs: 1_000 })
  cut!.cutFrom.add('desk')
  fleet.runLoad({ service: 'desk', perSecond: 20, lengthMs: 10_000 }).catch((cause: unknown) => { throw cause })
  await fleet.clock.advance(STABLE_WINDOW_MS)
  expect(fleet.entries.map(({ cutOff }) => cutOff === 'none')).toEqual([false, true, true, true])
})

test('an entry is found cut off although one in five messages is lost and most entries of the fleet are cut off too', async () => {
  const fleet = createReachFleet({ size: 24, services: { desk: 3 }, lossShare: 0.2 })
  await fleet.runLoad({ service: 'desk', perSecond: 8, lengthMs: 1_000 })
  const cut = fleet.entries.slice(0, 20)
  for (const entry of cut) entry.cutFrom.add('desk')
  fleet.runLoad({ service: 'desk', perSecond: 8, lengthMs: 10_000 }).catch((cause: unknown) => { throw cause })
  await fleet.clock.advance(STABLE_WINDOW_MS)
  expect(countCutOff(fleet.entries)).toBe(cut.length)
  expect(countCutOff(cut)).toBe(cut.length)
})

test('in a large fleet, the failure of a service costs each entry a few messages a second, and nothing before', async () => {
  const fleet = createReachFleet({ size: FLEET_SIZE, services: { desk: 3, kiosk: 2 } })
  await fleet.runLoad({ service: 'kiosk', perSecond: 4, lengthMs: 1_000 })
  expect(fleet.countMessages()).toBe(0)
  for (const target of fleet.targets) target.isDown = target.service === 'kiosk'
  const startedAtMs = fleet.clock.monotonicMs()
  await fleet.runLoad({ service: 'kiosk', perSecond: 4, lengthMs: 3_000 })
  const seconds = (fleet.clock.monotonicMs() - startedAtMs) / 1_000
  expect(fleet.countMessages() / FLEET_SIZE / seconds).toBeLessThanOrEqual(MAX_REQUESTS_PER_SECOND)
  expect(countCutOff(fleet.entries)).toBe(0)
})
