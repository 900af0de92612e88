/**
 * The targets of one service, chosen from what this process knows by itself.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { chooseTarget } from '../../request/balancing/choose-target.ts'
import { computeHomeSlots } from '../../request/balancing/home-slots.ts'
import { createRatioBudget } from '../../request/balancing/ratio-budget.ts'
import type { RatioBudget } from '../../request/balancing/ratio-budget.ts'
import type { CustomerId, EntryId, HostState, ServiceId, TargetId } from '../../types.ts'
import type { ServiceContract } from '../../version/contract.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import { createSlotQueue } from './slot-queue.ts'
import type { SlotQueue } from './slot-queue.ts'
import { addRunning, createTargetRecord } from './target-record.ts'
import type { TargetRecord } from './target-record.ts'
import type { ExchangeOutcome, LeavingSource, TargetReport, TargetSet, TargetSlot, TargetWish } from './target-set.ts'

/** Options of a target set. */
export interface TargetSetOptions {
  customer: CustomerId
  serviceId: ServiceId
  service: ServiceContract
  /** The entry that this process is. */
  self: EntryId
  /** The live entries at the start. */
  entries: readonly EntryId[]
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  /** Number in [0, 1) that breaks ties. Default `Math.random`. */
  random?: () => number
}

interface SetState {
  options: TargetSetOptions
  service: ServiceContract
  entries: readonly EntryId[]
  records: Map<TargetId, TargetRecord>
  queue: SlotQueue
  hedges: RatioBudget
  retries: RatioBudget
  random: () => number
}

const FIRST_RETRIES = 1

/** Computes how many requests this process may have at one target. */
function computeLargestInFlight (service: ServiceContract, entryCount: number): number {
  const connections = Math.floor(service.connectionsPerTarget / Math.max(1, entryCount))
  return Math.max(1, Math.min(service.slotsPerTarget, connections))
}

/** Deals home slots and bounds anew after a change of targets or entries. */
function updateShares (state: SetState): void {
  const { service, entries, options } = state
  const targets = [...state.records.keys()]
  const homeSlots = computeHomeSlots({ targets, slotsPerTarget: service.slotsPerTarget, entries, self: options.self })
  const largestInFlight = computeLargestInFlight(service, entries.length)
  for (const record of state.records.values()) {
    record.homeSlots = homeSlots.get(record.target.id) ?? 0
    record.largestInFlight = largestInFlight
  }
}

/** Takes the targets of a contract; known ones keep their state, unless they moved to another address. */
function applyTargets (state: SetState, service: ServiceContract, sinceMs: number): void {
  const previous = state.records
  const isFirst = previous.size === 0
  state.service = service
  state.records = new Map()
  for (const target of service.targets) {
    const known = previous.get(target.id)
    const hasMoved = known && (known.target.address !== target.address || known.target.port !== target.port)
    if (known && !hasMoved) {
      known.target = target
      state.records.set(target.id, known)
    } else {
      state.records.set(target.id, createTargetRecord(target, isFirst ? { kind: 'serving' } : { kind: 'cold', sinceMs }))
    }
  }
  updateShares(state)
}

function listOpenRecords (state: SetState, exclude: ReadonlySet<TargetId>): TargetRecord[] {
  return [...state.records.values()].filter((record) => record.state.kind !== 'leaving' && !exclude.has(record.target.id))
}

/** Hands out a slot of a target; the first release counts, later ones do nothing. */
function createSlot (state: SetState, record: TargetRecord): TargetSlot {
  let isReleased = false
  addRunning(record, 1)
  return {
    target: record.target,
    release (outcome) {
      if (isReleased) return
      isReleased = true
      addRunning(record, -1)
      applyOutcome(state, outcome)
      serveWaiting(state)
    }
  }
}

function applyOutcome (state: SetState, outcome: ExchangeOutcome): void {
  if (outcome.kind === 'answered' && outcome.status < 500) state.retries.add()
}

/** Takes a slot now: undefined when all targets that would do are busy. */
function tryTakeSlot (state: SetState, wish: TargetWish): Result<TargetSlot, AppError> | undefined {
  const open = listOpenRecords(state, wish.exclude)
  if (open.length === 0) return err(createError('no-target', 'No target of this service can take the request.'))
  const record = chooseTarget(open, state.random)
  return record && ok(createSlot(state, record))
}

function hasFreeTarget (state: SetState): boolean {
  for (const record of state.records.values()) {
    if (record.state.kind !== 'leaving' && record.inFlight < record.largestInFlight) return true
  }
  return false
}

function serveWaiting (state: SetState): void {
  state.queue.serve((wish) => tryTakeSlot(state, wish), () => hasFreeTarget(state))
}

async function takeSlot (state: SetState, wish: TargetWish): Promise<Result<TargetSlot, AppError>> {
  if (wish.signal.aborted) return err(createError('deadline-passed', 'The caller has left.'))
  if (wish.deadlineMs <= state.options.clock.monotonicMs()) {
    return err(createError('deadline-passed', 'The deadline has passed.'))
  }
  if (wish.exclude.size === 0) state.hedges.add()
  const result = tryTakeSlot(state, wish)
  if (result) return result
  if (!wish.mayWait) return err(createError('queue-full', 'All targets are busy.'))
  return state.queue.wait(wish)
}

function markLeaving (state: SetState, id: TargetId, source: LeavingSource): void {
  const record = state.records.get(id)
  if (!record || record.state.kind === 'leaving') return
  record.state = { kind: 'leaving', sinceMs: state.options.clock.monotonicMs() }
  const { customer, serviceId, audit } = state.options
  audit.record({ type: 'target-leaving', customer, service: serviceId, target: id, source })
}

function toReport (record: TargetRecord): TargetReport {
  const { target, state, inFlight, homeSlots } = record
  return { id: target.id, zone: target.zone, state: state.kind, inFlight, homeSlots }
}

/** Creates the targets of a service. */
export function createTargetSet (options: TargetSetOptions): TargetSet {
  const { clock, service } = options
  const state: SetState = {
    options,
    service,
    entries: options.entries,
    records: new Map(),
    queue: createSlotQueue({ clock, longest: service.queue.longest, longestWaitMs: service.queue.longestWaitMs }),
    hedges: createRatioBudget({ share: service.hedging.budgetShare }),
    retries: createRatioBudget({ share: service.retries.budgetShare, initial: FIRST_RETRIES }),
    random: options.random ?? Math.random
  }
  applyTargets(state, service, clock.monotonicMs())
  return {
    takeSlot: (wish) => takeSlot(state, wish),
    takeHedge: () => state.hedges.take(),
    takeRetry: () => state.retries.take(),
    markLeaving: (target, source) => markLeaving(state, target, source),
    updateContract (next) {
      applyTargets(state, next, clock.monotonicMs())
      state.queue.update(next.queue)
      state.hedges.updateShare(next.hedging.budgetShare)
      state.retries.updateShare(next.retries.budgetShare)
      serveWaiting(state)
    },
    updateEntries (entries) {
      state.entries = entries
      updateShares(state)
      serveWaiting(state)
    },
    updateHosts (hosts: readonly { id: string, state: HostState }[]) {
      for (const host of hosts) {
        if (host.state === 'leaving') markLeaving(state, host.id as TargetId, 'host-list')
      }
    },
    listTargets: () => [...state.records.values()].map(toReport),
    report: () => ({
      waiting: state.queue.count(),
      hedges: state.hedges.countTaken(),
      retries: state.retries.countTaken(),
      probes: 0,
      probeCostMs: 0
    }),
    close () {}
  }
}
