/**
 * Takes slots: which targets may be chosen for a request, the choice, and the release.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { chooseTarget } from '../../request/balancing/choose-target.ts'
import { computeColdBound, computeRampShare } from '../../request/balancing/cold-ramp.ts'
import { applyOutcome, canTry, computePenalty } from './target-health.ts'
import type { TargetRecord } from './target-record.ts'
import type { TargetSlot, TargetWish } from './target-set.ts'
import type { SetState } from './target-set-state.ts'

/** The targets that a request may go to, the wanted ones apart from those that only help out. */
interface Choices {
  /** Serving targets, and cold ones as often as their ramp allows. */
  wanted: TargetRecord[]
  /** Cold targets out of their turn, used when the wanted ones are full. */
  spare: TargetRecord[]
  /** An ejected target whose trial is due. */
  trial: TargetRecord | undefined
  /** Ejected targets, used when there are no others. */
  ejected: TargetRecord[]
}

/** Lists what a request may go to. */
function listChoices (state: SetState, wish: TargetWish, nowMs: number): Choices {
  const choices: Choices = { wanted: [], spare: [], trial: undefined, ejected: [] }
  for (const record of state.records.values()) {
    if (wish.exclude.has(record.target.id)) continue
    record.penalty = record.failureLoad.value === 0 ? 0 : computePenalty(state, record, nowMs)
    switch (record.state.kind) {
      case 'serving':
        choices.wanted.push(record)
        break
      case 'cold':
        addCold(state, choices, record, nowMs)
        break
      case 'ejected':
        choices.ejected.push(record)
        if (canTry(state, record, nowMs)) choices.trial = record
        break
      case 'leaving':
    }
  }
  return choices
}

function addCold (state: SetState, choices: Choices, record: TargetRecord, nowMs: number): void {
  if (record.state.kind !== 'cold') return
  const share = computeRampShare(record.state.sinceMs, nowMs, state.service.coldRampMs)
  const isInTurn = share >= 1 || state.random() < share
  if (share >= 1) record.state = { kind: 'serving' }
  record.largestInFlight = computeColdBound(state.service.slotsPerTarget, share)
  if (isInTurn) choices.wanted.push(record)
  else choices.spare.push(record)
}

/** Tells whether a request may try an ejected target: the first attempt of one that may be repeated. */
function canBeTrial (wish: TargetWish): boolean {
  return wish.exclude.size === 0 && wish.isRepeatable !== false
}

/** Takes a slot now; undefined when all targets that would do are busy. Errors: `no-target`. */
export function tryTakeSlot (state: SetState, wish: TargetWish): Result<TargetSlot, AppError> | undefined {
  const choices = listChoices(state, wish, state.options.clock.monotonicMs())
  if (choices.trial && canBeTrial(wish)) return ok(createSlot(state, choices.trial, true))
  const hasOrdinary = choices.wanted.length + choices.spare.length > 0
  if (!hasOrdinary && (choices.ejected.length === 0 || wish.exclude.size > 0)) {
    return err(createError('no-target', 'No target of this service can take the request.'))
  }
  const record = hasOrdinary
    ? chooseTarget(choices.wanted, state.random) ?? chooseTarget(choices.spare, state.random)
    : chooseTarget(choices.ejected, state.random)
  return record && ok(createSlot(state, record, false))
}

/** Hands out a slot of a target; the first release counts, later ones do nothing. */
function createSlot (state: SetState, record: TargetRecord, isTrial: boolean): TargetSlot {
  let isReleased = false
  record.inFlight += 1
  if (isTrial) record.trial.isRunning = true
  return {
    target: record.target,
    release (outcome) {
      if (isReleased) return
      isReleased = true
      record.inFlight -= 1
      applyOutcome(state, record, outcome, isTrial)
      serveWaiting(state)
    }
  }
}

/** Tells whether any target has room. */
function hasRoom (state: SetState): boolean {
  for (const record of state.records.values()) {
    if (record.state.kind !== 'leaving' && record.inFlight < record.largestInFlight) return true
  }
  return false
}

/** Gives free slots to waiting requests. */
export function serveWaiting (state: SetState): void {
  state.queue.serve((wish) => tryTakeSlot(state, wish), () => hasRoom(state))
}
