/**
 * Serves a request that may be repeated: with retries and a late hedge within the budgets of the contract.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, getErrorAnswer } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Cancel } from '../types.ts'
import { isServerError } from './answer-status.ts'
import { isShed, startAttempt } from './attempt.ts'
import type { Attempt } from './attempt.ts'
import type { Call } from './call.ts'
import type { AnswerHead } from './exchange.ts'

/** An answer whose body has not begun to flow. */
export interface BegunAnswer { attempt: Attempt, head: AnswerHead }

/** How one attempt ended its first part. */
type Ending =
  | { kind: 'answered', answer: BegunAnswer }
  | { kind: 'failed', attempt: Attempt, error: AppError }
  | { kind: 'hedge-due' }

/** Chooses the error to answer; once a target may have run the request, only one whose fate is unknown is true. */
function chooseError (errors: readonly AppError[], mayHaveRun: boolean): AppError {
  const last = errors.at(-1) ?? createError('internal', 'No attempt was made.')
  if (!mayHaveRun) return last
  const honest = errors.findLast((error) => getErrorAnswer(error.kind).fate === 'unknown')
  return honest ?? createError('target-broken', last.message)
}

/** Waits for the head of an attempt. */
async function waitForHead (attempt: Attempt): Promise<Ending> {
  const head = await attempt.head
  return head.isOk() ? { kind: 'answered', answer: { attempt, head: head.value } } : { kind: 'failed', attempt, error: head.error }
}

/** Starts the timer of the hedge; the promise never settles when it is cancelled before. */
function startHedgeTimer (call: Call): { due: Promise<Ending>, cancel: Cancel } {
  let cancel: Cancel = () => undefined
  const due = new Promise<Ending>((resolve) => {
    cancel = call.clock.startTimer(call.service.hedging.afterMs, () => resolve({ kind: 'hedge-due' }))
  })
  return { due, cancel }
}

/** The attempts of one call. */
interface Race {
  running: Map<Attempt, Promise<Ending>>
  errors: AppError[]
  /** A bad answer kept in case nothing better comes. */
  spare: BegunAnswer | undefined
  attempts: number
  /** Whether an attempt may have run on its target. */
  mayHaveRun: boolean
}

async function addAttempt (call: Call, race: Race, mayWait: boolean): Promise<boolean> {
  const started = await startAttempt(call, { number: call.firstAttempt + race.attempts, mayWait, needsProof: false })
  if (started.isErr()) {
    race.errors.push(started.error)
    return false
  }
  race.attempts += 1
  race.running.set(started.value, waitForHead(started.value))
  return true
}

function canRetry (call: Call, race: Race): boolean {
  if (call.caller.isGone() || race.running.size > 0) return false
  if (call.clock.monotonicMs() >= call.deadlineMs) return false
  return call.links.targets.takeRetry(call.firstAttempt - 1 + race.attempts)
}

function cancelOthers (race: Race, winner: Attempt | undefined): void {
  for (const attempt of race.running.keys()) {
    if (attempt !== winner) attempt.cancel()
  }
  if (race.spare && race.spare.attempt !== winner) race.spare.attempt.cancelAfterAnswer()
}

/** Keeps the newest bad answer, ending the one before it. */
function setSpare (race: Race, answer: BegunAnswer): void {
  race.spare?.attempt.cancelAfterAnswer()
  race.spare = answer
}

/** Notes the ending of an attempt; returns the answer when it is good. */
function recordEnding (call: Call, race: Race, ending: Exclude<Ending, { kind: 'hedge-due' }>): BegunAnswer | undefined {
  const attempt = ending.kind === 'answered' ? ending.answer.attempt : ending.attempt
  race.running.delete(attempt)
  if (ending.kind === 'failed') {
    race.mayHaveRun ||= attempt.wasSent()
    race.errors.push(ending.error)
    return undefined
  }
  if (isShed(call, ending.answer.head)) {
    attempt.cancelAfterAnswer()
    race.errors.push(createError('target-shed', 'The target refused the work.'))
    return undefined
  }
  race.mayHaveRun = true
  if (!isServerError(ending.answer.head.status)) return ending.answer
  setSpare(race, ending.answer)
  return undefined
}

/** Runs attempts until one gives a good answer or no more may be made. */
async function runRace (call: Call, race: Race): Promise<BegunAnswer | undefined> {
  if (!await addAttempt(call, race, true)) return undefined
  const hedge = startHedgeTimer(call)
  const stopWatching = call.caller.watchLeaving(() => cancelOthers(race, undefined))
  const answer = await waitForGoodAnswer(call, race, hedge.due)
  stopWatching()
  hedge.cancel()
  return answer
}

/** Sends the request to a second target, if the budget allows it. */
async function addHedge (call: Call, race: Race): Promise<void> {
  const [slow] = race.running.keys()
  if (call.links.targets.takeHedge(slow?.target)) await addAttempt(call, race, false)
}

async function waitForGoodAnswer (call: Call, race: Race, hedgeDue: Promise<Ending>): Promise<BegunAnswer | undefined> {
  let pendingHedge: Promise<Ending>[] = [hedgeDue]
  while (race.running.size > 0) {
    const ending = await Promise.race([...race.running.values(), ...pendingHedge])
    if (ending.kind === 'hedge-due') {
      pendingHedge = []
      await addHedge(call, race)
      continue
    }
    const answer = recordEnding(call, race, ending)
    if (answer) return answer
    if (canRetry(call, race)) await addAttempt(call, race, false)
  }
  return undefined
}

/**
 * Gets the beginning of an answer from the targets.
 * Errors: those of attempts; one with the fate `not-run` only when no byte was handed over.
 */
export async function fetchAnswer (call: Call): Promise<Result<BegunAnswer, AppError>> {
  const race: Race = { running: new Map(), errors: [], spare: undefined, attempts: 0, mayHaveRun: false }
  const good = await runRace(call, race)
  const answer = good ?? race.spare
  cancelOthers(race, answer?.attempt)
  return answer ? ok(answer) : err(chooseError(race.errors, race.mayHaveRun))
}
