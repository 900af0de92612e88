import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createTargetRegistry, EXPIRY_GRACE_MS } from '../src/process/discovery/target-registry.ts'
import type { TargetReport } from '../src/process/discovery/target-registry.ts'
import { toBrand } from '../src/types.ts'
import type { ServiceId, TargetId, ZoneId } from '../src/types.ts'

const SERVICE = toBrand<ServiceId>('desk')

function toId (id: string): TargetId {
  return toBrand<TargetId>(id)
}

function buildReport (changes: Partial<TargetReport> = {}): TargetReport {
  return {
    id: toId('i-1'),
    service: SERVICE,
    address: '10.0.0.1',
    port: 80,
    zone: toBrand<ZoneId>('a'),
    slots: 4,
    isDraining: false,
    bornMs: 1,
    sequence: 1,
    warmupLeftMs: 0,
    ...changes
  }
}

function listIds (registry: ReturnType<typeof createTargetRegistry>, service = SERVICE): string[] {
  return registry.list(service).filter((target) => !target.isLeaving).map((target) => target.report.id)
}

test('a late report does not make a draining target accept work again', () => {
  const registry = createTargetRegistry()
  registry.apply({ type: 'report', report: buildReport({ sequence: 5 }) }, 0, false)
  registry.apply({ type: 'report', report: buildReport({ sequence: 6, isDraining: true }) }, 1, false)
  expect(registry.apply({ type: 'report', report: buildReport({ sequence: 4 }) }, 2, false)).toBe('stale')
  registry.apply({ type: 'report', report: buildReport({ sequence: 7 }) }, 3, false)
  expect(listIds(registry)).toEqual([])
})

test('a target that restarts under its id is added as a new run', () => {
  const registry = createTargetRegistry()
  registry.apply({ type: 'report', report: buildReport({ sequence: 9, isDraining: true }) }, 0, false)
  expect(registry.apply({ type: 'report', report: buildReport({ bornMs: 2, sequence: 0 }) }, 1, false)).toBe('added')
  expect(listIds(registry)).toEqual(['i-1'])
  expect(registry.apply({ type: 'report', report: buildReport({ bornMs: 1, sequence: 10 }) }, 2, false)).toBe('stale')
})

test('a late report of a removed run does not add it again', () => {
  const registry = createTargetRegistry()
  registry.apply({ type: 'report', report: buildReport({ sequence: 3 }) }, 0, false)
  registry.apply({ type: 'removal', id: toId('i-1') }, 1, false)
  expect(registry.apply({ type: 'report', report: buildReport({ sequence: 3 }) }, 2, false)).toBe('stale')
  expect(listIds(registry)).toEqual([])
})

test('a target whose record expired in an outage stays until it has had time to report again', () => {
  const registry = createTargetRegistry()
  for (const id of ['i-1', 'i-2']) registry.apply({ type: 'report', report: buildReport({ id: toId(id) }) }, 0, false)
  for (const id of ['i-1', 'i-2']) expect(registry.apply({ type: 'removal', id: toId(id) }, 100, true)).toBe('lapsing')
  expect(listIds(registry)).toEqual(['i-1', 'i-2'])
  registry.apply({ type: 'report', report: buildReport({ sequence: 2 }) }, 200, true)
  expect(registry.removeExpired(100 + EXPIRY_GRACE_MS - 1)).toEqual([])
  expect(registry.removeExpired(100 + EXPIRY_GRACE_MS)).toEqual(['i-2'])
  expect(listIds(registry)).toEqual(['i-1'])
})

test('a target that was leaving before the outage is removed when its record expires', () => {
  const registry = createTargetRegistry()
  registry.apply({ type: 'report', report: buildReport({ isDraining: true }) }, 0, false)
  expect(registry.apply({ type: 'removal', id: toId('i-1') }, 100, true)).toBe('removed')
})

test('a target that moves to another service is removed from the first', () => {
  const registry = createTargetRegistry()
  registry.apply({ type: 'report', report: buildReport() }, 0, false)
  const other = toBrand<ServiceId>('office')
  registry.apply({ type: 'report', report: buildReport({ service: other, bornMs: 2 }) }, 1, false)
  expect(listIds(registry)).toEqual([])
  expect(listIds(registry, other)).toEqual(['i-1'])
})

test('a full read removes the targets that it does not contain', () => {
  const registry = createTargetRegistry()
  for (const id of ['i-1', 'i-2']) registry.apply({ type: 'report', report: buildReport({ id: toId(id) }) }, 0, false)
  registry.replaceAll([buildReport({ id: toId('i-2'), sequence: 2 })], [], 1, false)
  expect(listIds(registry)).toEqual(['i-2'])
})

// Guards against a target that gets requests again when its record comes back after its responses said that it leaves (review/8).
test('a run that was seen leaving when its record was gone already stays so when the record comes back', () => {
  const registry = createTargetRegistry()
  registry.apply({ type: 'report', report: buildReport({ sequence: 1 }) }, 0, false)
  registry.apply({ type: 'removal', id: toId('i-1') }, 1, false)
  expect(registry.markLeaving(toId('i-1'), 1)).toBe(true)
  expect(registry.markLeaving(toId('i-1'), 1)).toBe(false)
  registry.apply({ type: 'report', report: buildReport({ sequence: 3 }) }, 2, true)
  registry.replaceAll([buildReport({ sequence: 4 })], [], 3, true)
  expect(listIds(registry)).toEqual([])
  registry.apply({ type: 'report', report: buildReport({ bornMs: 2 }) }, 4, false)
  expect(listIds(registry)).toEqual(['i-1'])
})

// Guards against a late response of an earlier run that takes a sound one out of service.
test('what says that one run is leaving says nothing of a later one, and holds for one that is not known yet', () => {
  const registry = createTargetRegistry()
  registry.apply({ type: 'report', report: buildReport({ bornMs: 2 }) }, 0, false)
  expect(registry.markLeaving(toId('i-1'), 1)).toBe(false)
  expect(listIds(registry)).toEqual(['i-1'])
  expect(registry.markLeaving(toId('i-1'), 3)).toBe(true)
  registry.apply({ type: 'report', report: buildReport({ bornMs: 3 }) }, 1, false)
  expect(listIds(registry)).toEqual([])
})

test('a run that was seen leaving never accepts work again, under random histories', () => {
  const step = fc.record({
    born: fc.integer({ min: 1, max: 3 }),
    sequence: fc.integer({ min: 0, max: 6 }),
    kind: fc.constantFrom('ready', 'draining', 'removal', 'full', 'expiry', 'mark'),
    isOutage: fc.boolean()
  })
  const seed = Number(process.env.MODEL_SEED ?? 7)
  const numRuns = Number(process.env.MODEL_RUNS ?? 500)
  fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
    const registry = createTargetRegistry()
    const leftRuns = new Set<number>()
    let nowMs = 0
    for (const { born, sequence, kind, isOutage } of steps) {
      nowMs += 500
      const report = buildReport({ bornMs: born, sequence, isDraining: kind === 'draining' })
      const known = registry.get(toId('i-1'))
      if (kind === 'removal') {
        if (registry.apply({ type: 'removal', id: toId('i-1') }, nowMs, isOutage) === 'removed' && known) leftRuns.add(known.report.bornMs * 100 + known.report.sequence)
      } else if (kind === 'mark') {
        registry.markLeaving(toId('i-1'), born)
        leftRuns.add(-born)
      } else if (kind === 'expiry') registry.removeExpired(nowMs)
      else if (kind === 'full') registry.replaceAll([report], [], nowMs, isOutage)
      else if (registry.apply({ type: 'report', report }, nowMs, isOutage) === 'leaving') leftRuns.add(-born)
      const target = registry.get(toId('i-1'))
      if (!target || target.isLeaving) continue
      expect(leftRuns.has(-target.report.bornMs)).toBe(false)
      expect(leftRuns.has(target.report.bornMs * 100 + target.report.sequence)).toBe(false)
    }
  }), { seed, numRuns })
})

// Guards against an odd record of another writer that takes a sound target away with the next full read.
test('a target whose record cannot be decoded in a full read stays', () => {
  const registry = createTargetRegistry()
  registry.apply({ type: 'report', report: buildReport() }, 0, false)
  const { id } = buildReport()
  registry.replaceAll([], [id], 1, false)
  expect(registry.get(id)).toBeDefined()
  registry.replaceAll([], [], 2, false)
  expect(registry.get(id)).toBeUndefined()
})
