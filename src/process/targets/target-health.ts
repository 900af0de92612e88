/**
 * Outlier ejection and readmission of targets by the outcomes of requests and health probes.
 */
import { addDecayed, computeDecayed, resetDecayed } from '../../request/balancing/decaying-count.ts'
import { computeLargestEjected, isOutlier } from '../../request/balancing/ejection.ts'
import type { RecentAnswers } from '../../request/balancing/ejection.ts'
import type { TargetRecord } from './target-record.ts'
import type { ExchangeOutcome } from './target-set.ts'
import { recordChange } from './target-set-state.ts'
import type { SetState } from './target-set-state.ts'

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

/** What an outcome shows about the target: `refused` is a shed request, `nothing` has no effect. */
type OutcomeClass = 'good' | 'failed' | 'refused' | 'nothing'

/** Returns what an outcome shows about the target. */
function getOutcomeClass (outcome: ExchangeOutcome): OutcomeClass {
  switch (outcome.kind) {
    case 'answered': return outcome.status < MIN_ERROR_STATUS ? 'good' : 'failed'
    case 'shed': return 'refused'
    case 'unreachable':
    case 'broken':
    case 'timed-out': return 'failed'
    case 'cancelled': return 'nothing'
  }
}

/** Computes the load that recent failures and slow responses add to a target, in requests. */
export function computePenalty (state: SetState, record: TargetRecord, nowMs: number): number {
  return computeDecayed(record.failureLoad, nowMs, state.typicalMs * FAILURE_LOAD_FACTOR)
}

/** Adds the load of a failure or a slow response, in requests; it decays with time. */
function addFailureLoad (state: SetState, record: TargetRecord, nowMs: number, amount = 1): void {
  addDecayed(record.failureLoad, amount, nowMs, state.typicalMs * FAILURE_LOAD_FACTOR)
}

/**
 * Adds load to a target whose response didn't come within the hedging delay, and a part of it to the other targets of
 * its zone: noisy neighbours often slow a whole zone.
 */
export function addSlowWait (state: SetState, slow: TargetRecord): void {
  const nowMs = state.options.clock.monotonicMs()
  addFailureLoad(state, slow, nowMs)
  for (const record of state.records.values()) {
    if (record !== slow && record.target.zone === slow.target.zone) addFailureLoad(state, record, nowMs, ZONE_SHARE_OF_SLOW_RESPONSE)
  }
}

/** Applies the outcome of an exchange to the record of its target. */
export function applyOutcome (state: SetState, record: TargetRecord, outcome: ExchangeOutcome, isTrial: boolean): void {
  const nowMs = state.options.clock.monotonicMs()
  if (isTrial) record.trial.isRunning = false
  if (outcome.kind === 'answered' || outcome.kind === 'shed') record.lastAnswerMs = nowMs
  const outcomeClass = getOutcomeClass(outcome)
  switch (outcomeClass) {
    case 'good':
      state.retries.add()
      if (outcome.kind === 'answered') state.typicalMs += (outcome.firstByteMs - state.typicalMs) * RESPONSE_TIME_WEIGHT
      recordSuccess(state, record, nowMs, isTrial)
      break
    case 'failed':
      if (outcome.kind === 'unreachable') record.wasUnreachable = true
      addFailureLoad(state, record, nowMs)
      addFailed(state, record, nowMs, outcome.kind)
      break
    case 'refused':
      addFailureLoad(state, record, nowMs)
      break
    case 'nothing':
  }
}

function recordSuccess (state: SetState, record: TargetRecord, nowMs: number, isTrial: boolean): void {
  addDecayed(record.good, 1, nowMs, OUTCOME_HALF_LIFE_MS)
  record.failuresInRow = 0
  if (record.wasUnreachable && record.state.kind === 'serving') record.state = { kind: 'cold', sinceMs: nowMs }
  record.wasUnreachable = false
  if (!isTrial || record.state.kind !== 'ejected') return
  record.trial.good += 1
  if (record.trial.good >= TRIALS_TO_READMIT) markReturned(state, record, nowMs)
}

/** Readmits a target. It begins cold and without its earlier outcomes. */
export function markReturned (state: SetState, record: TargetRecord, nowMs: number): void {
  record.state = { kind: 'cold', sinceMs: nowMs }
  record.failuresInRow = 0
  record.wasUnreachable = false
  resetDecayed(record.good)
  resetDecayed(record.failed)
  resetDecayed(record.failureLoad)
  recordChange(state, { type: 'target-returned', target: record.target.id })
}

/** Counts a failure of an exchange or a probe, and ejects the target when it is an outlier; `reason` goes to the audit trail. */
export function addFailed (state: SetState, record: TargetRecord, nowMs: number, reason: string): void {
  addDecayed(record.failed, 1, nowMs, OUTCOME_HALF_LIFE_MS)
  record.failuresInRow += 1
  switch (record.state.kind) {
    case 'ejected':
      record.trial = { isRunning: record.trial.isRunning, nextMs: nowMs + record.trial.backoffMs, good: 0, backoffMs: computeNextBackoff(record), isConfirmed: false }
      break
    case 'cold':
    case 'serving':
      if (isTargetOutlier(state, record, nowMs) && canEject(state)) markEjected(state, record, nowMs, reason)
      break
    case 'leaving':
  }
}

function isTargetOutlier (state: SetState, record: TargetRecord, nowMs: number): boolean {
  const own = readOutcomes(record, nowMs)
  return isOutlier({ own, others: countOtherOutcomes(state, record, nowMs), failuresInRow: record.failuresInRow })
}

function computeNextBackoff (record: TargetRecord): number {
  return Math.min(MAX_BACKOFF_MS, record.trial.backoffMs * 2)
}

function readOutcomes (record: TargetRecord, nowMs: number): RecentAnswers {
  return {
    good: computeDecayed(record.good, nowMs, OUTCOME_HALF_LIFE_MS),
    failed: computeDecayed(record.failed, nowMs, OUTCOME_HALF_LIFE_MS)
  }
}

function countOtherOutcomes (state: SetState, own: TargetRecord, nowMs: number): RecentAnswers {
  const sum: RecentAnswers = { good: 0, failed: 0 }
  for (const record of state.records.values()) {
    if (record === own || record.state.kind === 'ejected') continue
    const outcomes = readOutcomes(record, nowMs)
    sum.good += outcomes.good
    sum.failed += outcomes.failed
  }
  return sum
}

/** Returns whether one more target may be ejected. Leaving targets count as unavailable too. */
function canEject (state: SetState): boolean {
  let unavailableCount = 0
  for (const record of state.records.values()) {
    if (record.state.kind === 'ejected' || record.state.kind === 'leaving') unavailableCount += 1
  }
  return unavailableCount < computeLargestEjected(state.records.size, state.service.ejectedShare)
}

function markEjected (state: SetState, record: TargetRecord, nowMs: number, reason: string): void {
  record.state = { kind: 'ejected', sinceMs: nowMs }
  record.trial = { isRunning: false, nextMs: nowMs + MIN_BACKOFF_MS, good: 0, backoffMs: MIN_BACKOFF_MS * 2, isConfirmed: false }
  recordChange(state, { type: 'target-ejected', target: record.target.id, reason })
}

/** Returns whether an ejected target may take a trial request now. */
export function canTry (state: SetState, record: TargetRecord, nowMs: number): boolean {
  const { trial } = record
  if (record.state.kind !== 'ejected' || trial.isRunning || nowMs < trial.nextMs) return false
  if (record.inFlight >= record.largestInFlight) return false
  return trial.isConfirmed || state.options.sendProbe === undefined || nowMs >= trial.nextMs + MAX_PROBE_WAIT_MS
}

/** Readmits ejected targets beyond the contract's `ejectedShare`, in the order of the target records. */
export function removeEjectionsOverShare (state: SetState): void {
  const nowMs = state.options.clock.monotonicMs()
  const ejected = [...state.records.values()].filter((record) => record.state.kind === 'ejected')
  const maxEjected = computeLargestEjected(state.records.size, state.service.ejectedShare)
  for (const record of ejected.slice(0, Math.max(0, ejected.length - maxEjected))) markReturned(state, record, nowMs)
}
