/**
 * Acquires and releases slots: finds the candidates for a request and selects a target.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { compareCandidate, createBestCandidate } from '../../request/balancing/best-candidate.ts'
import type { BestCandidate } from '../../request/balancing/best-candidate.ts'
import { computeColdMaxInFlight, computeRampShare } from '../../request/balancing/cold-ramp.ts'
import { applyOutcome, canStartTrial, computePenalty } from './target-health.ts'
import type { TargetRecord } from './target-record.ts'
import type { TargetSlot, SlotRequest } from './target-set.ts'
import type { TargetSetState } from './target-set-state.ts'

/** The best candidate of each group for one request, found in one pass over the targets. */
interface Candidates {
  /** Serving targets, and cold ones in the share of selections that their slow start allows. */
  preferred: BestCandidate<TargetRecord>
  /** Cold targets beyond that share, used when no preferred target has a free slot. */
  fallback: BestCandidate<TargetRecord>
  /** Ejected targets, used when all targets that are not leaving are ejected. */
  ejected: BestCandidate<TargetRecord>
  /** An ejected target that may take a trial request now. */
  trial: TargetRecord | undefined
  /** Targets that are neither ejected nor leaving. */
  openCount: number
  ejectedCount: number
}

/** Finds the candidates among the targets that a request has not tried. */
function findCandidates (state: TargetSetState, request: SlotRequest, nowMs: number): Candidates {
  const candidates: Candidates = { preferred: createBestCandidate(), fallback: createBestCandidate(), ejected: createBestCandidate(), trial: undefined, openCount: 0, ejectedCount: 0 }
  const hasExcluded = request.exclude.size > 0
  for (const record of state.recordList) {
    if (hasExcluded && request.exclude.has(record.target.id)) continue
    record.penalty = record.failureLoad.value === 0 ? 0 : computePenalty(state, record, nowMs)
    switch (record.state.kind) {
      case 'serving':
        candidates.openCount += 1
        compareCandidate(candidates.preferred, record, state.random)
        break
      case 'cold':
        candidates.openCount += 1
        addCold(state, candidates, record, record.state.sinceMs, nowMs)
        break
      case 'ejected':
        candidates.ejectedCount += 1
        compareCandidate(candidates.ejected, record, state.random)
        if (canStartTrial(state, record, nowMs)) candidates.trial = record
        break
      case 'leaving':
    }
  }
  return candidates
}

/** Adds a cold target to the candidates with the concurrency limit of its slow start; one past its slow start becomes serving. */
function addCold (state: TargetSetState, candidates: Candidates, record: TargetRecord, sinceMs: number, nowMs: number): void {
  const share = computeRampShare(sinceMs, nowMs, state.service.coldRampMs)
  if (share >= 1) record.state = { kind: 'serving' }
  record.maxInFlight = computeColdMaxInFlight(state.maxInFlight, share)
  const isPreferred = share >= 1 || state.random() < share
  compareCandidate(isPreferred ? candidates.preferred : candidates.fallback, record, state.random)
}

/** Returns whether a request may be sent to an ejected target as a trial: only the first attempt of an idempotent one. */
function canBeTrial (request: SlotRequest): boolean {
  return request.exclude.size === 0 && request.isIdempotent !== false
}

/** Acquires a slot at once; undefined when all candidates are busy. Errors: `no-target`. */
export function tryAcquireSlot (state: TargetSetState, request: SlotRequest): Result<TargetSlot, AppError> | undefined {
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
function createSlot (state: TargetSetState, record: TargetRecord, isTrial: boolean): TargetSlot {
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
      serveQueuedRequests(state)
    },
    release (outcome) {
      if (isReleased) return
      isReleased = true
      finishInFlight()
      applyOutcome(state, record, outcome, isTrial)
      serveQueuedRequests(state)
    }
  }
}

/** Returns whether queued requests can be settled: a target has a free slot, or no target takes new work. */
function canSettle (state: TargetSetState): boolean {
  let hasOpen = false
  for (const record of state.recordList) {
    if (record.state.kind === 'leaving') continue
    if (record.inFlight < record.maxInFlight) return true
    hasOpen = true
  }
  return !hasOpen
}

/** Gives free slots to queued requests, or rejects them when no target takes new work. */
export function serveQueuedRequests (state: TargetSetState): void {
  state.queue.serve((request) => tryAcquireSlot(state, request), () => canSettle(state))
}
