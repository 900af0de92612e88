import { createTestClock } from '../../src/clock.ts'
import { createTargetSet } from '../../src/process/targets/local-target-set.ts'
import type { TargetSetOptions } from '../../src/process/targets/target-set-state.ts'
import type { SlotRequest } from '../../src/process/targets/target-set.ts'
import { toBrand } from '../../src/types.ts'
import type { CustomerId, EntryId, ServiceId, TargetId, ZoneId } from '../../src/types.ts'
import type { ServiceContract } from '../../src/version/contract.ts'
import type { AuditEvent } from '../../src/process/audit/audit-trail.ts'

/** Converts strings to entry ids. */
export function toEntryIds (...ids: string[]): EntryId[] {
  return ids.map((id) => toBrand<EntryId>(id))
}

/** Converts a string to a target id. */
export function toTargetId (id: string): TargetId {
  return toBrand<TargetId>(id)
}

/** Builds a service with `count` targets t0, t1, ... with 4 slots each. */
export function buildService (count: number, changes: Partial<ServiceContract> = {}): ServiceContract {
  const targets = Array.from({ length: count }, (_, index) => ({
    id: toTargetId(`t${index}`), address: `127.0.0.${index % 250 + 1}`, port: 8000 + Math.floor(index / 250), zone: toBrand<ZoneId>(`zone-${index % 4}`)
  }))
  return {
    targets,
    slotsPerTarget: 4,
    connectionsPerTarget: 250,
    measuring: { budgetMsPerSecond: 30, probeCostMs: 6, connectCostMs: 1, probePath: '/health' },
    hedging: { afterMs: 90, budgetShare: 0.02 },
    retries: { budgetShare: 0.01, largestAttempts: 3 },
    ejectedShare: 0.34,
    queue: { longest: 50, longestWaitMs: 500 },
    coldRampMs: 10_000,
    shedSignal: { status: 503, header: 'x-shed' },
    operations: [{ name: 'status', method: 'GET', path: '/slots/:slot', deadlineMs: 2_000, longestMs: 30_000, largestBodyBytes: 65_536, repeatable: true }],
    ...changes
  }
}

/** Creates a target set on a test clock, and records its audit events. */
export function setupTargetSet (service: ServiceContract, changes: Partial<TargetSetOptions> = {}) {
  const clock = createTestClock()
  const events: AuditEvent[] = []
  const set = createTargetSet({
    customer: toBrand<CustomerId>('kyushu'),
    serviceId: toBrand<ServiceId>('booking'),
    service,
    self: toBrand<EntryId>('e0'),
    entries: toEntryIds('e0'),
    maxEntries: 6,
    clock,
    audit: { record: (event) => events.push(event) },
    random: () => 0.5,
    ...changes
  })
  const buildSlotRequest = (request: Partial<SlotRequest> = {}): SlotRequest => ({
    exclude: new Set(), deadlineMs: clock.monotonicMs() + 2_000, canWait: true, signal: new AbortController().signal, ...request
  })
  const take = async (request: Partial<SlotRequest> = {}) => (await set.acquireSlot(buildSlotRequest(request)))._unsafeUnwrap()
  return { clock, events, set, buildSlotRequest, take }
}
