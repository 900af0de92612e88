import fc from 'fast-check'
import { expect, test } from 'vitest'
import { computeHomeSlots } from '../src/request/balancing/home-slots.ts'
import { sortByRendezvous } from '../src/request/balancing/rendezvous.ts'
import { computeEntriesPerTarget, isInSubset } from '../src/request/balancing/subset.ts'
import { buildService, setupTargetSet, toEntryIds } from './support/target-service.ts'

function buildEntries (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `e${index}`)
}

test('a target in a subset has as many entries as computed, and no more than its connections', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 300 }), fc.integer({ min: 1, max: 40 }), (entryCount, targetCount, connectionsPerTarget) => {
    const perTarget = computeEntriesPerTarget({ entryCount, targetCount, connectionsPerTarget, largestTargets: 16 })
    const entries = buildEntries(entryCount)
    const holders = entries.filter((self) => isInSubset('t7', self, entries, perTarget))
    expect(holders).toHaveLength(perTarget)
    expect(perTarget).toBeLessThanOrEqual(connectionsPerTarget)
    expect(perTarget).toBeGreaterThanOrEqual(Math.min(3, entryCount, connectionsPerTarget))
  }), { seed: 5, numRuns: 200 })
})

test('an entry that is lost changes home slots only where it had some', () => {
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

test('a ranking does not depend on the order in which ids are known', () => {
  const ids = buildEntries(9)
  expect(sortByRendezvous('partition-3', ids.toReversed())).toEqual(sortByRendezvous('partition-3', ids))
})

test('many entries share out the targets, and every target keeps some', () => {
  const entries = toEntryIds(...buildEntries(20))
  const holders = new Map<string, number>()
  for (const self of entries) {
    const { set } = setupTargetSet(buildService(40), { self, entries, largestTargets: 10 })
    for (const target of set.listTargets()) holders.set(target.id, (holders.get(target.id) ?? 0) + 1)
  }
  expect([...holders.values()]).toEqual(Array(40).fill(5))
})

test('a target that an entry takes over from a lost one is not cold', () => {
  const entries = toEntryIds(...buildEntries(20))
  const { set } = setupTargetSet(buildService(40), { entries, largestTargets: 6 })
  const before = set.listTargets().length
  set.updateEntries(entries.slice(0, 4))
  expect(set.listTargets().length).toBeGreaterThan(before)
  expect(new Set(set.listTargets().map((target) => target.state))).toEqual(new Set(['serving']))
})
