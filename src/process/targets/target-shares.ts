/**
 * Which targets this process serves, and its part of each: subset, home slots and bound of concurrency.
 */
import { computeHomeSlots } from '../../request/balancing/home-slots.ts'
import { computeEntriesPerTarget, isInSubset } from '../../request/balancing/subset.ts'
import type { TargetId } from '../../types.ts'
import type { ContractTarget, ServiceContract } from '../../version/contract.ts'
import { createTargetRecord } from './target-record.ts'
import type { TargetRecord } from './target-record.ts'
import type { TargetState } from './target-set.ts'
import type { SetState } from './target-set-state.ts'

const DEFAULT_LARGEST_TARGETS = 256
const LONGEST_LEAVING_MS = 3_600_000

function countEntries (state: SetState): number {
  const { self } = state.options
  return state.entries.includes(self) ? state.entries.length : state.entries.length + 1
}

/** Lists the targets of a contract that this process serves. */
function listOwnTargets (state: SetState, service: ServiceContract, entriesPerTarget: number): ContractTarget[] {
  const { self } = state.options
  if (entriesPerTarget >= countEntries(state)) return service.targets
  return service.targets.filter((target) => isInSubset(target.id, self, state.entries, entriesPerTarget))
}

/** Keeps the record of a known target, unless it moved to another address; then it is another process. */
function findKnownRecord (known: TargetRecord | undefined, target: ContractTarget): TargetRecord | undefined {
  if (!known || known.target.address !== target.address || known.target.port !== target.port) return undefined
  known.target = target
  return known
}

/** Computes the targets of this process and its part of each, after a change of contract or entries. */
export function updateShares (state: SetState): void {
  const { service, options } = state
  const nowMs = options.clock.monotonicMs()
  const entriesPerTarget = computeEntriesPerTarget({
    entryCount: countEntries(state),
    targetCount: service.targets.length,
    connectionsPerTarget: service.connectionsPerTarget,
    largestTargets: options.largestTargets ?? DEFAULT_LARGEST_TARGETS
  })
  const previous = state.records
  const targets = listOwnTargets(state, service, entriesPerTarget)
  state.records = new Map(targets.map((target) => {
    const before = previous.get(target.id) ?? state.parked.get(target.id)
    const isNew = before !== undefined || !state.listedIds.has(target.id)
    return [target.id, findKnownRecord(before, target) ?? createTargetRecord(target, getFirstState(isNew, nowMs), nowMs)]
  }))
  setLeavingAside(state, previous, nowMs)
  state.listedIds = new Set(service.targets.map((target) => target.id))
  applyShares(state, entriesPerTarget)
}

/** A target that is new to the contract, or moved, is cold; one that is new to this process alone is not. */
function getFirstState (isNew: boolean, nowMs: number): TargetState {
  return isNew ? { kind: 'cold', sinceMs: nowMs } : { kind: 'serving' }
}

/** Sets leaving targets aside that are no longer served here, and forgets those that must have ended. */
function setLeavingAside (state: SetState, previous: Map<TargetId, TargetRecord>, nowMs: number): void {
  for (const [id, record] of previous) {
    if (record.state.kind === 'leaving') state.parked.set(id, record)
  }
  for (const [id, record] of state.parked) {
    const isOver = record.state.kind !== 'leaving' || nowMs - record.state.sinceMs > LONGEST_LEAVING_MS
    if (isOver || state.records.get(id) === record) state.parked.delete(id)
  }
}

function applyShares (state: SetState, entriesPerTarget: number): void {
  const { service, entries, options } = state
  const homeSlots = computeHomeSlots({
    targets: [...state.records.keys()],
    slotsPerTarget: service.slotsPerTarget,
    entries,
    self: options.self
  })
  // By the contract's number of entries, so that the sum holds whoever is believed to be live.
  const sharers = Math.max(entriesPerTarget, Math.min(state.largestEntries, service.connectionsPerTarget))
  const connections = Math.floor(service.connectionsPerTarget / sharers)
  state.largestInFlight = Math.max(1, Math.min(service.slotsPerTarget, connections))
  state.list = [...state.records.values()]
  for (const record of state.records.values()) {
    record.homeSlots = homeSlots.get(record.target.id) ?? 0
    record.largestInFlight = state.largestInFlight
  }
}
