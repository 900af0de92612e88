/**
 * The target set of one service: selects targets by the local view of this process alone.
 */
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { createRatioBudget } from '../../request/balancing/ratio-budget.ts'
import type { TargetId } from '../../types.ts'
import type { ServiceContract } from '../../version/contract.ts'
import { findProbeTarget } from './probe-need.ts'
import { serveWaiting, tryTakeSlot } from './slot-choice.ts'
import { createSlotQueue } from './slot-queue.ts'
import { addFailed, addSlowWait, removeEjectionsOverShare } from './target-health.ts'
import { applyHostList, markLeaving, tryReturn } from './target-leaving.ts'
import { startTargetProber } from './target-prober.ts'
import type { ProbeResult, SendProbe, TargetProber } from './target-prober.ts'
import type { TargetRecord } from './target-record.ts'
import type { TargetReport, TargetSet, TargetSlot, TargetWish } from './target-set.ts'
import type { SetState, TargetSetOptions } from './target-set-state.ts'
import { updateShares } from './target-shares.ts'

// Lets a process that has just started retry once after an unreachable target.
const INITIAL_RETRIES = 1

function createState (options: TargetSetOptions): SetState {
  const { clock, service } = options
  return {
    options,
    service,
    entries: options.entries,
    largestEntries: options.largestEntries,
    records: new Map(),
    list: [],
    largestInFlight: 1,
    parked: new Map(),
    listedIds: new Set(service.targets.map((target) => target.id)),
    queue: createSlotQueue({ clock, longest: service.queue.longest, longestWaitMs: service.queue.longestWaitMs }),
    hedges: createRatioBudget({ share: service.hedging.budgetShare }),
    retries: createRatioBudget({ share: service.retries.budgetShare, initial: INITIAL_RETRIES }),
    random: options.random ?? Math.random,
    typicalMs: service.hedging.afterMs
  }
}

async function acquireSlot (state: SetState, request: TargetWish): Promise<Result<TargetSlot, AppError>> {
  if (request.signal.aborted) return err(createError('deadline-passed', 'The caller has disconnected.'))
  if (request.deadlineMs <= state.options.clock.monotonicMs()) {
    return err(createError('deadline-passed', 'The deadline has passed.'))
  }
  if (request.exclude.size === 0) state.hedges.add()
  const result = tryTakeSlot(state, request)
  if (result) return result
  if (!request.mayWait) return err(createError('queue-full', 'All targets of the service are busy.'))
  return state.queue.wait(request)
}

/** Takes budget for a hedge. The slow target counts as more loaded, whether the hedge is granted or not. */
function tryAcquireHedge (state: SetState, slowTarget: TargetId | undefined): boolean {
  const record = slowTarget === undefined ? undefined : state.records.get(slowTarget)
  if (record) addSlowWait(state, record)
  return state.hedges.take()
}

/** Applies the result of a health probe. */
function applyProbe (state: SetState, id: TargetId, result: ProbeResult): void {
  const record = state.records.get(id)
  if (!record) return
  const nowMs = state.options.clock.monotonicMs()
  record.isProbing = false
  switch (result.kind) {
    case 'ready':
      record.lastAnswerMs = nowMs
      applyReady(state, record)
      return
    case 'leaving':
      record.lastAnswerMs = nowMs
      markLeaving(state, id, 'probe')
      return
    case 'unreachable':
      record.wasUnreachable = true
      addFailed(state, record, nowMs, 'unreachable')
      return
    case 'silent':
      addFailed(state, record, nowMs, 'silent')
  }
}

/**
 * Applies a `ready` probe: it allows trials of an ejected target and the readmission of a leaving one. It doesn't show
 * that requests succeed, so it never ends an ejection by itself.
 */
function applyReady (state: SetState, record: TargetRecord): void {
  switch (record.state.kind) {
    case 'ejected':
      record.trial.isConfirmed = true
      return
    case 'leaving':
      tryReturn(state, record)
      return
    case 'cold':
    case 'serving':
      record.wasUnreachable = false
  }
}

function startProber (state: SetState, sendProbe: SendProbe): TargetProber {
  const { clock, largestEntries } = state.options
  return startTargetProber({
    clock,
    measuring: state.service.measuring,
    largestEntries,
    sendProbe,
    findNext: () => findProbeTarget(state.records.values(), clock.monotonicMs())?.target,
    start (target) {
      const record = state.records.get(target.id)
      if (!record) return
      record.isProbing = true
      record.lastProbeMs = clock.monotonicMs()
    },
    settle (target, result) {
      applyProbe(state, target.id, result)
      serveWaiting(state)
    }
  })
}

/** Applies a new version of the contract. */
function updateContract (state: SetState, prober: TargetProber | undefined, service: ServiceContract, maxEntries: number): void {
  state.service = service
  state.largestEntries = maxEntries
  updateShares(state)
  removeEjectionsOverShare(state)
  state.queue.update(service.queue)
  state.hedges.updateShare(service.hedging.budgetShare)
  state.retries.updateShare(service.retries.budgetShare)
  prober?.update(service.measuring, maxEntries)
  serveWaiting(state)
}

function toReport (record: TargetRecord): TargetReport {
  const { target, state, inFlight, homeSlots } = record
  return { id: target.id, zone: target.zone, state: state.kind, inFlight, homeSlots }
}

/** Creates the target set of a service. With `sendProbe` it sends health probes until it is closed. */
export function createTargetSet (options: TargetSetOptions): TargetSet {
  const state = createState(options)
  updateShares(state)
  const prober = options.sendProbe && startProber(state, options.sendProbe)
  return {
    takeSlot: (request) => acquireSlot(state, request),
    takeHedge: (slowTarget) => tryAcquireHedge(state, slowTarget),
    takeRetry: (attempts = 0) => attempts < state.service.retries.largestAttempts && state.retries.take(),
    markLeaving (target, source) {
      markLeaving(state, target, source)
      serveWaiting(state)
    },
    updateContract: (next, maxEntries) => updateContract(state, prober, next, maxEntries ?? state.largestEntries),
    updateEntries (entries) {
      state.entries = entries
      updateShares(state)
      serveWaiting(state)
    },
    updateHosts (hosts) {
      applyHostList(state, hosts)
      serveWaiting(state)
    },
    listTargets: () => [...state.records.values()].map(toReport),
    report: () => ({
      waiting: state.queue.count(),
      hedges: state.hedges.countTaken(),
      retries: state.retries.countTaken(),
      ...(prober?.report() ?? { probes: 0, probeCostMs: 0 })
    }),
    close: () => prober?.stop()
  }
}
