/**
 * Acquires and releases slots: finds the candidates for a request and selects a target.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { addCandidate, createPick } from '../../request/balancing/choose-target.ts'
import type { Pick } from '../../request/balancing/choose-target.ts'
import { computeColdBound, computeRampShare } from '../../request/balancing/cold-ramp.ts'
import { applyOutcome, canTry, computePenalty } from './target-health.ts'
import type { TargetRecord } from './target-record.ts'
import type { TargetSlot, TargetWish } from './target-set.ts'
import type { SetState } from './target-set-state.ts'

/** The best candidate of each group for one request, found in one pass over the targets. */
interface Candidates {
  /** Serving targets, and cold ones in the share of selections that their slow start allows. */
  preferred: Pick<TargetRecord>
  /** Cold targets beyond that share, used when no preferred target has a free slot. */
  fallback: Pick<TargetRecord>
  /** Ejected targets, used when all targets that are not leaving are ejected. */
  ejected: Pick<TargetRecord>
  /** An ejected target that may take a trial request now. */
  trial: TargetRecord | undefined
  /** Targets that are neither ejected nor leaving. */
  openCount: number
  ejectedCount: number
}

/** Finds the candidates among the targets that a request has not tried. */
function findCandidates (state: SetState, request: TargetWish, nowMs: number): Candidates {
  const candidates: Candidates = { preferred: createPick(), fallback: createPick(), ejected: createPick(), trial: undefined, openCount: 0, ejectedCount: 0 }
  const hasExcluded = request.exclude.size > 0
  for (const record of state.list) {
    if (hasExcluded && request.exclude.has(record.target.id)) continue
    record.penalty = record.failureLoad.value === 0 ? 0 : computePenalty(state, record, nowMs)
    switch (record.state.kind) {
      case 'serving':
        candidates.openCount += 1
        addCandidate(candidates.preferred, record, state.random)
        break
      case 'cold':
        candidates.openCount += 1
        addCold(state, candidates, record, record.state.sinceMs, nowMs)
        break
      case 'ejected':
        candidates.ejectedCount += 1
        addCandidate(candidates.ejected, record, state.random)
        if (canTry(state, record, nowMs)) candidates.trial = record
        break
      case 'leaving':
    }
  }
  return candidates
}

/** Adds a cold target to the candidates with the concurrency limit of its slow start; one past its slow start becomes serving. */
function addCold (state: SetState, candidates: Candidates, record: TargetRecord, sinceMs: number, nowMs: number): void {
  const share = computeRampShare(sinceMs, nowMs, state.service.coldRampMs)
  if (share >= 1) record.state = { kind: 'serving' }
  record.largestInFlight = computeColdBound(state.largestInFlight, share)
  const isPreferred = share >= 1 || state.random() < share
  addCandidate(isPreferred ? candidates.preferred : candidates.fallback, record, state.random)
}

/** Returns whether a request may be sent to an ejected target as a trial: only the first attempt of an idempotent one. */
function canBeTrial (request: TargetWish): boolean {
  return request.exclude.size === 0 && request.isRepeatable !== false
}

/** Acquires a slot at once; undefined when all candidates are busy. Errors: `no-target`. */
export function tryTakeSlot (state: SetState, request: TargetWish): Result<TargetSlot, AppError> | undefined {
  const candidates = findCandidates(state, request, state.options.clock.monotonicMs())
  if (candidates.trial && canBeTrial(request)) return ok(createSlot(state, candidates.trial, true))
  const hasOpen = candidates.openCount > 0
  if (!hasOpen && (candidates.ejectedCount === 0 || request.exclude.size > 0)) {
    return err(createError('no-target', 'No target of the service can take the request: every target is leaving, ejected or already tried.'))
  }
  const record = hasOpen ? candidates.preferred.best ?? candidates.fallback.best : candidates.ejected.best
  return record && ok(createSlot(state, record, false))
}

/** Creates a slot and counts its request as in flight. Only the first release has an effect. */
function createSlot (state: SetState, record: TargetRecord, isTrial: boolean): TargetSlot {
  let isReleased = false
  let isInFlight = true
  record.inFlight += 1
  if (isTrial) record.trial.isRunning = true
  const finishInFlight = (): void => {
    if (!isInFlight) return
    isInFlight = false
    record.inFlight -= 1
  }
  return {
    target: record.target,
    startTransfer () {
      finishInFlight()
      serveWaiting(state)
    },
    release (outcome) {
      if (isReleased) return
      isReleased = true
      finishInFlight()
      applyOutcome(state, record, outcome, isTrial)
      serveWaiting(state)
    }
  }
}

/** Returns whether queued requests can be settled: a target has a free slot, or no target takes new work. */
function canSettle (state: SetState): boolean {
  let hasOpen = false
  for (const record of state.list) {
    if (record.state.kind === 'leaving') continue
    if (record.inFlight < record.largestInFlight) return true
    hasOpen = true
  }
  return !hasOpen
}

/** Gives free slots to queued requests, or rejects them when no target takes new work. */
export function serveWaiting (state: SetState): void {
  state.queue.serve((request) => tryTakeSlot(state, request), () => canSettle(state))
}
