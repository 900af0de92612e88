import { afterEach, beforeEach, expect, test } from 'vitest'
import { buildCheckpoint } from '../src/process/contracts/checkpoint-writer.ts'
import type { ContractRecord } from '../src/process/contracts/contract-state.ts'
import { toBrand } from '../src/types.ts'
import type { Nonce, Offset } from '../src/types.ts'
import { foldPublish } from '../src/version/contract-fold.ts'
import type { FoldState } from '../src/version/contract-fold.ts'
import { decodeStreamRecord, encodeStreamRecord, encodeText } from '../src/version/contract-record.ts'
import type { CheckpointRecord, PublishRecord } from '../src/version/contract-record.ts'
import { CONTRACTS, createFollowerWorld, createPublishRecord } from './support/contract-followers.ts'

const EAGER = { checkpointEveryRecords: 3 }
const SECOND_MS = 1_000
const START = toBrand<Offset>(0)
let world: ReturnType<typeof createFollowerWorld>

beforeEach(() => { world = createFollowerWorld() })
afterEach(() => world.close())

function readLog (): ContractRecord[] {
  const { earliest, next } = world.fake.store.readBounds(CONTRACTS)
  return world.fake.store.readRecords(CONTRACTS, earliest, next)?.records ?? []
}

function listTypes (): string[] {
  return readLog().map(({ data }) => decodeStreamRecord(data).match((record) => record.type, () => 'skipped'))
}

/** Builds the checkpoint of a state in which version 1 is another contract than on the log. */
function createWrongCheckpoint (coversTo: Offset): CheckpointRecord[] {
  const state: FoldState = new Map()
  const forged = createPublishRecord({ requestsPerSecond: 999 })
  if (forged.type === 'contract') foldPublish(state, { ...forged, nonce: toBrand<Nonce>('forged') }, START)
  return buildCheckpoint(state, coversTo, 'somebody', 'wrong')
}

test('a blank entry starts from a peer during an outage, and the log confirms it afterwards', async () => {
  world.appendVersions(3)
  const peer = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.fake.setOutage(true)
  const blank = world.startFollower()
  await world.clock.advance(SECOND_MS)
  expect(blank.getVersion()).toBe(0)
  expect(blank.addPeerRecords(START, peer.listRecords(START))).toBe(3)
  await blank.waitUntilReady()
  expect(blank.getVersion()).toBe(3)
  expect(blank.getVerifiedOffset()).toBe(0)
  world.fake.setOutage(false)
  await world.clock.advance(SECOND_MS)
  expect(blank.getVerifiedOffset()).toBe(3)
  expect(blank.listReasons('peer-records-refused')).toEqual([])
})

test('a peer\'s records that do not follow on are not taken', async () => {
  world.appendVersions(3)
  const peer = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.fake.setOutage(true)
  const blank = world.startFollower()
  expect(blank.addPeerRecords(toBrand<Offset>(1), peer.listRecords(toBrand<Offset>(1)))).toBe(0)
  expect(blank.getNextOffset()).toBe(0)
})

test('what a peer made up goes when the log can be read again', async () => {
  world.appendVersions(1)
  const follower = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.fake.setOutage(true)
  const forged = { offset: toBrand<Offset>(1), data: encodeStreamRecord(createPublishRecord({ version: 2, requestsPerSecond: 999 })) }
  expect(follower.addPeerRecords(forged.offset, [forged])).toBe(1)
  expect(follower.getVersion()).toBe(2)
  world.appendRecord(createPublishRecord({ version: 2, requestsPerSecond: 7 }))
  world.fake.setOutage(false)
  await world.clock.advance(5 * SECOND_MS)
  expect(follower.listReasons('peer-records-refused')).toEqual(['the log holds another record at this offset'])
  expect(follower.listContracts()[0]?.newest.contract.limits.requestsPerSecond).toBe(7)
})

test('a peer that left a record out is found out by the log', async () => {
  world.appendVersions(3)
  world.fake.setOutage(true)
  const follower = world.startFollower()
  follower.addPeerRecords(START, readLog().filter(({ offset }) => offset !== 1))
  expect(follower.getVersion()).toBe(1)
  world.fake.setOutage(false)
  await world.clock.advance(5 * SECOND_MS)
  expect(follower.listReasons('peer-records-refused')).toHaveLength(1)
  expect(follower.getVersion()).toBe(3)
})

test('a peer that holds other bytes for a known offset is refused as a whole', async () => {
  world.appendVersions(2)
  const follower = world.startFollower()
  await world.clock.advance(SECOND_MS)
  const other = { offset: toBrand<Offset>(1), data: encodeStreamRecord(createPublishRecord({ version: 2, requestsPerSecond: 999 })) }
  const next = { offset: toBrand<Offset>(2), data: encodeStreamRecord(createPublishRecord({ version: 3 })) }
  expect(follower.addPeerRecords(other.offset, [other, next])).toBe(0)
  expect(follower.listReasons('peer-records-refused')).toEqual(['this entry holds another record at this offset'])
})

test('one entry writes a checkpoint, another confirms it, and a blank entry starts from it', async () => {
  world.appendVersions(4)
  const writer = world.startFollower({ ...EAGER, writer: 'a' })
  const voter = world.startFollower({ writer: 'b' })
  await world.clock.advance(5 * SECOND_MS)
  expect(listTypes().slice(4)).toEqual(['checkpoint', 'checkpoint-vote'])
  world.fake.store.dropBefore(CONTRACTS, toBrand<Offset>(4))
  const blank = world.startFollower()
  await world.clock.advance(SECOND_MS)
  expect([writer, voter, blank].map((follower) => follower.getVersion())).toEqual([4, 4, 4])
  world.appendRecord(createPublishRecord({ version: 5 }))
  await world.clock.advance(SECOND_MS)
  expect(blank.getVersion()).toBe(5)
})

test('a blank entry starts from a peer\'s checkpoint, but not from a part of it', async () => {
  world.appendVersions(4)
  const peer = world.startFollower(EAGER)
  await world.clock.advance(5 * SECOND_MS)
  world.fake.setOutage(true)
  const records = peer.listRecords(START)
  expect(decodeStreamRecord(records[0]?.data ?? new Uint8Array())._unsafeUnwrap().type).toBe('checkpoint')
  const halved = buildCheckpoint(new Map(), toBrand<Offset>(4), 'x', 'halved').map((part) => ({ ...part, parts: 2 }))
  const [half] = halved.map((part) => ({ offset: toBrand<Offset>(4), data: encodeStreamRecord(part) }))
  const next = { offset: toBrand<Offset>(5), data: encodeStreamRecord(createPublishRecord({ version: 5 })) }
  const blank = world.startFollower()
  expect(blank.addPeerRecords(START, half ? [half, next] : [])).toBe(0)
  expect(blank.getNextOffset()).toBe(0)
  expect(blank.addPeerRecords(START, records)).toBeGreaterThan(0)
  expect(blank.getVersion()).toBe(4)
  world.fake.setOutage(false)
  await world.clock.advance(2 * SECOND_MS)
  expect(blank.getVerifiedOffset()).toBe(peer.getNextOffset())
})

test('a wrong checkpoint is refused by those who hold the records, and a blank entry passes it over', async () => {
  world.appendVersions(3)
  const holder = world.startFollower({ writer: 'holder' })
  await world.clock.advance(SECOND_MS)
  for (const part of createWrongCheckpoint(toBrand<Offset>(3))) world.appendRecord(part)
  await world.clock.advance(SECOND_MS)
  expect(holder.listReasons('checkpoint-refused')).toEqual(['checkpoint wrong by somebody differs from the records'])
  expect(listTypes().slice(3)).toEqual(['checkpoint', 'checkpoint-vote'])
  const blank = world.startFollower({ scanLength: 2 })
  await world.clock.advance(SECOND_MS)
  expect(blank.getVersion()).toBe(3)
})

test('an entry that started from a wrong checkpoint reads anew once others have refused it', async () => {
  world.appendVersions(3)
  for (const part of createWrongCheckpoint(toBrand<Offset>(3))) world.appendRecord(part)
  const misled = world.startFollower({ scanLength: 2 })
  await world.clock.advance(SECOND_MS)
  expect(misled.listContracts()[0]?.newest.contract.limits.requestsPerSecond).toBe(999)
  world.startFollower({ writer: 'holder', scanLength: 100 })
  await world.clock.advance(SECOND_MS)
  world.appendRecord({ type: 'checkpoint-vote', v: 1, id: 'wrong', writer: 'holder', isRight: false })
  await world.clock.advance(SECOND_MS)
  expect(misled.getVersion()).toBe(3)
  expect(misled.listReasons('contracts-reloaded')).toEqual(['other entries found the checkpoint wrong that this one started from'])
})

test('when every record has aged out, the entries that know the state write it again', async () => {
  world.appendVersions(2)
  const holder = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.fake.store.dropBefore(CONTRACTS, toBrand<Offset>(2))
  const blank = world.startFollower()
  await world.clock.advance(10 * SECOND_MS)
  expect(listTypes()).toEqual(['checkpoint'])
  expect([holder.getVersion(), blank.getVersion()]).toEqual([2, 2])
})

test('a follower that slept past the retention reloads and does not go back', async () => {
  world.appendVersions(1)
  const sleeper = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.fake.setOutage(true)
  await world.clock.advance(SECOND_MS)
  for (let version = 2; version <= 5; version++) world.appendRecord(createPublishRecord({ version }))
  world.fake.setOutage(false)
  world.startFollower({ ...EAGER, scanLength: 100 })
  await world.clock.advance(0)
  const seen: number[] = []
  sleeper.watchContracts(({ version }) => seen.push(version))
  await world.clock.advance(5 * SECOND_MS)
  world.fake.store.dropBefore(CONTRACTS, toBrand<Offset>(5))
  await world.clock.advance(5 * SECOND_MS)
  expect(sleeper.getVersion()).toBe(5)
  expect(seen).toEqual([...seen].sort())
})

test('a scheduled version comes into force at its date, and a clock that jumps back changes nothing', async () => {
  let jumpMs = 0
  const clock = { ...world.clock, wallMs: () => world.clock.wallMs() + jumpMs }
  const follower = world.startFollower({ clock })
  const inTenSeconds = new Date(world.clock.wallMs() + 10 * SECOND_MS).toISOString()
  world.appendRecord(createPublishRecord({ version: 1 }))
  world.appendRecord(createPublishRecord({ version: 2, effectiveAt: inTenSeconds }))
  await world.clock.advance(9_999)
  expect(follower.getVersion()).toBe(1)
  await world.clock.advance(1)
  expect(follower.getVersion()).toBe(2)
  jumpMs = -60 * SECOND_MS
  world.appendRecord(createPublishRecord({ version: 3, effectiveAt: new Date(world.clock.wallMs() + 60 * SECOND_MS).toISOString() }))
  await world.clock.advance(SECOND_MS)
  expect(follower.getVersion()).toBe(2)
})

test('malformed, foreign, oversized and deeply nested records are skipped by every reader and told', async () => {
  const follower = world.startFollower()
  await world.clock.advance(SECOND_MS)
  const broken = { ...createPublishRecord(), nonce: toBrand<Nonce>('b') } as PublishRecord
  world.fake.store.appendRecord(CONTRACTS, Uint8Array.of(0xff, 0x9f))
  world.fake.store.appendRecord(CONTRACTS, new Uint8Array(1_048_577))
  world.appendRecord({ ...broken, v: 2 } as never)
  world.appendRecord({ ...broken, extra: 1 } as never)
  world.appendRecord({ ...broken, packed: Uint8Array.of(1, 2, 3) })
  world.appendRecord({ ...broken, packed: encodeText('['.repeat(1_000_000)) })
  world.appendRecord({ ...broken, packed: encodeText('{') })
  world.appendVersions(1)
  await world.clock.advance(SECOND_MS)
  expect(follower.getVersion()).toBe(1)
  expect(follower.listReasons('record-skipped')).toEqual(['not readable', 'larger than 1048576 bytes', 'not a record of this stream', 'not a record of this stream'])
  expect(follower.listReasons('contract-rejected')).toEqual([
    'the text is damaged or larger than 8388608 bytes',
    'line 1, column 33: nests deeper than 32 levels',
    expect.stringContaining('not JSON with comments')
  ])
})

test('a change based on another change than the accepted one is rejected with the winner\'s name', async () => {
  const follower = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.appendVersions(2)
  world.appendRecord({ ...createPublishRecord({ version: 2, requestsPerSecond: 5 }), nonce: 'late' } as never)
  world.appendRecord({ ...createPublishRecord({ version: 3 }), basedOnNonce: 'other' } as never)
  world.appendRecord(createPublishRecord({ version: 2 }))
  await world.clock.advance(SECOND_MS)
  expect(follower.listReasons('contract-rejected')).toEqual([
    'based on version 1, but version 2 by op was accepted first, at offset 1',
    'based on another change than the accepted one: version 2 by op was accepted first, at offset 1'
  ])
})
