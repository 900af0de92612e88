/**
 * Takes slots: which targets may be chosen for a request, the choice, and the release.
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

/** What a request may go to, the best of each group; one pass over the targets fills it. */
interface Choices {
  /** Serving targets, and cold ones as often as their ramp allows. */
  wanted: Pick<TargetRecord>
  /** Cold targets out of their turn, used when the wanted ones are full. */
  spare: Pick<TargetRecord>
  /** Ejected targets, used when there are no others. */
  ejected: Pick<TargetRecord>
  /** An ejected target whose trial is due. */
  trial: TargetRecord | undefined
  /** Targets that are neither ejected nor leaving. */
  ordinaryCount: number
  ejectedCount: number
}

/** Compares all targets that a request has not tried. */
function findChoices (state: SetState, wish: TargetWish, nowMs: number): Choices {
  const choices: Choices = { wanted: createPick(), spare: createPick(), ejected: createPick(), trial: undefined, ordinaryCount: 0, ejectedCount: 0 }
  const hasExcluded = wish.exclude.size > 0
  for (const record of state.list) {
    if (hasExcluded && wish.exclude.has(record.target.id)) continue
    record.penalty = record.failureLoad.value === 0 ? 0 : computePenalty(state, record, nowMs)
    switch (record.state.kind) {
      case 'serving':
        choices.ordinaryCount += 1
        addCandidate(choices.wanted, record, state.random)
        break
      case 'cold':
        choices.ordinaryCount += 1
        addCold(state, choices, record, record.state.sinceMs, nowMs)
        break
      case 'ejected':
        choices.ejectedCount += 1
        addCandidate(choices.ejected, record, state.random)
        if (canTry(state, record, nowMs)) choices.trial = record
        break
      case 'leaving':
    }
  }
  return choices
}

function addCold (state: SetState, choices: Choices, record: TargetRecord, sinceMs: number, nowMs: number): void {
  const share = computeRampShare(sinceMs, nowMs, state.service.coldRampMs)
  if (share >= 1) record.state = { kind: 'serving' }
  record.largestInFlight = computeColdBound(state.largestInFlight, share)
  const isInTurn = share >= 1 || state.random() < share
  addCandidate(isInTurn ? choices.wanted : choices.spare, record, state.random)
}

/** Tells whether a request may try an ejected target: the first attempt of one that may be repeated. */
function canBeTrial (wish: TargetWish): boolean {
  return wish.exclude.size === 0 && wish.isRepeatable !== false
}

/** Takes a slot now; undefined when all targets that would do are busy. Errors: `no-target`. */
export function tryTakeSlot (state: SetState, wish: TargetWish): Result<TargetSlot, AppError> | undefined {
  const choices = findChoices(state, wish, state.options.clock.monotonicMs())
  if (choices.trial && canBeTrial(wish)) return ok(createSlot(state, choices.trial, true))
  const hasOrdinary = choices.ordinaryCount > 0
  if (!hasOrdinary && (choices.ejectedCount === 0 || wish.exclude.size > 0)) {
    return err(createError('no-target', 'No target of this service can take the request.'))
  }
  const record = hasOrdinary ? choices.wanted.best ?? choices.spare.best : choices.ejected.best
  return record && ok(createSlot(state, record, false))
}

/** Hands out a slot of a target; the first release counts, later ones do nothing. */
function createSlot (state: SetState, record: TargetRecord, isTrial: boolean): TargetSlot {
  let isReleased = false
  let isHolding = true
  record.inFlight += 1
  if (isTrial) record.trial.isRunning = true
  const stopHolding = (): void => {
    if (!isHolding) return
    isHolding = false
    record.inFlight -= 1
  }
  return {
    target: record.target,
    startTransfer () {
      stopHolding()
      serveWaiting(state)
    },
    release (outcome) {
      if (isReleased) return
      isReleased = true
      stopHolding()
      applyOutcome(state, record, outcome, isTrial)
      serveWaiting(state)
    }
  }
}

/** Tells whether waiting requests can be settled: a target has room, or none takes work any more. */
function canSettle (state: SetState): boolean {
  let hasOpen = false
  for (const record of state.list) {
    if (record.state.kind === 'leaving') continue
    if (record.inFlight < record.largestInFlight) return true
    hasOpen = true
  }
  return !hasOpen
}

/** Gives free slots to waiting requests, or refuses them when no target is left. */
export function serveWaiting (state: SetState): void {
  state.queue.serve((wish) => tryTakeSlot(state, wish), () => canSettle(state))
}
