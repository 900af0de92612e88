/**
 * Bench of the cost of target sets for one process, by size: time to select a target, memory, time to find a target to
 * probe, and time to apply a change of the entries.
 */
import { createTargetSet } from '../src/process/targets/local-target-set.ts'
import { findProbeTarget } from '../src/process/targets/find-probe-target.ts'
import { createTargetRecord } from '../src/process/targets/target-record.ts'
import type { TargetSet } from '../src/process/targets/target-set.ts'
import { createHostClock } from '../src/clock.ts'
import { toBrand } from '../src/types.ts'
import type { CustomerId, EntryId, ServiceId } from '../src/types.ts'
import { buildService } from '../test/support/target-service.ts'

/** Figures of one size. */
export interface TargetCost {
  /** Targets of each service. */
  targetsPerService: number
  serviceCount: number
  /** Time to acquire and release one slot, in microseconds. */
  selectionUs: number
  /** Heap memory per target, in bytes. */
  bytesPerTarget: number
  /** Time to find a target to probe, in microseconds; done once a second for each service. */
  probeCheckUs: number
  /** Time to apply a change of the live entries to one service, in ms. */
  entryChangeMs: number
}

const SELECTION_COUNT = 20_000
const PROBE_CHECK_COUNT = 2_000
const ENTRY_COUNT = 6
const US_PER_MS = 1_000
const SUCCESS = { kind: 'answered', status: 200, firstByteMs: 20 } as const

const entries = Array.from({ length: ENTRY_COUNT }, (_, index) => toBrand<EntryId>(`entry-${index}`))

function createSet (targets: number, maxTargets: number): TargetSet {
  return createTargetSet({
    customer: toBrand<CustomerId>('bench'),
    serviceId: toBrand<ServiceId>('bench'),
    service: buildService(targets),
    self: entries[0]!,
    entries,
    maxEntries: ENTRY_COUNT,
    maxTargets,
    clock: createHostClock(),
    audit: { record: () => {} }
  })
}

/** Measures the time to acquire and release a slot, in microseconds. */
async function measureSelection (set: TargetSet): Promise<number> {
  const { signal } = new AbortController()
  const exclude = new Set<never>()
  const startMs = performance.now()
  for (let count = 0; count < SELECTION_COUNT; count++) {
    const slot = await set.acquireSlot({ exclude, deadlineMs: Infinity, canWait: false, signal })
    slot._unsafeUnwrap().release(SUCCESS)
  }
  return (performance.now() - startMs) / SELECTION_COUNT * US_PER_MS
}

/** Measures the time to find a target to probe in a service whose targets were all heard from recently, in microseconds. */
function measureProbeCheck (targets: number): number {
  const nowMs = 1_000
  const records = buildService(targets).targets.map((target) => createTargetRecord(target, { kind: 'serving' }, nowMs))
  const startMs = performance.now()
  for (let count = 0; count < PROBE_CHECK_COUNT; count++) findProbeTarget(records, nowMs)
  return (performance.now() - startMs) / PROBE_CHECK_COUNT * US_PER_MS
}

/** Returns the heap in use after a garbage collection, in bytes; without `--expose-gc` there is no collection and the figure is rough. */
function readHeapBytes (): number {
  (globalThis as { gc?: () => void }).gc?.()
  return process.memoryUsage().heapUsed
}

/**
 * Measures one size. `maxTargets` limits the subset of targets that an entry serves, unless each target would then
 * have too few entries; Infinity for no limit.
 */
export async function measureTargetCost (targets: number, services: number, maxTargets = Infinity): Promise<TargetCost> {
  const beforeBytes = readHeapBytes()
  const sets = Array.from({ length: services }, () => createSet(targets, maxTargets))
  const targetCount = sets.reduce((sum, set) => sum + set.listTargets().length, 0)
  const bytesPerTarget = (readHeapBytes() - beforeBytes) / targetCount
  const choiceUs = await measureSelection(sets[0]!)
  const startMs = performance.now()
  sets[0]!.updateEntries(entries.slice(1))
  const entryChangeMs = performance.now() - startMs
  for (const set of sets) set.close()
  return { targetsPerService: targetCount / services, serviceCount: services, selectionUs: choiceUs, bytesPerTarget, probeCheckUs: measureProbeCheck(targetCount / services), entryChangeMs }
}

/** Measures the sizes that the capacity page lists, and prints one line for each. */
export async function runTargetCostBench (print: (line: string) => void): Promise<void> {
  const sizes = [[30, 10], [30, 100], [30, 1_000], [300, 10], [300, 100], [3_000, 10]] as const
  for (const [targets, services] of sizes) {
    const cost = await measureTargetCost(targets, services)
    print(`${targets} targets, ${services} services: selection ${cost.selectionUs.toFixed(2)} us, ${cost.bytesPerTarget.toFixed(0)} bytes per target, probe check ${cost.probeCheckUs.toFixed(2)} us, entry change ${cost.entryChangeMs.toFixed(2)} ms`)
  }
  const subset = await measureTargetCost(3_000, 10, 256)
  print(`3000 targets in a subset of ${subset.targetsPerService}: selection ${subset.selectionUs.toFixed(2)} us`)
}
