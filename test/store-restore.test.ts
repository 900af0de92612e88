import { expect, test } from 'vitest'
import { toBrand } from '../src/types.ts'
import type { StoreEpoch } from '../src/types.ts'
import { createSharedReaders, DRAIN_MS, PAUSE_MS } from './support/shared-readers.ts'
import type { Follower } from './support/shared-readers.ts'

const SECOND_EPOCH = toBrand<StoreEpoch>(2)

function listKnown (followers: readonly Follower[], key: string): Set<string | undefined> {
  return new Set(followers.map(({ known }) => known.get(key)))
}

async function startReaders (count: number) {
  const readers = createSharedReaders(count)
  for (const value of ['1', '2', '3', '4']) readers.write('version', value)
  await readers.advanceWithProbes(2_100)
  return readers
}

for (const size of [1, 7, 123]) {
  test(`${size} entries apply a record at an offset that was given out again before any of them read`, async () => {
    const { followers, write, restore, advanceWithProbes } = await startReaders(size)
    restore(2)
    write('version', '4')
    write('version', '5')
    await advanceWithProbes(DRAIN_MS)
    expect(listKnown(followers, 'version')).toEqual(new Set(['5']))
    write('version', '6')
    await advanceWithProbes(DRAIN_MS)
    expect(listKnown(followers, 'version')).toEqual(new Set(['6']))
  })

  test(`${size} entries apply what follows a restore after which the log was shorter than they had read`, async () => {
    const { followers, write, restore, advanceWithProbes } = await startReaders(size)
    restore(2)
    write('version', '4')
    await advanceWithProbes(PAUSE_MS)
    write('version', '5')
    await advanceWithProbes(DRAIN_MS)
    expect(listKnown(followers, 'version')).toEqual(new Set(['5']))
  })
}

test('an entry that was cut off from the store and the others during a restore applies what was written at offsets that it knew', async () => {
  const { followers, write, restore, advanceWithProbes } = await startReaders(7)
  const cut = followers[3]!
  cut.isCut = true
  cut.isStoreLost = true
  restore(1)
  for (const value of ['4', '5', '6']) write('version', value)
  await advanceWithProbes(6_000)
  cut.isCut = false
  cut.isStoreLost = false
  await advanceWithProbes(DRAIN_MS)
  expect(listKnown(followers, 'version')).toEqual(new Set(['6']))
})

test('a second restore while the first one is being caught up with leaves no entry behind', async () => {
  for (let offsetMs = 0; offsetMs < 1_200; offsetMs += 100) {
    const { clock, followers, write, restore, advanceWithProbes } = await startReaders(7)
    restore(2)
    write('version', '4')
    write('version', '5')
    await clock.advance(offsetMs)
    restore(1)
    for (const value of ['4', '5', '6']) write('version', value)
    await advanceWithProbes(DRAIN_MS)
    expect(listKnown(followers, 'version')).toEqual(new Set(['6']))
  }
})

test('ranges and progress of an earlier epoch change nothing', async () => {
  const { followers, write, restore, advanceWithProbes } = await startReaders(3)
  const [late, other] = followers as [Follower, Follower]
  const before = other.follower.getProgress()!
  restore(2)
  write('version', '5')
  await advanceWithProbes(DRAIN_MS)
  const { reads } = late
  late.follower.applyProgress({ ...before, next: 900 })
  late.follower.applyShared({ topic: 't', epoch: before.epoch, from: 3, next: 4, isAfterOutage: false, records: [{ offset: 3, key: 'version', value: Buffer.from('old') }] })
  expect(late.known.get('version')).toBe('5')
  expect(late.follower.getProgress()).toMatchObject({ epoch: SECOND_EPOCH, next: 3 })
  expect(late.reads).toBe(reads)
})

test('an epoch that only others have stated is read for once, not again and again', async () => {
  const { clock, followers } = await startReaders(2)
  const [, other] = followers as [Follower, Follower]
  const { reads } = other
  for (let step = 0; step < 20; step++) {
    other.follower.applyProgress({ epoch: toBrand<StoreEpoch>(9), next: 1, ageMs: 0 })
    await clock.advance(100)
  }
  expect(other.reads - reads).toBeLessThanOrEqual(2 + 2_000 / PAUSE_MS)
})

test('keys that a restored store lacks count as missing because of the restore, also when no read failed', async () => {
  const { followers, restore, advanceWithProbes } = await startReaders(7)
  const before = followers.map(({ readsAfterOutage }) => readsAfterOutage)
  restore(1)
  await advanceWithProbes(DRAIN_MS)
  expect(followers.map(({ readsAfterOutage }, index) => readsAfterOutage - before[index]!)).toEqual(new Array(7).fill(1))
})

test('after a restore 123 entries read the topic once each and then rely on the reader again', async () => {
  const { followers, write, restore, advanceWithProbes } = await startReaders(123)
  restore(2)
  write('version', '4')
  const before = followers.map(({ reads }) => reads)
  await advanceWithProbes(DRAIN_MS)
  const reads = followers.map((follower, index) => follower.reads - before[index]!).slice(1)
  // A read that finds the other epoch, and the full read.
  expect(Math.max(...reads)).toBeLessThanOrEqual(2)
  write('version', '5')
  await advanceWithProbes(2 * DRAIN_MS)
  expect(listKnown(followers, 'version')).toEqual(new Set(['5']))
  expect(Math.max(...followers.slice(1).map((follower, index) => follower.reads - before[index + 1]! - reads[index]!))).toBe(0)
})
