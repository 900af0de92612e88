import fc from 'fast-check'
import { afterEach, expect, test } from 'vitest'
import { createStoreView } from '../src/process/discovery/store-view.ts'
import { createTargetRegistry } from '../src/process/discovery/target-registry.ts'
import type { TargetChange, TargetRegistry, TargetReport } from '../src/process/discovery/target-registry.ts'
import { toBrand } from '../src/types.ts'
import type { ServiceId, TargetId, ZoneId } from '../src/types.ts'
import { describeConfiguration, describeTarget, startPlatformTarget } from '../stand-ins/platform-target.ts'
import type { PlatformTarget } from '../stand-ins/platform-target.ts'
import { startGatewayFleet } from './support/gateway-fleet.ts'
import type { FleetEntry, GatewayFleet } from './support/gateway-fleet.ts'
import { waitFor } from './support/gateway-system.ts'

const SERVICE = toBrand<ServiceId>('desk')
const SLOTS = 4
/** By then an entry that has started relies on the one that reads for all: its own first reads are over. */
const FIRST_READS_MS = 1_500

const open: { close(): unknown }[] = []

afterEach(async () => { for (const each of open.splice(0)) await each.close() })

async function startFleet (): Promise<{ fleet: GatewayFleet, targets: PlatformTarget[] }> {
  const targets = [await startPlatformTarget('i-1'), await startPlatformTarget('i-2')]
  const fleet = await startGatewayFleet(targets, 2)
  open.push(fleet)
  return { fleet, targets }
}

function hasLogged ({ log }: FleetEntry, message: string, fields: Record<string, unknown>): boolean {
  return log.some((line) => line.message === message && Object.entries(fields).every(([name, value]) => line.fields[name] === value))
}

/** Waits until each entry begins to read both topics in the second epoch of the store; they have done so when a further entry has started. */
async function waitForRestore ({ entries }: GatewayFleet): Promise<void> {
  const messages = ['The store was restored; reading the newest record of every key.', 'Records are no longer in the store; reading the newest record of every key.']
  await waitFor(() => entries.every((entry) => ['keyed.op', 'keyed.servers'].every((topic) => messages.some((message) => hasLogged(entry, message, { topic })))))
}

// Guards against an entry that keeps a revoked key, since the entry that reads for all has had the configuration before (review/11).
test('an entry that starts between a restore and the second writing of a configuration gets it', async () => {
  const { fleet } = await startFleet()
  const copy = fleet.store.takeCopy()
  fleet.store.put('keyed.op', 'config', describeConfiguration(2))
  await waitFor(() => fleet.entries.every((entry) => hasLogged(entry, 'A configuration is in effect.', { version: 2 })))
  fleet.store.restore(copy)
  await waitForRestore(fleet)
  const started = await fleet.startEntry()
  expect(hasLogged(started, 'A configuration is in effect.', { version: 1 })).toBe(true)
  await new Promise((resolve) => setTimeout(resolve, FIRST_READS_MS))
  fleet.store.put('keyed.op', 'config', describeConfiguration(2))
  await waitFor(() => hasLogged(started, 'A configuration is in effect.', { version: 2 }))
})

// Guards against bookings that are sent to a target which has said that it drains: the entry that reads for all knew it before.
test('an entry that starts between a restore and the second report of a draining target gets that report', async () => {
  const { fleet, targets } = await startFleet()
  const copy = fleet.store.takeCopy()
  const drain = (sequence: number) => fleet.store.put('keyed.servers', 'i-2', describeTarget(targets[1]!, { state: 'draining', sequence }))
  drain(2)
  await waitFor(() => fleet.entries.every((entry) => hasLogged(entry, 'A target is leaving.', { target: 'i-2' })))
  fleet.store.restore(copy)
  await waitForRestore(fleet)
  const started = await fleet.startEntry()
  drain(3)
  await waitFor(() => hasLogged(started, 'A target is leaving.', { target: 'i-2' }))
})

// Guards against a target that stays in service at the others after its removal: the entry that reads for all had dropped it (review/13).
test('a removal that changes nothing for the entry that reads for all is passed on', async () => {
  const { fleet } = await startFleet()
  const copy = fleet.store.takeCopy()
  fleet.store.put('keyed.servers', 'i-2')
  await waitFor(() => fleet.entries.every((entry) => hasLogged(entry, 'A target is removed.', { target: 'i-2' })))
  fleet.store.restore(copy)
  await waitForRestore(fleet)
  const started = await fleet.startEntry()
  fleet.store.put('keyed.servers', 'i-2')
  const hasLeft = (): boolean => hasLogged(started, 'A target is removed.', { target: 'i-2' }) || hasLogged(started, 'A target is lapsing.', { target: 'i-2' })
  await waitFor(hasLeft)
})

function buildReport (changes: Partial<TargetReport> = {}): TargetReport {
  return { id: toBrand<TargetId>('i-1'), service: SERVICE, address: '10.0.0.1', port: 80, zone: toBrand<ZoneId>('a'), slots: SLOTS, isDraining: false, bornMs: 1, sequence: 1, warmupLeftMs: 0, ...changes }
}

function toChange (changes: Partial<TargetReport> = {}): TargetChange {
  return { type: 'report', report: buildReport(changes) }
}

// Load: every target writes a heartbeat each 1.5 s, and passing all of them on would take far more than 5 KB/s.
test('heartbeats are not passed on, whatever this entry knows; what they change is', () => {
  const view = createStoreView()
  expect(view.apply(toChange({ sequence: 1, warmupLeftMs: 900 }))).toBe(true)
  expect(view.apply(toChange({ sequence: 2, warmupLeftMs: 400 }))).toBe(false)
  expect(view.apply(toChange({ sequence: 3, warmupLeftMs: 0 }))).toBe(false)
  expect(view.apply(toChange({ sequence: 4, slots: SLOTS + 1 }))).toBe(true)
  expect(view.apply(toChange({ sequence: 5, slots: SLOTS + 1, warmupLeftMs: 700 }))).toBe(true)
  expect(view.apply(toChange({ sequence: 6, slots: SLOTS + 1, isDraining: true }))).toBe(true)
})

test('a report that was written late is not passed on, also after a removal; the removal of an unknown target is', () => {
  const view = createStoreView()
  view.apply(toChange({ sequence: 6 }))
  expect(view.apply(toChange({ sequence: 5, slots: 1 }))).toBe(false)
  expect(view.apply({ type: 'removal', id: toBrand<TargetId>('i-1') })).toBe(true)
  expect(view.apply(toChange({ sequence: 6 }))).toBe(false)
  expect(view.apply(toChange({ sequence: 7 }))).toBe(true)
  expect(view.apply(toChange({ bornMs: 0, sequence: 9 }))).toBe(false)
  expect(view.apply({ type: 'removal', id: toBrand<TargetId>('i-9') })).toBe(true)
})

test('after a restore the sequence numbers of the time before do not count', () => {
  const view = createStoreView()
  view.apply(toChange({ sequence: 9, isDraining: true }))
  view.replaceAll([buildReport({ sequence: 3 })], true)
  expect(view.apply(toChange({ sequence: 4 }))).toBe(false)
  expect(view.apply(toChange({ sequence: 5, isDraining: true }))).toBe(true)
})

const IDS = ['i-1', 'i-2', 'i-3']
type Step = { id: string, type: 'heartbeat' | 'drain' | 'remove' | 'restart' | 'resize' }

/** Applies what a target or the store does to the records; returns the change that is written, if any. */
function writeStep (records: Map<string, TargetReport>, lastBornMs: Map<string, number>, { id, type }: Step): TargetChange | undefined {
  const known = records.get(id)
  if (type === 'restart') {
    lastBornMs.set(id, (lastBornMs.get(id) ?? 0) + 1)
    records.set(id, buildReport({ id: toBrand<TargetId>(id), bornMs: lastBornMs.get(id)! }))
  } else if (!known) {
    return undefined
  } else if (type === 'remove') {
    records.delete(id)
    return { type: 'removal', id: toBrand<TargetId>(id) }
  } else {
    records.set(id, { ...known, sequence: known.sequence + 1, isDraining: known.isDraining || type === 'drain', slots: known.slots + Number(type === 'resize') })
  }
  return { type: 'report', report: records.get(id)! }
}

function listTargets (registry: TargetRegistry): unknown[] {
  return registry.list(SERVICE).map(({ report: { id, bornMs, slots }, isLeaving }) => ({ id, bornMs, slots, isLeaving })).sort((a, b) => a.id < b.id ? -1 : 1)
}

// The follower starts anywhere; the entry that reads for all has applied an earlier epoch of the store too.
test('an entry that gets only what the reader passes on knows the same targets as the store holds', () => {
  const step = fc.record({ id: fc.constantFrom(...IDS), type: fc.constantFrom<Step['type']>('heartbeat', 'drain', 'remove', 'restart', 'resize') })
  fc.assert(fc.property(fc.array(step, { maxLength: 20 }), fc.array(step, { maxLength: 20 }), fc.array(step, { maxLength: 20 }), (lost, before, after) => {
    const records = new Map<string, TargetReport>()
    const lastBornMs = new Map<string, number>()
    const view = createStoreView()
    for (const each of before) writeStep(records, lastBornMs, each)
    const copy = [...records.values()]
    const lostRecords = new Map(records)
    const lostBornMs = new Map(lastBornMs)
    for (const change of lost.flatMap((each) => writeStep(lostRecords, lostBornMs, each) ?? [])) view.apply(change)
    view.replaceAll(copy, true)
    const follower = createTargetRegistry()
    follower.replaceAll(copy, [], 0, false)
    for (const change of after.flatMap((each) => writeStep(records, lastBornMs, each) ?? [])) if (view.apply(change)) follower.apply(change, 0, false)
    const fresh = createTargetRegistry()
    fresh.replaceAll([...records.values()], [], 0, false)
    expect(listTargets(follower)).toEqual(listTargets(fresh))
  }), { seed: 52, numRuns: 500 })
})
