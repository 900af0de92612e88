import fc from 'fast-check'
import { expect, test } from 'vitest'
import { computeHomeSlots } from '../src/request/balancing/home-slots.ts'
import { sortByRendezvous } from '../src/request/balancing/rendezvous.ts'
import { computeEntriesPerTarget, isInSubset } from '../src/request/balancing/subset.ts'
import { buildService, setupTargetSet, toEntryIds } from './support/target-service.ts'

function buildEntries (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `e${index}`)
}

test('a target is in the subsets of as many entries as computed, and of no more than its connections allow', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 300 }), fc.integer({ min: 1, max: 40 }), (entryCount, targetCount, connectionsPerTarget) => {
    const perTarget = computeEntriesPerTarget({ entryCount, targetCount, connectionsPerTarget, maxTargets: 16 })
    const entries = buildEntries(entryCount)
    const subsetEntries = entries.filter((self) => isInSubset('t7', self, entries, perTarget))
    expect(subsetEntries).toHaveLength(perTarget)
    expect(perTarget).toBeLessThanOrEqual(connectionsPerTarget)
    expect(perTarget).toBeGreaterThanOrEqual(Math.min(3, entryCount, connectionsPerTarget))
  }), { seed: 5, numRuns: 200 })
})

test('the loss of an entry adds home slots only at targets where it had some', () => {
  const targets = Array.from({ length: 30 }, (_, index) => `t${index}`)
  const entries = buildEntries(6)
  const before = computeHomeSlots({ targets, slotsPerTarget: 4, entries, self: 'e0' })
  const lost = computeHomeSlots({ targets, slotsPerTarget: 4, entries, self: 'e5' })
  const after = computeHomeSlots({ targets, slotsPerTarget: 4, entries: entries.slice(0, 5), self: 'e0' })
  for (const target of targets) {
    const gained = after.get(target)! - before.get(target)!
    expect(gained).toBeGreaterThanOrEqual(0)
    expect(gained).toBeLessThanOrEqual(lost.get(target)!)
  }
})

test('the rendezvous ranking does not depend on the order of the ids', () => {
  const ids = buildEntries(9)
  expect(sortByRendezvous('partition-3', ids.toReversed())).toEqual(sortByRendezvous('partition-3', ids))
})

test('with many entries each target is in the subsets of the same number of entries', () => {
  const entries = toEntryIds(...buildEntries(20))
  const subsetEntries = new Map<string, number>()
  for (const self of entries) {
    const { set } = setupTargetSet(buildService(40), { self, entries, maxTargets: 10 })
    for (const target of set.listTargets()) subsetEntries.set(target.id, (subsetEntries.get(target.id) ?? 0) + 1)
  }
  expect([...subsetEntries.values()]).toEqual(Array(40).fill(5))
})

test('a target that joins a subset because entries were lost is not cold', () => {
  const entries = toEntryIds(...buildEntries(20))
  const { set } = setupTargetSet(buildService(40), { entries, maxTargets: 6 })
  const before = set.listTargets().length
  set.updateEntries(entries.slice(0, 4))
  expect(set.listTargets().length).toBeGreaterThan(before)
  expect(new Set(set.listTargets().map((target) => target.state))).toEqual(new Set(['serving']))
})
