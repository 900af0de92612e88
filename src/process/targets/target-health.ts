/**
 * Outlier ejection and readmission of targets by the outcomes of requests and health probes.
 */
import { addDecayed, computeDecayed, resetDecayed } from '../../request/balancing/decaying-count.ts'
import { computeMaxEjected, isOutlier } from '../../request/balancing/ejection.ts'
import type { RecentOutcomes } from '../../request/balancing/ejection.ts'
import type { TargetRecord } from './target-record.ts'
import type { ExchangeOutcome } from './target-set.ts'
import { recordTargetEvent } from './target-set-state.ts'
import type { TargetSetState } from './target-set-state.ts'

const MIN_ERROR_STATUS = 500
const OUTCOME_HALF_LIFE_MS = 5_000
/** Half-life of the load that a failure or a slow response adds, as a multiple of the smoothed response time. */
const FAILURE_LOAD_FACTOR = 5
/** Part of a slow response's load that is added to each other target of the zone. */
const ZONE_SHARE_OF_SLOW_RESPONSE = 0.3
/** Weight of a new response time in the exponentially weighted moving average. */
const RESPONSE_TIME_WEIGHT = 0.05
const MIN_BACKOFF_MS = 2_000
const MAX_BACKOFF_MS = 30_000
/** Successful trials in a row that end an ejection. */
const TRIALS_TO_READMIT = 3
/** How long a due trial waits for a `ready` probe before it starts without one. */
const MAX_PROBE_WAIT_MS = 10_000

/** What an outcome shows about the target: `shed` adds load but is no failure, `nothing` has no effect. */
type OutcomeClass = 'good' | 'failed' | 'shed' | 'nothing'

/** Returns what an outcome shows about the target. */
function getOutcomeClass (outcome: ExchangeOutcome): OutcomeClass {
  switch (outcome.kind) {
    case 'answered': return outcome.status < MIN_ERROR_STATUS ? 'good' : 'failed'
    case 'shed': return 'shed'
    case 'unreachable':
    case 'broken':
    case 'timed-out': return 'failed'
    case 'cancelled': return 'nothing'
  }
}

/** Computes the load that recent failures and slow responses add to a target, in requests. */
export function computePenalty (state: TargetSetState, record: TargetRecord, nowMs: number): number {
  return computeDecayed(record.failureLoad, nowMs, state.averageFirstByteMs * FAILURE_LOAD_FACTOR)
}

/** Adds the load of a failure or a slow response, in requests; it decays with time. */
function addFailureLoad (state: TargetSetState, record: TargetRecord, nowMs: number, amount = 1): void {
  addDecayed(record.failureLoad, amount, nowMs, state.averageFirstByteMs * FAILURE_LOAD_FACTOR)
}

/**
 * Adds load to a target that hasn't responded within the hedging delay, and a part of it to the other targets of its
 * zone: other workloads on the hosts often slow down all targets of a zone.
 */
export function addSlowResponse (state: TargetSetState, slow: TargetRecord): void {
  const nowMs = state.options.clock.monotonicMs()
  addFailureLoad(state, slow, nowMs)
  for (const record of state.records.values()) {
    if (record !== slow && record.target.zone === slow.target.zone) addFailureLoad(state, record, nowMs, ZONE_SHARE_OF_SLOW_RESPONSE)
  }
}

/** Applies the outcome of an exchange to the record of its target. */
export function applyOutcome (state: TargetSetState, record: TargetRecord, outcome: ExchangeOutcome, isTrial: boolean): void {
  const nowMs = state.options.clock.monotonicMs()
  if (isTrial) record.trial.isRunning = false
  if (outcome.kind === 'answered' || outcome.kind === 'shed') record.lastResponseAtMs = nowMs
  const outcomeClass = getOutcomeClass(outcome)
  switch (outcomeClass) {
    case 'good':
      state.retryBudget.addShare()
      if (outcome.kind === 'answered') state.averageFirstByteMs += (outcome.firstByteMs - state.averageFirstByteMs) * RESPONSE_TIME_WEIGHT
      recordSuccess(state, record, nowMs, isTrial)
      break
    case 'failed':
      if (outcome.kind === 'unreachable') record.wasUnreachable = true
      addFailureLoad(state, record, nowMs)
      recordFailure(state, record, nowMs, outcome.kind)
      break
    case 'shed':
      addFailureLoad(state, record, nowMs)
      break
    case 'nothing':
  }
}

function recordSuccess (state: TargetSetState, record: TargetRecord, nowMs: number, isTrial: boolean): void {
  addDecayed(record.recentSuccesses, 1, nowMs, OUTCOME_HALF_LIFE_MS)
  record.consecutiveFailures = 0
  if (record.wasUnreachable && record.state.kind === 'serving') record.state = { kind: 'cold', sinceMs: nowMs }
  record.wasUnreachable = false
  if (!isTrial || record.state.kind !== 'ejected') return
  record.trial.consecutiveSuccesses += 1
  if (record.trial.consecutiveSuccesses >= TRIALS_TO_READMIT) markReadmitted(state, record, nowMs)
}

/** Readmits a target. It begins cold and without its earlier outcomes. */
export function markReadmitted (state: TargetSetState, record: TargetRecord, nowMs: number): void {
  record.state = { kind: 'cold', sinceMs: nowMs }
  record.consecutiveFailures = 0
  record.wasUnreachable = false
  resetDecayed(record.recentSuccesses)
  resetDecayed(record.recentFailures)
  resetDecayed(record.failureLoad)
  recordTargetEvent(state, { type: 'target-returned', target: record.target.id })
}

/** Counts a failure of an exchange or a probe, and ejects the target when it is an outlier; `reason` goes to the audit trail. */
export function recordFailure (state: TargetSetState, record: TargetRecord, nowMs: number, reason: string): void {
  addDecayed(record.recentFailures, 1, nowMs, OUTCOME_HALF_LIFE_MS)
  record.consecutiveFailures += 1
  switch (record.state.kind) {
    case 'ejected':
      record.trial = { isRunning: record.trial.isRunning, nextAtMs: nowMs + record.trial.backoffMs, consecutiveSuccesses: 0, backoffMs: computeNextBackoff(record), hasReadyProbe: false }
      break
    case 'cold':
    case 'serving':
      if (isTargetOutlier(state, record, nowMs) && canEject(state)) markEjected(state, record, nowMs, reason)
      break
    case 'leaving':
  }
}

function isTargetOutlier (state: TargetSetState, record: TargetRecord, nowMs: number): boolean {
  const own = readOutcomes(record, nowMs)
  return isOutlier({ own, others: countOtherOutcomes(state, record, nowMs), consecutiveFailures: record.consecutiveFailures })
}

function computeNextBackoff (record: TargetRecord): number {
  return Math.min(MAX_BACKOFF_MS, record.trial.backoffMs * 2)
}

function readOutcomes (record: TargetRecord, nowMs: number): RecentOutcomes {
  return {
    good: computeDecayed(record.recentSuccesses, nowMs, OUTCOME_HALF_LIFE_MS),
    failed: computeDecayed(record.recentFailures, nowMs, OUTCOME_HALF_LIFE_MS)
  }
}

function countOtherOutcomes (state: TargetSetState, own: TargetRecord, nowMs: number): RecentOutcomes {
  const sum: RecentOutcomes = { good: 0, failed: 0 }
  for (const record of state.records.values()) {
    if (record === own || record.state.kind === 'ejected') continue
    const outcomes = readOutcomes(record, nowMs)
    sum.good += outcomes.good
    sum.failed += outcomes.failed
  }
  return sum
}

/** Returns whether one more target may be ejected. Leaving targets count as unavailable too. */
function canEject (state: TargetSetState): boolean {
  let unavailableCount = 0
  for (const record of state.records.values()) {
    if (record.state.kind === 'ejected' || record.state.kind === 'leaving') unavailableCount += 1
  }
  return unavailableCount < computeMaxEjected(state.records.size, state.service.ejectedShare)
}

function markEjected (state: TargetSetState, record: TargetRecord, nowMs: number, reason: string): void {
  record.state = { kind: 'ejected', sinceMs: nowMs }
  record.trial = { isRunning: false, nextAtMs: nowMs + MIN_BACKOFF_MS, consecutiveSuccesses: 0, backoffMs: MIN_BACKOFF_MS * 2, hasReadyProbe: false }
  recordTargetEvent(state, { type: 'target-ejected', target: record.target.id, reason })
}

/** Returns whether an ejected target may take a trial request now. */
export function canStartTrial (state: TargetSetState, record: TargetRecord, nowMs: number): boolean {
  const { trial } = record
  if (record.state.kind !== 'ejected' || trial.isRunning || nowMs < trial.nextAtMs) return false
  if (record.inFlight >= record.maxInFlight) return false
  return trial.hasReadyProbe || state.options.sendProbe === undefined || nowMs >= trial.nextAtMs + MAX_PROBE_WAIT_MS
}

/** Readmits ejected targets beyond the contract's `ejectedShare`, in the order of the target records. */
export function removeExcessEjections (state: TargetSetState): void {
  const nowMs = state.options.clock.monotonicMs()
  const ejected = [...state.records.values()].filter((record) => record.state.kind === 'ejected')
  const maxEjected = computeMaxEjected(state.records.size, state.service.ejectedShare)
  for (const record of ejected.slice(0, Math.max(0, ejected.length - maxEjected))) markReadmitted(state, record, nowMs)
}
