import { expect, test } from 'vitest'
import { orderAddresses } from '../src/process/membership/address-order.ts'
import type { EntryAddress } from '../src/process/membership/address-order.ts'
import type { PeerState, PeerView } from '../src/process/membership/peer-mesh.ts'
import { toBrand } from '../src/types.ts'
import type { Incarnation, Offset, ZoneId } from '../src/types.ts'
import { createIdentity } from './support/mesh.ts'

const ENTRIES = 6
const CALLERS = 1_200
const LIFETIME_MS = 10_000

function createEntries (states: Record<number, PeerState> = {}): PeerView[] {
  return Array.from({ length: ENTRIES }, (_, index) => ({
    ...createIdentity(index), state: states[index] ?? 'live', contractOffset: toBrand<Offset>(1), isSelf: index === 0
  }))
}

function orderFor (entries: PeerView[], caller: number, zone?: string): EntryAddress[] {
  const callerZone = zone === undefined ? undefined : toBrand<ZoneId>(zone)
  return orderAddresses({ entries, callerZone, callerId: `caller-${caller}`, lifetimeMs: LIFETIME_MS }).addresses
}

/** Counts the callers whose first address is each entry. */
function countFirst (entries: PeerView[], zone?: string): Map<string, number> {
  const counts = new Map<string, number>()
  for (let caller = 0; caller < CALLERS; caller++) {
    const first = orderFor(entries, caller, zone)[0]?.id ?? 'none'
    counts.set(first, (counts.get(first) ?? 0) + 1)
  }
  return counts
}

test('same-zone entries come first, and every live entry is listed once', () => {
  const zones = orderFor(createEntries(), 1, 'zone-1').map((entry) => entry.zone)
  expect(zones.slice(0, 2)).toEqual(['zone-1', 'zone-1'])
  expect(new Set(orderFor(createEntries(), 1).map((entry) => entry.id)).size).toBe(ENTRIES)
})

test('leaving, gone and suspect entries are left out while others are live', () => {
  const entries = createEntries({ 1: 'leaving', 2: 'gone', 3: 'suspect' })
  expect(orderFor(entries, 1).map((entry) => entry.id).sort()).toEqual(['entry-0', 'entry-4', 'entry-5'])
})

test('an entry that has not reported a contract offset is left out', () => {
  const entries = createEntries().map((entry) => entry.id === 'entry-4' ? { ...entry, contractOffset: toBrand<Offset>(-1) } : entry)
  expect(orderFor(entries, 1).map((entry) => entry.id)).not.toContain('entry-4')
  expect(orderFor(entries, 1)).toHaveLength(ENTRIES - 1)
})

test('an entry that has read an empty contract stream is listed', () => {
  const entries = createEntries().map((entry) => ({ ...entry, contractOffset: toBrand<Offset>(0) }))
  expect(orderFor(entries, 1)).toHaveLength(ENTRIES)
})

test('without a live entry the suspect ones are listed, and a leaving one never is', () => {
  const entries = createEntries({ 0: 'leaving', 1: 'leaving', 2: 'gone', 3: 'suspect', 4: 'leaving', 5: 'leaving' })
  expect(orderFor(entries, 1).map((entry) => entry.id)).toEqual(['entry-3'])
})

test('callers spread over the entries, and no entry is first for a quarter of them or more', () => {
  expect(Math.max(...countFirst(createEntries()).values())).toBeLessThan(CALLERS / 4)
})

test('the loss of an entry moves only its own callers, spread over the rest, and its return moves them back', () => {
  const before = createEntries()
  const without = createEntries({ 2: 'gone' })
  const moved = Array.from({ length: CALLERS }, (_, caller) => caller)
    .filter((caller) => orderFor(before, caller)[0]?.id !== orderFor(without, caller)[0]?.id)
  for (const caller of moved) expect(orderFor(before, caller)[0]?.id).toBe('entry-2')
  const counts = countFirst(without)
  expect(counts.has('entry-2')).toBe(false)
  expect(Math.max(...counts.values())).toBeLessThan(CALLERS / 4)
  expect(countFirst(createEntries())).toEqual(countFirst(before))
})

test('selection by list position moves callers whose entry was not lost', () => {
  const selectByPosition = (entries: PeerView[], caller: number) => {
    const live = entries.filter((entry) => entry.state === 'live')
    return live[caller % live.length]?.id
  }
  const callers = Array.from({ length: CALLERS }, (_, caller) => caller)
  const moved = callers.filter((caller) => selectByPosition(createEntries(), caller) !== selectByPosition(createEntries({ 2: 'gone' }), caller))
  expect(moved.length).toBeGreaterThan(CALLERS / 2)
})

test('the order for a caller does not depend on the order of the input', () => {
  expect(orderFor(createEntries().reverse(), 7)).toEqual(orderFor(createEntries(), 7))
})

test('a new incarnation of an entry does not change its rank', () => {
  const replaced = createEntries().map((entry) => ({ ...entry, incarnation: toBrand<Incarnation>('2000-9') }))
  expect(orderFor(replaced, 7)).toEqual(orderFor(createEntries(), 7))
})
