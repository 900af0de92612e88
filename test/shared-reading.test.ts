import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { createDatagramCodec } from '../src/connection/datagram-codec.ts'
import { addMessageAge, addProgressAge } from '../src/process/gateway/gateway-messages.ts'
import { createSharedReads, selectReader } from '../src/process/gateway/shared-reads.ts'
import { toSharedRanges } from '../src/process/discovery/shared-range.ts'
import type { ReaderCandidate } from '../src/process/gateway/shared-reads.ts'
import { toBrand } from '../src/types.ts'
import type { EntryId, StoreEpoch } from '../src/types.ts'
import { createSharedReaders, DRAIN_MS, PAUSE_MS, POISON, READ_MS, SILENT_AFTER_MS } from './support/shared-readers.ts'
import type { Follower } from './support/shared-readers.ts'

const EPOCH = toBrand<StoreEpoch>(1)
const LARGE_BYTES = 100_000
const CONFIGURATION_TIMES = { waitMs: 1_000, pauseMs: 0, silentAfterMs: 1_300 }
/** A new configuration must be in effect after this time. */
const CONFIGURATION_APPLY_MS = 2_000

function countOthersReads (followers: readonly Follower[]): number {
  return followers.slice(1).reduce((sum, { reads }) => sum + reads, 0)
}

// Load: 30 entries, of which one reads the store.
test('records that the reader reads reach all entries within the drain time, and the others do not read', async () => {
  const { clock, followers, write } = createSharedReaders(30)
  await clock.advance(2_000)
  const before = countOthersReads(followers)
  for (let turn = 0; turn < 20; turn++) {
    write('a', `${turn}`)
    write('b', '~beat')
    await clock.advance(DRAIN_MS)
    expect(followers.map(({ known }) => known.get('a'))).toEqual(followers.map(() => `${turn}`))
  }
  expect(countOthersReads(followers) - before).toBe(0)
})

test('when the reader is cut off from the entries or the store, the others get new records within the drain time', async () => {
  for (const fault of ['isCut', 'isStoreLost'] as const) {
    for (let offsetMs = 0; offsetMs < PAUSE_MS; offsetMs += 70) {
      const { clock, followers, write } = createSharedReaders(4)
      await clock.advance(2_000 + offsetMs)
      followers[0]![fault] = true
      write('a', 'news')
      await clock.advance(DRAIN_MS - PAUSE_MS)
      expect(followers.slice(1).map(({ known }) => known.get('a'))).toEqual(['news', 'news', 'news'])
    }
  }
})

// Guards against a response of the store that is long on its way and counts as what the store holds when it arrives.
test('when a late response is the last that the reader gets, the others get newer records within the time of a configuration', async () => {
  for (let offsetMs = 0; offsetMs < CONFIGURATION_TIMES.waitMs; offsetMs += 90) {
    const { clock, followers, write, advanceWithProbes } = createSharedReaders(3, CONFIGURATION_TIMES)
    await clock.advance(5_000 + offsetMs)
    followers[0]!.readMs = 1_150
    write('a', 'older')
    await clock.advance(40)
    followers[0]!.areCallsLost = true
    write('a', 'newer')
    await advanceWithProbes(CONFIGURATION_APPLY_MS)
    expect(followers.slice(1).map(({ known }) => known.get('a')), `${offsetMs} ms`).toEqual(['newer', 'newer'])
  }
})

test('a range that was read before what an entry knows does not keep it from reading', async () => {
  const { clock, followers, write } = createSharedReaders(2)
  write('a', 'old')
  await clock.advance(2_000)
  followers[0]!.areCallsLost = true
  write('a', 'new')
  for (let step = 0; step < 20; step++) {
    followers[1]!.follower.applyShared({ topic: 't', epoch: EPOCH, from: 0, next: 0, ageMs: 0, isAfterOutage: false, records: [] })
    await clock.advance(DRAIN_MS / 20)
  }
  expect(followers[1]!.known.get('a')).toBe('new')
})

test('what an entry says of its progress and of a range is older by the time that the message has waited', () => {
  const position = { epoch: EPOCH, next: 3 }
  const range = { topic: 't', from: 0, isAfterOutage: false, records: [], ...position }
  expect(addProgressAge([{ topic: 't', progress: { ...position, ageMs: 40 } }], 1_700)).toEqual([{ topic: 't', progress: { ...position, ageMs: 1_740 } }])
  expect(addMessageAge({ type: 'topic-range', range: { ...range, ageMs: 4 } }, 1_700)).toEqual({ type: 'topic-range', range: { ...range, ageMs: 1_704 } })
  expect(addMessageAge({ type: 'topic-range', range }, 1_700)).toEqual({ type: 'topic-range', range })
})

test('only the last part of records that are shared in parts says how new it is', () => {
  const records = Array.from({ length: 4 }, (_, offset) => ({ offset, key: `k-${offset}`, value: Buffer.alloc(7_000) }))
  const parts = toSharedRanges({ topic: 't', epoch: EPOCH, from: 0, next: 4, ageMs: 5, isAfterOutage: false, records })
  expect(parts.map(({ ageMs }) => ageMs)).toEqual([undefined, undefined, undefined, 5])
})

// Guards against the removals of a zone that are too many for one message: nobody would get them.
test('many removals at once are shared in messages that can be sent, or not at all', () => {
  const codec = createDatagramCodec({ peerKey: 'key', clock: createTestClock() })
  for (const count of [10, 900, 3_000]) {
    const records = Array.from({ length: count }, (_, offset) => ({ offset, key: `i-target-${offset}`, value: undefined }))
    const parts = toSharedRanges({ topic: 't', epoch: EPOCH, from: 0, next: count, ageMs: 5, isAfterOutage: false, records })
    expect(parts.every((range) => codec.encode({ type: 'topic-range', range }).isOk()), `${count}`).toBe(true)
    expect(parts.at(-1)!.next).toBe(count)
  }
})

// Guards against a reader that was cut off alone and makes the others keep a target that has left, as after an outage.
test('failed reads of the reader count as an outage only for an entry that has not heard of the store meanwhile', async () => {
  const range = { topic: 't', epoch: EPOCH, from: 0, next: 1, ageMs: 0, isAfterOutage: true, records: [{ offset: 0, key: 'a', value: Buffer.from('gone') }] }
  for (const hasHeard of [true, false]) {
    const { clock, followers } = createSharedReaders(2)
    const [, other] = followers as [Follower, Follower]
    await clock.advance(2_000)
    other.isCut = !hasHeard
    other.areCallsLost = !hasHeard
    await clock.advance(1_500)
    other.follower.applyShared(range)
    expect(other.known.get('a')).toBe('gone')
    expect(other.changesAfterOutage).toBe(hasHeard ? 0 : 1)
  }
})

// Guards against a record that ends the follower of its topic for good.
test('a record that cannot be applied takes neither the others of its page with it nor those that follow', async () => {
  const { clock, followers, write } = createSharedReaders(3)
  await clock.advance(2_000)
  write('a', 'before')
  write('odd', POISON)
  write('b', 'after')
  await clock.advance(DRAIN_MS)
  write('c', 'later')
  await clock.advance(DRAIN_MS)
  expect(followers.map(({ known }) => [...known.keys()])).toEqual(followers.map(() => ['a', 'b', 'c']))
})

test('a follower goes on after a full read that cannot be applied', async () => {
  const { clock, followers, write, restore } = createSharedReaders(1)
  write('odd', POISON)
  restore(1)
  await clock.advance(1_000)
  restore(0)
  write('a', 'sound')
  await clock.advance(2_000)
  expect(followers[0]!.known.get('a')).toBe('sound')
})

test('an entry that missed a range reads it by itself', async () => {
  const { clock, followers, write } = createSharedReaders(3)
  await clock.advance(2_000)
  followers[2]!.isCut = true
  write('a', 'missed')
  await clock.advance(PAUSE_MS + READ_MS)
  followers[2]!.isCut = false
  write('b', 'received')
  await clock.advance(DRAIN_MS)
  expect([...followers[2]!.known]).toEqual([['a', 'missed'], ['b', 'received']])
})

// Guards against a range that covers records which it doesn't hold, as its sender had them from another reader while its read was on its way.
test('an entry that missed the range of one reader gets its records, although another reader passes on only what follows', async () => {
  const { clock, followers, write, log } = createSharedReaders(3)
  write('before', 'x')
  await clock.advance(2_000)
  const [reader] = followers as [Follower]
  reader.readMs = 300
  const from = log.length
  write('a', 'missed')
  const range = { topic: 't', epoch: EPOCH, from, next: log.length, ageMs: 0, isAfterOutage: false, records: log.slice(from) }
  write('b', 'received')
  await clock.advance(PAUSE_MS)
  reader.follower.applyShared(range)
  await clock.advance(DRAIN_MS)
  expect(followers.map(({ known }) => [known.get('a'), known.get('b')])).toEqual(followers.map(() => ['missed', 'received']))
})

test('records that are too large to share are read by each entry without delay', async () => {
  const { clock, followers, write } = createSharedReaders(3)
  await clock.advance(2_000)
  write('large', 'x'.repeat(LARGE_BYTES))
  await clock.advance(PAUSE_MS + 3 * READ_MS)
  expect(followers.map(({ known }) => known.get('large')?.length)).toEqual([LARGE_BYTES, LARGE_BYTES, LARGE_BYTES])
})

test('many records at once are shared in parts that each entry applies in order, without reading', async () => {
  const { clock, followers, write } = createSharedReaders(3)
  await clock.advance(2_000)
  const before = countOthersReads(followers)
  for (let index = 0; index < 150; index++) write(`k${index}`, `${index} ${'x'.repeat(300)}`)
  await clock.advance(PAUSE_MS + READ_MS)
  expect(followers.map(({ known }) => [known.size, known.get('k149')?.slice(0, 3)])).toEqual(followers.map(() => [150, '149']))
  expect(countOthersReads(followers) - before).toBe(0)
})

test('an entry that missed one of the parts reads the rest by itself', async () => {
  const { clock, followers, write } = createSharedReaders(2)
  await clock.advance(2_000)
  const late = followers[1]!
  const { applyShared } = late.follower
  let partCount = 0
  late.follower.applyShared = (range) => {
    if (range.records.length > 0) partCount += 1
    if (partCount !== 2) applyShared(range)
  }
  for (let index = 0; index < 150; index++) write(`k${index}`, `${index} ${'x'.repeat(300)}`)
  await clock.advance(PAUSE_MS + 3 * READ_MS)
  expect(late.known.size).toBe(150)
})

test('a compacted topic is read in full, and shared reading continues', async () => {
  const { clock, state, followers, write, log } = createSharedReaders(3)
  await clock.advance(2_000)
  write('a', '1')
  write('a', '2')
  state.firstKept = log.length
  await clock.advance(DRAIN_MS)
  expect(followers.map(({ known }) => known.get('a'))).toEqual(['2', '2', '2'])
  const before = countOthersReads(followers)
  write('a', '3')
  await clock.advance(DRAIN_MS)
  expect(followers.map(({ known }) => known.get('a'))).toEqual(['3', '3', '3'])
  expect(countOthersReads(followers) - before).toBe(0)
})

test('a late result of an own read never overwrites what the reader shared', async () => {
  const { clock, followers, write } = createSharedReaders(2)
  await clock.advance(2_000)
  const [, late] = followers
  late!.isCut = true
  late!.readMs = PAUSE_MS / 2
  write('a', 'old')
  const { reads } = late!
  for (let waitedMs = 0; late!.reads === reads && waitedMs < 2 * SILENT_AFTER_MS; waitedMs++) await clock.advance(1)
  // The own read is in flight and will return only the old value.
  late!.follower.applyShared({ topic: 't', epoch: EPOCH, from: 0, next: 1, isAfterOutage: false, records: [{ offset: 0, key: 'a', value: Buffer.from('newer') }] })
  await clock.advance(PAUSE_MS / 2)
  expect(late!.known.get('a')).toBe('newer')
})

test('an entry that is behind the reader keeps reading until it has caught up', async () => {
  const { clock, followers, write } = createSharedReaders(2)
  await clock.advance(2_000)
  const [, late] = followers
  late!.readMs = 50
  late!.follower.applyShared({ topic: 't', epoch: EPOCH, from: 5, next: 5, isAfterOutage: false, records: [] })
  await clock.advance(10)
  for (let index = 0; index < 5; index++) write('a', `${index}`)
  await clock.advance(PAUSE_MS + 2 * 50)
  expect(late!.known.get('a')).toBe('4')
})

test('an entry that lost the range of a change reads it by itself once it hears how far another has read', async () => {
  const { clock, followers, write } = createSharedReaders(2)
  await clock.advance(2_000)
  const [reader, late] = followers as [Follower, Follower]
  late.isCut = true
  write('a', 'lost')
  await clock.advance(PAUSE_MS)
  const before = late.reads
  late.follower.applyProgress(reader.follower.getProgress()!)
  // The records may still be on their way.
  await clock.advance(50)
  expect(late.reads).toBe(before)
  await clock.advance(100)
  expect(late.known.get('a')).toBe('lost')
})

test('the progress of others keeps an entry from reading while the ranges of the reader are lost', async () => {
  const { clock, followers } = createSharedReaders(2)
  await clock.advance(2_000)
  const [reader, other] = followers as [Follower, Follower]
  other.isCut = true
  const before = other.reads
  for (let step = 0; step < 30; step++) {
    await clock.advance(300)
    other.follower.applyProgress(reader.follower.getProgress()!)
  }
  expect(other.reads).toBe(before)
})

// Load: 120 entries lose the store for 12 s.
test('the calls to a store that is unavailable do not grow with the number of entries', async () => {
  const counts: number[] = []
  for (const size of [30, 120]) {
    const { clock, followers, advanceWithProbes } = createSharedReaders(size)
    await clock.advance(2_000)
    const before = followers.reduce((sum, { reads }) => sum + reads, 0)
    for (const follower of followers) follower.isStoreLost = true
    await advanceWithProbes(12_000)
    counts.push(followers.reduce((sum, { reads }) => sum + reads, 0) - before - size)
  }
  expect(counts[1]).toBeLessThan(1.5 * counts[0]!)
})

test('after an outage the entries get new records through the reader, and do not read', async () => {
  const { clock, followers, write } = createSharedReaders(30)
  await clock.advance(2_000)
  for (const follower of followers) follower.isStoreLost = true
  await clock.advance(6_000)
  for (const follower of followers) follower.isStoreLost = false
  write('a', 'news')
  await clock.advance(DRAIN_MS)
  expect(followers.map(({ known }) => known.get('a'))).toEqual(followers.map(() => 'news'))
  const before = countOthersReads(followers)
  await clock.advance(4 * DRAIN_MS)
  expect(countOthersReads(followers) - before).toBe(0)
  expect(followers.some(({ follower }) => follower.isStoreUnavailable())).toBe(false)
})

// Load: 120 entries, of which one is cut off from the store and the others for 12 s, as when its machine is partitioned.
test('an entry that was cut off from the store and the others has new records within the drain time after its return', async () => {
  for (let offsetMs = 0; offsetMs < 2_000; offsetMs += 330) {
    const { clock, followers, write } = createSharedReaders(120)
    await clock.advance(2_000)
    const cut = followers[7]!
    cut.isCut = true
    cut.isStoreLost = true
    write('a', 'missed')
    await clock.advance(12_000 + offsetMs)
    cut.isCut = false
    cut.isStoreLost = false
    write('b', 'written at its return')
    await clock.advance(DRAIN_MS)
    expect([...cut.known.keys()]).toEqual(['a', 'b'])
  }
})

test('an entry that hears how far others have read tries again at once, though its last reads failed', async () => {
  const { clock, followers, write } = createSharedReaders(120)
  await clock.advance(2_000)
  for (const follower of followers) follower.isStoreLost = true
  await clock.advance(6_000)
  const late = followers[9]!
  late.isCut = true
  for (const follower of followers) follower.isStoreLost = false
  write('a', 'news')
  await clock.advance(1_000)
  late.follower.applyProgress(followers[0]!.follower.getProgress()!)
  await clock.advance(400)
  expect(late.known.get('a')).toBe('news')
})

function createCandidate (id: string, changes: Partial<ReaderCandidate['status']> & { state?: ReaderCandidate['state'] } = {}): ReaderCandidate {
  const { state = 'live', ...status } = changes
  return { id: toBrand<EntryId>(id), state, status: { isReady: true, isLeaving: false, isBusy: false, canReadStore: true, isCutOff: false, isPartlyCutOff: false, ...status } }
}

test('the reader is the lowest id of the live entries that can read the store and are not overloaded', () => {
  expect(selectReader([createCandidate('b'), createCandidate('a')])).toBe('a')
  expect(selectReader([createCandidate('a', { canReadStore: false }), createCandidate('b')])).toBe('b')
  expect(selectReader([createCandidate('a', { isBusy: true }), createCandidate('b')])).toBe('b')
  for (const state of ['suspect', 'leaving', 'gone'] as const) expect(selectReader([createCandidate('a', { state }), createCandidate('b')])).toBe('b')
  expect(selectReader([createCandidate('a', { canReadStore: false }), createCandidate('b', { canReadStore: false })])).toBe('a')
  expect(selectReader([])).toBe(undefined)
})

test('no entry reads for all before the others are known', () => {
  const state = { hasJoined: false }
  const reads = createSharedReads({ self: toBrand<EntryId>('a'), listEntries: () => [createCandidate('a')], hasJoined: () => state.hasJoined, publish: () => undefined })
  expect(reads.isReader()).toBe(false)
  state.hasJoined = true
  expect(reads.isReader()).toBe(true)
})
