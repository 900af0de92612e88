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

/** Builds a checkpoint of a state in which version 1 differs from the contract on the log. */
function createWrongCheckpoint (coversTo: Offset): CheckpointRecord[] {
  const state: FoldState = new Map()
  const forged = createPublishRecord({ requestsPerSecond: 999 })
  if (forged.type === 'contract') foldPublish(state, { ...forged, nonce: toBrand<Nonce>('forged') }, START)
  return buildCheckpoint(state, coversTo, 'somebody', 'wrong')
}

test('a new entry starts from a peer during an outage, and verifies the records against the log afterwards', async () => {
  world.appendVersions(3)
  const peer = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.fake.setOutage(true)
  const newEntry = world.startFollower()
  await world.clock.advance(SECOND_MS)
  expect(newEntry.getVersion()).toBe(0)
  expect(newEntry.addPeerRecords(START, peer.listRecords(START))).toBe(3)
  await newEntry.waitUntilReady()
  expect(newEntry.getVersion()).toBe(3)
  expect(newEntry.getVerifiedOffset()).toBe(0)
  world.fake.setOutage(false)
  await world.clock.advance(SECOND_MS)
  expect(newEntry.getVerifiedOffset()).toBe(3)
  expect(newEntry.listReasons('peer-records-refused')).toEqual([])
})

test('peer records that leave a gap are not applied', async () => {
  world.appendVersions(3)
  const peer = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.fake.setOutage(true)
  const newEntry = world.startFollower()
  expect(newEntry.addPeerRecords(toBrand<Offset>(1), peer.listRecords(toBrand<Offset>(1)))).toBe(0)
  expect(newEntry.getNextOffset()).toBe(0)
})

test('a contract that a peer forged is removed once the log can be read', async () => {
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

test('a record that a peer omitted is detected once the log can be read', async () => {
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

test('all records of a peer are rejected when one differs from a known record', async () => {
  world.appendVersions(2)
  const follower = world.startFollower()
  await world.clock.advance(SECOND_MS)
  const other = { offset: toBrand<Offset>(1), data: encodeStreamRecord(createPublishRecord({ version: 2, requestsPerSecond: 999 })) }
  const next = { offset: toBrand<Offset>(2), data: encodeStreamRecord(createPublishRecord({ version: 3 })) }
  expect(follower.addPeerRecords(other.offset, [other, next])).toBe(0)
  expect(follower.listReasons('peer-records-refused')).toEqual(['this entry holds another record at this offset'])
})

test('one entry writes a checkpoint, another approves it, and a new entry starts from it', async () => {
  world.appendVersions(4)
  const writer = world.startFollower({ ...EAGER, writer: 'a' })
  const voter = world.startFollower({ writer: 'b' })
  await world.clock.advance(5 * SECOND_MS)
  expect(listTypes().slice(4)).toEqual(['checkpoint', 'checkpoint-vote'])
  world.fake.store.dropBefore(CONTRACTS, toBrand<Offset>(4))
  const newEntry = world.startFollower()
  await world.clock.advance(SECOND_MS)
  expect([writer, voter, newEntry].map((follower) => follower.getVersion())).toEqual([4, 4, 4])
  world.appendRecord(createPublishRecord({ version: 5 }))
  await world.clock.advance(SECOND_MS)
  expect(newEntry.getVersion()).toBe(5)
})

test('a new entry starts from a peer\'s checkpoint, but not from an incomplete one', async () => {
  world.appendVersions(4)
  const peer = world.startFollower(EAGER)
  await world.clock.advance(5 * SECOND_MS)
  world.fake.setOutage(true)
  const records = peer.listRecords(START)
  expect(decodeStreamRecord(records[0]?.data ?? new Uint8Array())._unsafeUnwrap().type).toBe('checkpoint')
  const incomplete = buildCheckpoint(new Map(), toBrand<Offset>(4), 'x', 'halved').map((part) => ({ ...part, parts: 2 }))
  const [firstPart] = incomplete.map((part) => ({ offset: toBrand<Offset>(4), data: encodeStreamRecord(part) }))
  const next = { offset: toBrand<Offset>(5), data: encodeStreamRecord(createPublishRecord({ version: 5 })) }
  const newEntry = world.startFollower()
  expect(newEntry.addPeerRecords(START, firstPart ? [firstPart, next] : [])).toBe(0)
  expect(newEntry.getNextOffset()).toBe(0)
  expect(newEntry.addPeerRecords(START, records)).toBeGreaterThan(0)
  expect(newEntry.getVersion()).toBe(4)
  world.fake.setOutage(false)
  await world.clock.advance(2 * SECOND_MS)
  expect(newEntry.getVerifiedOffset()).toBe(peer.getNextOffset())
})

test('a wrong checkpoint is rejected by entries that have the records, and a new entry does not use it', async () => {
  world.appendVersions(3)
  const holder = world.startFollower({ writer: 'holder' })
  await world.clock.advance(SECOND_MS)
  for (const part of createWrongCheckpoint(toBrand<Offset>(3))) world.appendRecord(part)
  await world.clock.advance(SECOND_MS)
  expect(holder.listReasons('checkpoint-refused')).toEqual(['checkpoint wrong by somebody differs from the records'])
  expect(listTypes().slice(3)).toEqual(['checkpoint', 'checkpoint-vote'])
  const newEntry = world.startFollower({ scanLength: 2 })
  await world.clock.advance(SECOND_MS)
  expect(newEntry.getVersion()).toBe(3)
})

test('an entry that started from a wrong checkpoint reloads once others have rejected it', async () => {
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

test('when retention has removed every record, the entries that have the state write a checkpoint', async () => {
  world.appendVersions(2)
  const holder = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.fake.store.dropBefore(CONTRACTS, toBrand<Offset>(2))
  const newEntry = world.startFollower()
  await world.clock.advance(10 * SECOND_MS)
  expect(listTypes()).toEqual(['checkpoint'])
  expect([holder.getVersion(), newEntry.getVersion()]).toEqual([2, 2])
})

test('a follower that was cut off past the retention reloads and does not go back to an older version', async () => {
  world.appendVersions(1)
  const disconnected = world.startFollower()
  await world.clock.advance(SECOND_MS)
  world.fake.setOutage(true)
  await world.clock.advance(SECOND_MS)
  for (let version = 2; version <= 5; version++) world.appendRecord(createPublishRecord({ version }))
  world.fake.setOutage(false)
  world.startFollower({ ...EAGER, scanLength: 100 })
  await world.clock.advance(0)
  const seen: number[] = []
  disconnected.watchContracts(({ version }) => seen.push(version))
  await world.clock.advance(5 * SECOND_MS)
  world.fake.store.dropBefore(CONTRACTS, toBrand<Offset>(5))
  await world.clock.advance(5 * SECOND_MS)
  expect(disconnected.getVersion()).toBe(5)
  expect(seen).toEqual([...seen].sort())
})

test('a scheduled version takes effect at its date, and a clock that jumps back has no effect', async () => {
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

test('malformed, unknown, oversized and deeply nested records are skipped and recorded in the audit trail', async () => {
  const follower = world.startFollower()
  await world.clock.advance(SECOND_MS)
  const template = { ...createPublishRecord(), nonce: toBrand<Nonce>('b') } as PublishRecord
  world.fake.store.appendRecord(CONTRACTS, Uint8Array.of(0xff, 0x9f))
  world.fake.store.appendRecord(CONTRACTS, new Uint8Array(1_048_577))
  world.appendRecord({ ...template, v: 2 } as never)
  world.appendRecord({ ...template, extra: 1 } as never)
  world.appendRecord({ ...template, packed: Uint8Array.of(1, 2, 3) })
  world.appendRecord({ ...template, packed: encodeText('['.repeat(1_000_000)) })
  world.appendRecord({ ...template, packed: encodeText('{') })
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

test('a change that is not based on the newest accepted change is rejected, naming that change', async () => {
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
