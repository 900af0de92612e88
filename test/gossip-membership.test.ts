import { expect, test } from 'vitest'
import { createFleet, PROBE_INTERVAL_MS } from './support/gossip-fleet.ts'
import type { Fleet, FleetMember } from './support/gossip-fleet.ts'

/** Time within which a fleet that starts at once must be complete in each view. */
const JOIN_MS = 6_000
/** A failed member must be suspected by all within this time, whatever the size of the fleet. */
const MAX_DETECTION_MS = 4_000
const SIZES = [7, 38, 123]

function countComplete ({ members }: Fleet): number {
  const running = members.filter(({ isStopped }) => !isStopped)
  return running.filter(({ membership }) => membership.listMembers().filter(({ state }) => state === 'live').length === running.length).length
}

function stop (member: FleetMember): void {
  member.isStopped = true
  member.membership.close()
}

for (const size of SIZES) {
  test(`${size} members that start at once, each knowing three addresses, all see each other`, async () => {
    const fleet = createFleet(size, { lossShare: 0.01 })
    await fleet.clock.advance(JOIN_MS)
    expect(countComplete(fleet)).toBe(size)
  })

  test(`a failed one of ${size} members is no longer live in any view within a time that does not grow with the fleet`, async () => {
    const fleet = createFleet(size, { lossShare: 0.01 })
    await fleet.clock.advance(JOIN_MS)
    const failed = fleet.members[2]!
    stop(failed)
    await fleet.clock.advance(MAX_DETECTION_MS)
    expect(fleet.countViews(failed, 'live')).toBe(0)
    await fleet.clock.advance(2 * MAX_DETECTION_MS)
    expect(fleet.countViews(failed, 'gone')).toBe(size - 1)
  })
}

test('a member of 123 sends no more messages at rest than one of 7', async () => {
  const rates: number[] = []
  for (const size of [7, 123]) {
    const fleet = createFleet(size)
    await fleet.clock.advance(4 * JOIN_MS)
    const before = fleet.members.reduce((sum, { sentCount }) => sum + sentCount, 0)
    await fleet.clock.advance(JOIN_MS)
    const sent = fleet.members.reduce((sum, { sentCount }) => sum + sentCount, 0) - before
    rates.push(sent / size / (JOIN_MS / 1_000))
  }
  expect(rates[1]).toBeLessThan(1.2 * rates[0]!)
  expect(rates[1]).toBeLessThan(2.5 * 1_000 / PROBE_INTERVAL_MS)
})

test('no member of a fleet that loses 5% of its datagrams is ever taken for gone', async () => {
  const fleet = createFleet(38, { lossShare: 0.05 })
  await fleet.clock.advance(JOIN_MS)
  for (let second = 0; second < 20; second++) {
    await fleet.clock.advance(1_000)
    for (const member of fleet.members) expect(fleet.countViews(member, 'gone')).toBe(0)
  }
})

test('a member whose datagrams reach only some others directly stays live', async () => {
  const fleet = createFleet(12)
  await fleet.clock.advance(JOIN_MS)
  const member = fleet.members[3]!
  const { handleMessage } = member.membership
  // Messages of two others never reach it.
  member.membership.handleMessage = (message) => { if (!['front-4', 'front-5'].includes(message.from.id)) handleMessage(message) }
  for (let second = 0; second < 15; second++) {
    await fleet.clock.advance(1_000)
    expect(fleet.countViews(member, 'gone')).toBe(0)
  }
})

test('a member that can send but not receive is gone in all views, and back once it receives', async () => {
  const fleet = createFleet(12)
  await fleet.clock.advance(JOIN_MS)
  const member = fleet.members[3]!
  member.isReceiveCut = true
  await fleet.clock.advance(2 * MAX_DETECTION_MS)
  expect(fleet.countViews(member, 'live')).toBe(0)
  member.isReceiveCut = false
  await fleet.clock.advance(JOIN_MS)
  expect(fleet.countViews(member, 'live')).toBe(11)
})

test('a member that was cut off takes no others for gone in the views of the rest when it is back', async () => {
  const fleet = createFleet(38)
  await fleet.clock.advance(JOIN_MS)
  const member = fleet.members[3]!
  const others = fleet.members.filter((other) => other !== member)
  member.isReceiveCut = true
  member.isSendCut = true
  await fleet.clock.advance(4 * MAX_DETECTION_MS)
  member.isReceiveCut = false
  member.isSendCut = false
  for (let step = 0; step < 20; step++) {
    await fleet.clock.advance(PROBE_INTERVAL_MS)
    for (const view of others) expect(view.membership.listMembers().filter(({ state, id }) => state === 'gone' && id !== member.id)).toEqual([])
  }
  await fleet.clock.advance(JOIN_MS)
  expect(countComplete(fleet)).toBe(38)
})

test('two halves that were cut from each other find each other again', async () => {
  const fleet = createFleet(12, { zoneCount: 2 })
  await fleet.clock.advance(JOIN_MS)
  for (const [index, { membership }] of fleet.members.entries()) {
    const { handleMessage } = membership
    membership.handleMessage = (message) => { if (isWhole || Number(message.from.id.slice('front-'.length)) % 2 === index % 2) handleMessage(message) }
  }
  let isWhole = false
  await fleet.clock.advance(4 * MAX_DETECTION_MS)
  expect(fleet.countViews(fleet.members[0]!, 'gone')).toBe(6)
  isWhole = true
  await fleet.clock.advance(4 * JOIN_MS)
  expect(countComplete(fleet)).toBe(12)
})

test('a member that was paused suspects nobody for the time of its pause, and contradicts its own suspicion', async () => {
  const fleet = createFleet(12)
  await fleet.clock.advance(JOIN_MS)
  const member = fleet.members[3]!
  member.isPaused = true
  await fleet.clock.advance(5_000)
  expect(fleet.countViews(member, 'live')).toBe(0)
  fleet.resume(member)
  await fleet.clock.advance(1)
  expect(member.membership.listMembers().filter(({ state }) => state !== 'live')).toEqual([])
  await fleet.clock.advance(JOIN_MS)
  expect(countComplete(fleet)).toBe(12)
})

test('a member that restarts is live again in all views, also when its clock was set back', async () => {
  for (const run of [2, 0]) {
    const fleet = createFleet(12)
    await fleet.clock.advance(JOIN_MS)
    stop(fleet.members[3]!)
    await fleet.clock.advance(1_000)
    const restarted = fleet.startMember(3, run, [0, 1])
    await fleet.clock.advance(JOIN_MS)
    expect(fleet.countViews(restarted, 'live')).toBe(11)
    expect(countComplete(fleet)).toBe(12)
  }
})

test('a fleet that restarts as a whole is complete again', async () => {
  const size = 38
  const fleet = createFleet(size, { lossShare: 0.01 })
  await fleet.clock.advance(JOIN_MS)
  for (const member of [...fleet.members]) stop(member)
  await fleet.clock.advance(1_000)
  for (let index = 0; index < size; index++) fleet.startMember(index, 2, [(index + 1) % size, (index + 5) % size])
  await fleet.clock.advance(JOIN_MS)
  expect(countComplete(fleet)).toBe(size)
})

test('a member whose contacts are all dead joins once another knows its address', async () => {
  const fleet = createFleet(6)
  await fleet.clock.advance(JOIN_MS)
  const late = fleet.startMember(6, 1, [90, 91, 92])
  await fleet.clock.advance(JOIN_MS)
  expect(late.membership.countMembers()).toBe(1)
  fleet.members[0]!.membership.addContacts([{ address: late.address, port: 7_660 }])
  await fleet.clock.advance(JOIN_MS)
  expect(countComplete(fleet)).toBe(7)
})

test('a member that leaves is leaving in all views at once, stays so, and is then gone without suspicion', async () => {
  const fleet = createFleet(38)
  await fleet.clock.advance(JOIN_MS)
  const member = fleet.members[3]!
  member.membership.setStatus({ isLeaving: true })
  await fleet.clock.advance(20)
  expect(fleet.countViews(member, 'leaving')).toBe(37)
  member.membership.setStatus({ isLeaving: false })
  await fleet.clock.advance(3_000)
  expect(fleet.countViews(member, 'leaving')).toBe(37)
  stop(member)
  await fleet.clock.advance(MAX_DETECTION_MS)
  expect(fleet.countViews(member, 'gone')).toBe(37)
})

test('a broadcast reaches all members of all zones, and each zone by one message from outside', async () => {
  const fleet = createFleet(123)
  await fleet.clock.advance(JOIN_MS)
  const [origin] = fleet.members as [FleetMember]
  const before = origin.sentCount
  origin.membership.broadcast({ topic: 't' })
  const ownZone = fleet.members.filter((_, index) => index % 6 === 0).length
  expect(origin.sentCount - before).toBe(ownZone - 1 + 5)
  await fleet.clock.advance(20)
  expect(fleet.members.filter((member) => member !== origin).map(({ received }) => received.length)).toEqual(new Array(122).fill(1))
})

test('views differ by at most the members that just started when many start at once', async () => {
  const fleet = createFleet(30)
  await fleet.clock.advance(JOIN_MS)
  for (let index = 30; index < 123; index++) fleet.startMember(index, 1, [index % 30, (index * 7) % 30])
  await fleet.clock.advance(JOIN_MS)
  expect(Math.min(...fleet.members.map(({ membership }) => membership.countMembers()))).toBe(123)
})

// Guards against an old message that counts as new because the member that passes it on was paused.
test('a broadcast that waited at a member that was paused says so to all that it reaches', async () => {
  const PAUSE_MS = 1_000
  const fleet = createFleet(4, { zoneCount: 2 })
  await fleet.clock.advance(JOIN_MS)
  const [origin, ...others] = fleet.members as [FleetMember, ...FleetMember[]]
  const inOtherZone = others.filter((_, index) => index % 2 === 0)
  for (const member of inOtherZone) member.isPaused = true
  origin.membership.broadcast({ topic: 't' })
  await fleet.clock.advance(PAUSE_MS)
  for (const member of inOtherZone) fleet.resume(member)
  await fleet.clock.advance(20)
  expect(inOtherZone.map(({ received }) => received.length)).toEqual([1, 1])
  for (const { receivedDelaysMs } of inOtherZone) expect(receivedDelaysMs[0]).toBeGreaterThan(PAUSE_MS - 10)
})
