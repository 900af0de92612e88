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
import { findProbeTarget } from './find-probe-target.ts'
import { serveQueuedRequests, tryAcquireSlot } from './acquire-slot.ts'
import { createSlotQueue } from './slot-queue.ts'
import { recordFailure, addSlowResponse, removeExcessEjections } from './target-health.ts'
import { applyHostList, markLeaving, tryReadmit } from './target-leaving.ts'
import { startTargetProber } from './target-prober.ts'
import type { HealthProbeResult, SendHealthProbe, TargetProber } from './target-prober.ts'
import type { TargetRecord } from './target-record.ts'
import type { TargetReport, TargetSet, TargetSlot, SlotRequest } from './target-set.ts'
import type { TargetSetState, TargetSetOptions } from './target-set-state.ts'
import { updateShares } from './target-shares.ts'

/** Retry tokens at the start: a process that has just started can retry once after an unreachable target. */
const INITIAL_RETRIES = 1

function createState (options: TargetSetOptions): TargetSetState {
  const { clock, service } = options
  return {
    options,
    service,
    entries: options.entries,
    maxEntries: options.maxEntries,
    records: new Map(),
    recordList: [],
    maxInFlight: 1,
    unservedLeaving: new Map(),
    contractTargetIds: new Set(service.targets.map((target) => target.id)),
    queue: createSlotQueue({ clock, maxLength: service.queue.longest, maxWaitMs: service.queue.longestWaitMs }),
    hedgeBudget: createRatioBudget({ share: service.hedging.budgetShare }),
    retryBudget: createRatioBudget({ share: service.retries.budgetShare, initialTokens: INITIAL_RETRIES }),
    random: options.random ?? Math.random,
    averageFirstByteMs: service.hedging.afterMs
  }
}

async function acquireSlot (state: TargetSetState, request: SlotRequest): Promise<Result<TargetSlot, AppError>> {
  if (request.signal.aborted) return err(createError('deadline-passed', 'The caller has disconnected.'))
  if (request.deadlineMs <= state.options.clock.monotonicMs()) {
    return err(createError('deadline-passed', 'The deadline has passed.'))
  }
  if (request.exclude.size === 0) state.hedgeBudget.addShare()
  const result = tryAcquireSlot(state, request)
  if (result) return result
  if (!request.canWait) return err(createError('queue-full', 'All targets of the service are busy.'))
  return state.queue.wait(request)
}

/** Takes budget for a hedge. The slow target counts as more loaded, whether the hedge is granted or not. */
function tryAcquireHedge (state: TargetSetState, slowTarget: TargetId | undefined): boolean {
  const record = slowTarget === undefined ? undefined : state.records.get(slowTarget)
  if (record) addSlowResponse(state, record)
  return state.hedgeBudget.tryAcquire()
}

/** Applies the result of a health probe. */
function applyProbe (state: TargetSetState, id: TargetId, result: HealthProbeResult): void {
  const record = state.records.get(id)
  if (!record) return
  const nowMs = state.options.clock.monotonicMs()
  record.isProbing = false
  switch (result.kind) {
    case 'ready':
      record.lastResponseAtMs = nowMs
      applyReady(state, record)
      return
    case 'leaving':
      record.lastResponseAtMs = nowMs
      markLeaving(state, id, 'probe')
      return
    case 'unreachable':
      record.wasUnreachable = true
      recordFailure(state, record, nowMs, 'unreachable')
      return
    case 'silent':
      recordFailure(state, record, nowMs, 'silent')
  }
}

/**
 * Applies a `ready` probe: it allows trials of an ejected target and the readmission of a leaving one. It doesn't show
 * that requests succeed, so it never ends an ejection by itself.
 */
function applyReady (state: TargetSetState, record: TargetRecord): void {
  switch (record.state.kind) {
    case 'ejected':
      record.trial.hasReadyProbe = true
      return
    case 'leaving':
      tryReadmit(state, record)
      return
    case 'cold':
    case 'serving':
      record.wasUnreachable = false
  }
}

function startProber (state: TargetSetState, sendProbe: SendHealthProbe): TargetProber {
  const { clock, maxEntries } = state.options
  return startTargetProber({
    clock,
    measuring: state.service.measuring,
    maxEntries,
    sendProbe,
    findNext: () => findProbeTarget(state.records.values(), clock.monotonicMs())?.target,
    handleStart (target) {
      const record = state.records.get(target.id)
      if (!record) return
      record.isProbing = true
      record.lastProbeAtMs = clock.monotonicMs()
    },
    handleResult (target, result) {
      applyProbe(state, target.id, result)
      serveQueuedRequests(state)
    }
  })
}

/** Applies a new version of the contract. */
function updateContract (state: TargetSetState, prober: TargetProber | undefined, service: ServiceContract, maxEntries: number): void {
  state.service = service
  state.maxEntries = maxEntries
  updateShares(state)
  removeExcessEjections(state)
  state.queue.update(service.queue)
  state.hedgeBudget.updateShare(service.hedging.budgetShare)
  state.retryBudget.updateShare(service.retries.budgetShare)
  prober?.update(service.measuring, maxEntries)
  serveQueuedRequests(state)
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
    acquireSlot: (request) => acquireSlot(state, request),
    tryAcquireHedge: (slowTarget) => tryAcquireHedge(state, slowTarget),
    tryAcquireRetry: (attempts = 0) => attempts < state.service.retries.largestAttempts && state.retryBudget.tryAcquire(),
    markLeaving (target, source) {
      markLeaving(state, target, source)
      serveQueuedRequests(state)
    },
    updateContract: (next, maxEntries) => updateContract(state, prober, next, maxEntries ?? state.maxEntries),
    updateEntries (entries) {
      state.entries = entries
      updateShares(state)
      serveQueuedRequests(state)
    },
    updateHosts (hosts) {
      applyHostList(state, hosts)
      serveQueuedRequests(state)
    },
    listTargets: () => [...state.records.values()].map(toReport),
    report: () => ({
      waiting: state.queue.count(),
      hedges: state.hedgeBudget.countAcquired(),
      retries: state.retryBudget.countAcquired(),
      ...(prober?.report() ?? { probes: 0, probeCostMs: 0 })
    }),
    close: () => prober?.stop()
  }
}
