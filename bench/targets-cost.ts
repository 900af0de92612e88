/**
 * What a target set costs one process: time of a choice, memory, and time of a change of entries, by size.
 */
import { createTargetSet } from '../src/process/targets/local-target-set.ts'
import { findProbeTarget } from '../src/process/targets/find-probe-target.ts'
import { createTargetRecord } from '../src/process/targets/target-record.ts'
import type { TargetSet } from '../src/process/targets/target-set.ts'
import { createHostClock } from '../src/clock.ts'
import { toBrand } from '../src/types.ts'
import type { CustomerId, EntryId, ServiceId } from '../src/types.ts'
import { buildService } from '../test/support/target-service.ts'

/** One measured size. */
export interface TargetCost {
  targets: number
  services: number
  /** Time of taking and releasing one slot, in microseconds. */
  choiceUs: number
  /** Heap of one target, in bytes. */
  bytesPerTarget: number
  /** Time of looking for a target to probe, once a second for each service, in microseconds. */
  probeCheckUs: number
  /** Time of following a change of entries, for one service, in ms. */
  entryChangeMs: number
}

const CHOICES = 20_000
const CHECKS = 2_000
const ENTRY_COUNT = 6
const US_PER_MS = 1_000
const GOOD = { kind: 'answered', status: 200, firstByteMs: 20 } as const

const entries = Array.from({ length: ENTRY_COUNT }, (_, index) => toBrand<EntryId>(`entry-${index}`))

function createSet (targets: number, largestTargets: number): TargetSet {
  return createTargetSet({
    customer: toBrand<CustomerId>('bench'),
    serviceId: toBrand<ServiceId>('bench'),
    service: buildService(targets),
    self: entries[0]!,
    entries,
    maxEntries: ENTRY_COUNT,
    maxTargets: largestTargets,
    clock: createHostClock(),
    audit: { record: () => {} }
  })
}

async function measureChoice (set: TargetSet): Promise<number> {
  const { signal } = new AbortController()
  const exclude = new Set<never>()
  const startMs = performance.now()
  for (let count = 0; count < CHOICES; count++) {
    const slot = await set.acquireSlot({ exclude, deadlineMs: Infinity, canWait: false, signal })
    slot._unsafeUnwrap().release(GOOD)
  }
  return (performance.now() - startMs) / CHOICES * US_PER_MS
}

/** Measures the check of a service whose targets all answered lately. */
function measureProbeCheck (targets: number): number {
  const nowMs = 1_000
  const records = buildService(targets).targets.map((target) => createTargetRecord(target, { kind: 'serving' }, nowMs))
  const startMs = performance.now()
  for (let count = 0; count < CHECKS; count++) findProbeTarget(records, nowMs)
  return (performance.now() - startMs) / CHECKS * US_PER_MS
}

/** Reads the heap after a collection; without `--expose-gc` the figure is rough. */
function readHeapBytes (): number {
  (globalThis as { gc?: () => void }).gc?.()
  return process.memoryUsage().heapUsed
}

/** Measures one size; `largestTargets` bounds the subset, Infinity for none. */
export async function measureTargetCost (targets: number, services: number, largestTargets = Infinity): Promise<TargetCost> {
  const beforeBytes = readHeapBytes()
  const sets = Array.from({ length: services }, () => createSet(targets, largestTargets))
  const held = sets.reduce((sum, set) => sum + set.listTargets().length, 0)
  const bytesPerTarget = (readHeapBytes() - beforeBytes) / held
  const choiceUs = await measureChoice(sets[0]!)
  const startMs = performance.now()
  sets[0]!.updateEntries(entries.slice(1))
  const entryChangeMs = performance.now() - startMs
  for (const set of sets) set.close()
  return { targets: held / services, services, choiceUs, bytesPerTarget, probeCheckUs: measureProbeCheck(held / services), entryChangeMs }
}

/** Measures the sizes of the capacity page. */
export async function runTargetCostBench (print: (line: string) => void): Promise<void> {
  const sizes = [[30, 10], [30, 100], [30, 1_000], [300, 10], [300, 100], [3_000, 10]] as const
  for (const [targets, services] of sizes) {
    const cost = await measureTargetCost(targets, services)
    print(`${targets} targets, ${services} services: choice ${cost.choiceUs.toFixed(2)} us, ${cost.bytesPerTarget.toFixed(0)} bytes a target, probe check ${cost.probeCheckUs.toFixed(2)} us, change of entries ${cost.entryChangeMs.toFixed(2)} ms`)
  }
  const subset = await measureTargetCost(3_000, 10, 256)
  print(`3000 targets in a subset of ${subset.targets}: choice ${subset.choiceUs.toFixed(2)} us`)
}
