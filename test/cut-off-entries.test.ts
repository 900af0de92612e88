import { Server } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { selectAddresses } from '../src/process/gateway/select-addresses.ts'
import type { MemberStatus } from '../src/process/gossip/member-record.ts'
import type { MemberView } from '../src/process/gossip/gossip-membership.ts'
import { createReachability } from '../src/process/selection/reachability.ts'
import { toBrand } from '../src/types.ts'
import type { TargetId } from '../src/types.ts'
import { startPlatformTarget } from '../stand-ins/platform-target.ts'
import { createModelledService } from './support/modelled-service.ts'
import { sendTo, startGatewayFleet } from './support/gateway-fleet.ts'
import type { GatewayFleet } from './support/gateway-fleet.ts'
import { waitFor } from './support/gateway-system.ts'

const fleets: GatewayFleet[] = []

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

function toTarget (index: number): TargetId {
  return toBrand<TargetId>(`i-${index}`)
}

test('all targets are lost when four cannot be reached and none responds, and no longer when one does', async () => {
  const clock = createTestClock()
  const reachability = createReachability(clock)
  for (let index = 0; index < 3; index++) reachability.recordUnreached(toTarget(index))
  expect(reachability.hasLostAll()).toBe(false)
  reachability.recordUnreached(toTarget(3))
  await clock.advance(100)
  expect(reachability.hasLostAll()).toBe(true)
  reachability.recordReached(toTarget(9))
  expect(reachability.hasLostAll()).toBe(false)
})

test('most targets are lost when three in four cannot be reached, until half of them respond', async () => {
  const clock = createTestClock()
  const reachability = createReachability(clock)
  const record = async (reachedCount: number): Promise<boolean> => {
    for (let index = 0; index < 28; index++) {
      if (index < reachedCount) reachability.recordReached(toTarget(index))
      else reachability.recordUnreached(toTarget(index))
    }
    await clock.advance(100)
    return reachability.hasLostMost()
  }
  const states = []
  for (const reachedCount of [28, 21, 14, 8, 7, 1, 10, 14, 15, 28]) states.push(await record(reachedCount))
  expect(states).toEqual([false, false, false, false, true, true, true, true, false, false])
})

test('results that are old do not count', async () => {
  const clock = createTestClock()
  const reachability = createReachability(clock)
  for (let index = 0; index < 8; index++) reachability.recordUnreached(toTarget(index))
  await clock.advance(3_100)
  expect(reachability.hasLostMost()).toBe(false)
})

test('an entry that is cut off rejects requests at once, also queued ones, and serves again soon after the cut', async () => {
  const service = createModelledService({ targets: 8, slots: 4, slowShare: 0, slowFactor: 1, shiftMs: 1_000, seed: 1 })
  for (const target of service.targets.values()) target.isSilent = true
  const load = service.runLoad({ perSecond: 40, lengthMs: 3_000, workMs: 50, latencyTargetMs: 600, deadlineMs: 1_500 })
  const ended = await load
  const late = ended.filter(({ startedMs }) => startedMs > 1_000)
  expect(late.filter(({ rejectedMs, startedMs }) => rejectedMs !== undefined && rejectedMs - startedMs < 10).length).toBe(late.length)
  for (const target of service.targets.values()) target.isSilent = false
  service.selector.checkReachable()
  await service.clock.advance(100)
  const after = await service.runLoad({ perSecond: 40, lengthMs: 1_000, workMs: 50, latencyTargetMs: 600, deadlineMs: 1_500 })
  expect(after.filter(({ endedMs }) => endedMs !== undefined).length).toBe(after.length)
})

// Guards against sending callers to entries that can serve nothing because most of the fleet is cut off as well.
test('addresses leave out entries that are cut off from all targets, unless all are, and from some services, unless hardly any other is left', () => {
  const createEntries = (cutOffCount: number, status: Partial<MemberStatus>): MemberView[] => Array.from({ length: 8 }, (_, index) => ({
    id: toBrand(`front-${index}`),
    zone: toBrand('a'),
    address: '10.0.0.1',
    port: 1,
    status: { isReady: true, isLeaving: false, isBusy: false, canReadStore: true, isCutOff: false, isPartlyCutOff: false, ...(index < cutOffCount ? status : {}) },
    state: 'live',
    isSelf: false
  }) as MemberView)
  const countSelected = (cutOffCount: number, status: Partial<MemberStatus>): number => selectAddresses({ entries: createEntries(cutOffCount, status), callerZone: undefined, random: Math.random }).length
  expect([0, 2, 6, 7, 8].map((count) => countSelected(count, { isPartlyCutOff: true }))).toEqual([8, 6, 2, 8, 8])
  expect([0, 2, 6, 7, 8].map((count) => countSelected(count, { isCutOff: true }))).toEqual([8, 6, 2, 1, 8])
})

test('an entry whose connections to targets live on while new ones are refused still serves on them', async () => {
  const targets = await Promise.all(Array.from({ length: 6 }, (_, index) => startPlatformTarget(`i-${index}`)))
  const fleet = await startGatewayFleet(targets, 1)
  fleets.push(fleet)
  const [entry] = fleet.entries
  await Promise.all(Array.from({ length: 30 }, () => sendTo(entry!, { path: '/safe/a' })))
  // Unlike that of an HTTP server, this leaves idle connections open.
  for (const { server } of targets) Server.prototype.close.call(server)
  for (let index = 0; index < 10; index++) expect((await sendTo(entry!, { path: '/safe/a' })).status).toBe(200)
})

// Guards against an entry that takes failed targets for a failed network of its own, leaves the addresses and closes its callers' connections.
test('an entry whose targets have all failed does not call itself cut off, and rejects requests with a Retry-After, since no other entry can serve them', async () => {
  const targets = await Promise.all(Array.from({ length: 6 }, (_, index) => startPlatformTarget(`i-${index}`)))
  const fleet = await startGatewayFleet(targets, 1)
  fleets.push(fleet)
  const [entry] = fleet.entries
  for (const { server } of targets) {
    server.close()
    server.closeAllConnections()
  }
  await waitFor(async () => (await sendTo(entry!, { path: '/safe/a' })).text.includes('No entry is known to reach the targets'))
  expect(entry!.log.filter(({ message }) => message.startsWith('Cut off'))).toEqual([])
  const response = await sendTo(entry!, { path: '/unsafe/a', method: 'POST', deadlineMs: 60_000 })
  expect(response.status).toBe(503)
  // The only entry: another attempt is no use before some time has passed.
  expect(response.text).toContain('No entry is known to reach the targets')
  expect(Number(/retry-after: ([\d.]+)/.exec(response.text)?.[1])).toBeGreaterThanOrEqual(0.2)
})
