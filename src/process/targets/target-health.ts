/**
 * How answers and failures change the state of a target: ejection, trials and the way back.
 */
import { addDecayed, computeDecayed, resetDecayed } from '../../request/balancing/decaying-count.ts'
import { computeLargestEjected, isOutlier } from '../../request/balancing/ejection.ts'
import type { RecentAnswers } from '../../request/balancing/ejection.ts'
import type { TargetRecord } from './target-record.ts'
import type { ExchangeOutcome } from './target-set.ts'
import { recordChange } from './target-set-state.ts'
import type { SetState } from './target-set-state.ts'

const FIRST_ERROR_STATUS = 500
const ANSWER_HALF_LIFE_MS = 5_000
/** How many times longer than good work a failure, or a wait past the hedging time, counts as load. */
const FAILURE_LOAD_FACTOR = 5
/** How much of a slow wait counts for each other target of the zone. */
const ZONE_SHARE_OF_SLOW_WAIT = 0.3
const TYPICAL_SMOOTHING = 0.05
const FIRST_BACKOFF_MS = 2_000
const LARGEST_BACKOFF_MS = 30_000
const GOOD_TRIALS_TO_RETURN = 3
/** How long a trial waits for a probe before requests are tried without one. */
const PROBE_PATIENCE_MS = 10_000

type Verdict = 'good' | 'failed' | 'refused' | 'nothing'

/** Judges what an outcome says about the target. */
function getVerdict (outcome: ExchangeOutcome): Verdict {
  switch (outcome.kind) {
    case 'answered': return outcome.status < FIRST_ERROR_STATUS ? 'good' : 'failed'
    case 'shed': return 'refused'
    case 'unreachable':
    case 'broken':
    case 'timed-out': return 'failed'
    case 'cancelled': return 'nothing'
  }
}

/** Computes the requests that recent failures of a target count for. */
export function computePenalty (state: SetState, record: TargetRecord, nowMs: number): number {
  return computeDecayed(record.failureLoad, nowMs, state.typicalMs * FAILURE_LOAD_FACTOR)
}

/** Counts a failure, or a wait past the hedging time, as a request in flight for a while. */
function addFailureLoad (state: SetState, record: TargetRecord, nowMs: number, amount = 1): void {
  addDecayed(record.failureLoad, amount, nowMs, state.typicalMs * FAILURE_LOAD_FACTOR)
}

/**
 * Counts a wait past the hedging time as load of its target, and a part of it as load of the zone's other targets:
 * neighbours often slow a whole zone.
 */
export function addSlowWait (state: SetState, slow: TargetRecord): void {
  const nowMs = state.options.clock.monotonicMs()
  addFailureLoad(state, slow, nowMs)
  for (const record of state.records.values()) {
    if (record !== slow && record.target.zone === slow.target.zone) addFailureLoad(state, record, nowMs, ZONE_SHARE_OF_SLOW_WAIT)
  }
}

/** Applies the outcome of an exchange. */
export function applyOutcome (state: SetState, record: TargetRecord, outcome: ExchangeOutcome, isTrial: boolean): void {
  const nowMs = state.options.clock.monotonicMs()
  if (isTrial) record.trial.isRunning = false
  if (outcome.kind === 'answered' || outcome.kind === 'shed') record.lastAnswerMs = nowMs
  const verdict = getVerdict(outcome)
  switch (verdict) {
    case 'good':
      state.retries.add()
      if (outcome.kind === 'answered') state.typicalMs += (outcome.firstByteMs - state.typicalMs) * TYPICAL_SMOOTHING
      addGood(state, record, nowMs, isTrial)
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

function addGood (state: SetState, record: TargetRecord, nowMs: number, isTrial: boolean): void {
  addDecayed(record.good, 1, nowMs, ANSWER_HALF_LIFE_MS)
  record.failuresInRow = 0
  if (record.wasUnreachable && record.state.kind === 'serving') record.state = { kind: 'cold', sinceMs: nowMs }
  record.wasUnreachable = false
  if (!isTrial || record.state.kind !== 'ejected') return
  record.trial.good += 1
  if (record.trial.good >= GOOD_TRIALS_TO_RETURN) markReturned(state, record, nowMs)
}

/** Lets a target take work again, cold at first. */
export function markReturned (state: SetState, record: TargetRecord, nowMs: number): void {
  record.state = { kind: 'cold', sinceMs: nowMs }
  record.failuresInRow = 0
  record.wasUnreachable = false
  resetDecayed(record.good)
  resetDecayed(record.failed)
  resetDecayed(record.failureLoad)
  recordChange(state, { type: 'target-returned', target: record.target.id })
}

/** Counts a failure of an exchange or a probe, and ejects the target when it is out of line. */
export function addFailed (state: SetState, record: TargetRecord, nowMs: number, reason: string): void {
  addDecayed(record.failed, 1, nowMs, ANSWER_HALF_LIFE_MS)
  record.failuresInRow += 1
  switch (record.state.kind) {
    case 'ejected':
      record.trial = { isRunning: record.trial.isRunning, nextMs: nowMs + record.trial.backoffMs, good: 0, backoffMs: computeNextBackoff(record), isConfirmed: false }
      break
    case 'cold':
    case 'serving':
      if (isOutOfLine(state, record, nowMs) && canEject(state)) markEjected(state, record, nowMs, reason)
      break
    case 'leaving':
  }
}

function isOutOfLine (state: SetState, record: TargetRecord, nowMs: number): boolean {
  const own = readAnswers(record, nowMs)
  return isOutlier({ own, others: countOthers(state, record, nowMs), failuresInRow: record.failuresInRow })
}

function computeNextBackoff (record: TargetRecord): number {
  return Math.min(LARGEST_BACKOFF_MS, record.trial.backoffMs * 2)
}

function readAnswers (record: TargetRecord, nowMs: number): RecentAnswers {
  return {
    good: computeDecayed(record.good, nowMs, ANSWER_HALF_LIFE_MS),
    failed: computeDecayed(record.failed, nowMs, ANSWER_HALF_LIFE_MS)
  }
}

function countOthers (state: SetState, own: TargetRecord, nowMs: number): RecentAnswers {
  const sum: RecentAnswers = { good: 0, failed: 0 }
  for (const record of state.records.values()) {
    if (record === own || record.state.kind === 'ejected') continue
    const answers = readAnswers(record, nowMs)
    sum.good += answers.good
    sum.failed += answers.failed
  }
  return sum
}

/** Tells whether one more target may be ejected; leaving ones count as lost too. */
function canEject (state: SetState): boolean {
  let lost = 0
  for (const record of state.records.values()) {
    if (record.state.kind === 'ejected' || record.state.kind === 'leaving') lost += 1
  }
  return lost < computeLargestEjected(state.records.size, state.service.ejectedShare)
}

function markEjected (state: SetState, record: TargetRecord, nowMs: number, reason: string): void {
  record.state = { kind: 'ejected', sinceMs: nowMs }
  record.trial = { isRunning: false, nextMs: nowMs + FIRST_BACKOFF_MS, good: 0, backoffMs: FIRST_BACKOFF_MS * 2, isConfirmed: false }
  recordChange(state, { type: 'target-ejected', target: record.target.id, reason })
}

/** Tells whether an ejected target may be tried by a request now. */
export function canTry (state: SetState, record: TargetRecord, nowMs: number): boolean {
  const { trial } = record
  if (record.state.kind !== 'ejected' || trial.isRunning || nowMs < trial.nextMs) return false
  if (record.inFlight >= record.largestInFlight) return false
  return trial.isConfirmed || state.options.sendProbe === undefined || nowMs >= trial.nextMs + PROBE_PATIENCE_MS
}

/** Takes back ejections beyond the contract's share after a change of targets, the oldest first. */
export function removeEjectionsOverShare (state: SetState): void {
  const nowMs = state.options.clock.monotonicMs()
  const ejected = [...state.records.values()].filter((record) => record.state.kind === 'ejected')
  const largest = computeLargestEjected(state.records.size, state.service.ejectedShare)
  for (const record of ejected.slice(0, Math.max(0, ejected.length - largest))) markReturned(state, record, nowMs)
}
