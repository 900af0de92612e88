/**
 * Computes which targets this process serves, and its share of each: subset, home slots and concurrency limit.
 */
import { computeHomeSlots } from '../../request/balancing/home-slots.ts'
import { computeEntriesPerTarget, isInSubset } from '../../request/balancing/subset.ts'
import type { TargetId } from '../../types.ts'
import type { ContractTarget, ServiceContract } from '../../version/contract.ts'
import { createTargetRecord } from './target-record.ts'
import type { TargetRecord } from './target-record.ts'
import type { TargetState } from './target-set.ts'
import type { TargetSetState } from './target-set-state.ts'

const DEFAULT_MAX_TARGETS = 256
/** The record of a leaving target that this process no longer serves is removed after this time, in ms. */
const MAX_LEAVING_MS = 3_600_000

function countEntries (state: TargetSetState): number {
  const { self } = state.options
  return state.entries.includes(self) ? state.entries.length : state.entries.length + 1
}

/** Lists the targets of a contract that are in the subset of this process. */
function listOwnTargets (state: TargetSetState, service: ServiceContract, entriesPerTarget: number): ContractTarget[] {
  const { self } = state.options
  if (entriesPerTarget >= countEntries(state)) return service.targets
  return service.targets.filter((target) => isInSubset(target.id, self, state.entries, entriesPerTarget))
}

/** Returns the record of a known target; undefined when its address changed, since it is another process then. */
function findKnownRecord (known: TargetRecord | undefined, target: ContractTarget): TargetRecord | undefined {
  if (!known || known.target.address !== target.address || known.target.port !== target.port) return undefined
  known.target = target
  return known
}

/** Computes the targets of this process and its share of each, after a change of contract or entries. */
export function updateShares (state: TargetSetState): void {
  const { service, options } = state
  const nowMs = options.clock.monotonicMs()
  const entriesPerTarget = computeEntriesPerTarget({
    entryCount: countEntries(state),
    targetCount: service.targets.length,
    connectionsPerTarget: service.connectionsPerTarget,
    maxTargets: options.maxTargets ?? DEFAULT_MAX_TARGETS
  })
  const previous = state.records
  const targets = listOwnTargets(state, service, entriesPerTarget)
  state.records = new Map(targets.map((target) => {
    const before = previous.get(target.id) ?? state.unservedLeaving.get(target.id)
    const isCold = before !== undefined || !state.contractTargetIds.has(target.id)
    return [target.id, findKnownRecord(before, target) ?? createTargetRecord(target, getInitialState(isCold, nowMs), nowMs)]
  }))
  keepUnservedLeaving(state, previous, nowMs)
  state.contractTargetIds = new Set(service.targets.map((target) => target.id))
  applyShares(state, entriesPerTarget)
}

/** Returns the initial state: cold for a target that is new to the contract or moved, serving for one that is new to this process only. */
function getInitialState (isCold: boolean, nowMs: number): TargetState {
  return isCold ? { kind: 'cold', sinceMs: nowMs } : { kind: 'serving' }
}

/** Keeps the records of leaving targets that this process no longer serves, and drops those whose process must have ended. */
function keepUnservedLeaving (state: TargetSetState, previous: Map<TargetId, TargetRecord>, nowMs: number): void {
  for (const [id, record] of previous) {
    if (record.state.kind === 'leaving') state.unservedLeaving.set(id, record)
  }
  for (const [id, record] of state.unservedLeaving) {
    const isExpired = record.state.kind !== 'leaving' || nowMs - record.state.sinceMs > MAX_LEAVING_MS
    if (isExpired || state.records.get(id) === record) state.unservedLeaving.delete(id)
  }
}

function applyShares (state: TargetSetState, entriesPerTarget: number): void {
  const { service, entries, options } = state
  const homeSlots = computeHomeSlots({
    targets: [...state.records.keys()],
    slotsPerTarget: service.slotsPerTarget,
    entries,
    self: options.self
  })
  // Divided by the contract's number of entries, so that all stay within the limit together even when their views of the
  // live entries differ.
  const sharingEntries = Math.max(entriesPerTarget, Math.min(state.maxEntries, service.connectionsPerTarget))
  const connections = Math.floor(service.connectionsPerTarget / sharingEntries)
  state.maxInFlight = Math.max(1, Math.min(service.slotsPerTarget, connections))
  state.recordList = [...state.records.values()]
  for (const record of state.records.values()) {
    record.homeSlots = homeSlots.get(record.target.id) ?? 0
    record.maxInFlight = state.maxInFlight
  }
}
