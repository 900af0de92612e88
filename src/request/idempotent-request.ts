/**
 * Serves an idempotent request, with retries and a hedged request within the budgets of the contract.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, getErrorResponse } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Cancel } from '../types.ts'
import { isServerError } from './response-status.ts'
import { isShed, startAttempt } from './attempt.ts'
import type { Attempt } from './attempt.ts'
import type { Call } from './call.ts'
import type { ResponseHead } from './exchange.ts'

/** A response whose head has arrived and whose body isn't read yet. */
export interface StartedResponse { attempt: Attempt, head: ResponseHead }

/** What happens next in a race: the head or the failure of an attempt, or the end of the hedging delay. */
type RaceEvent =
  | { kind: 'answered', response: StartedResponse }
  | { kind: 'failed', attempt: Attempt, error: AppError }
  | { kind: 'hedge-due' }

/**
 * Selects the error to return: the last one. When a target may have run the request, it must be one whose execution
 * status is `unknown`.
 */
function chooseError (errors: readonly AppError[], mayHaveRun: boolean): AppError {
  const last = errors.at(-1) ?? createError('internal', 'No attempt of the request was started.')
  if (!mayHaveRun) return last
  const unknownStatusError = errors.findLast((error) => getErrorResponse(error.kind).fate === 'unknown')
  return unknownStatusError ?? createError('target-broken', last.message)
}

/** Waits for the response head of an attempt. */
async function waitForHead (attempt: Attempt): Promise<RaceEvent> {
  const head = await attempt.head
  return head.isOk() ? { kind: 'answered', response: { attempt, head: head.value } } : { kind: 'failed', attempt, error: head.error }
}

/** Starts the timer of the hedging delay; the promise never resolves when it is cancelled before. */
function startHedgeTimer (call: Call): { due: Promise<RaceEvent>, cancel: Cancel } {
  let cancel: Cancel = () => undefined
  const due = new Promise<RaceEvent>((resolve) => {
    cancel = call.clock.startTimer(call.service.hedging.afterMs, () => resolve({ kind: 'hedge-due' }))
  })
  return { due, cancel }
}

/** Concurrent and past attempts of one call. */
interface Race {
  running: Map<Attempt, Promise<RaceEvent>>
  errors: AppError[]
  /** The last server error, returned when no attempt gives a better response. */
  fallback: StartedResponse | undefined
  attempts: number
  /** Whether a target may have run the request. */
  mayHaveRun: boolean
}

async function addAttempt (call: Call, race: Race, canWait: boolean): Promise<boolean> {
  const started = await startAttempt(call, { number: call.firstAttemptNumber + race.attempts, canWait, requiresLiveness: false })
  if (started.isErr()) {
    race.errors.push(started.error)
    return false
  }
  race.attempts += 1
  race.running.set(started.value, waitForHead(started.value))
  return true
}

function canRetry (call: Call, race: Race): boolean {
  if (call.caller.isDisconnected() || race.running.size > 0) return false
  if (call.clock.monotonicMs() >= call.deadlineMs) return false
  return call.links.targets.tryAcquireRetry(call.firstAttemptNumber - 1 + race.attempts)
}

function cancelOthers (race: Race, winner: Attempt | undefined): void {
  for (const attempt of race.running.keys()) {
    if (attempt !== winner) attempt.cancel()
  }
  if (race.fallback && race.fallback.attempt !== winner) race.fallback.attempt.cancelAfterResponse()
}

/** Keeps the newest server error as the fallback, and drops the previous one. */
function setFallback (race: Race, response: StartedResponse): void {
  race.fallback?.attempt.cancelAfterResponse()
  race.fallback = response
}

/** Records the response or failure of an attempt; returns the response unless it is a server error or was shed. */
function recordEvent (call: Call, race: Race, event: Exclude<RaceEvent, { kind: 'hedge-due' }>): StartedResponse | undefined {
  const attempt = event.kind === 'answered' ? event.response.attempt : event.attempt
  race.running.delete(attempt)
  if (event.kind === 'failed') {
    race.mayHaveRun ||= attempt.wasSent()
    race.errors.push(event.error)
    return undefined
  }
  if (isShed(call, event.response.head)) {
    attempt.cancelAfterResponse()
    race.errors.push(createError('target-shed', 'The target shed the request without running it.'))
    return undefined
  }
  race.mayHaveRun = true
  if (!isServerError(event.response.head.status)) return event.response
  setFallback(race, event.response)
  return undefined
}

/** Runs attempts until one gives a good response or no further attempt is allowed. */
async function runRace (call: Call, race: Race): Promise<StartedResponse | undefined> {
  if (!await addAttempt(call, race, true)) return undefined
  const hedge = startHedgeTimer(call)
  const stopWatching = call.caller.watchDisconnect(() => cancelOthers(race, undefined))
  const response = await waitForGoodResponse(call, race, hedge.due)
  stopWatching()
  hedge.cancel()
  return response
}

/** Sends a hedged request to a second target if the budget allows it. */
async function addHedge (call: Call, race: Race): Promise<void> {
  const [slow] = race.running.keys()
  if (call.links.targets.tryAcquireHedge(slow?.target)) await addAttempt(call, race, false)
}

async function waitForGoodResponse (call: Call, race: Race, hedgeDue: Promise<RaceEvent>): Promise<StartedResponse | undefined> {
  let pendingHedge: Promise<RaceEvent>[] = [hedgeDue]
  while (race.running.size > 0) {
    const event = await Promise.race([...race.running.values(), ...pendingHedge])
    if (event.kind === 'hedge-due') {
      pendingHedge = []
      await addHedge(call, race)
      continue
    }
    const response = recordEvent(call, race, event)
    if (response) return response
    if (canRetry(call, race)) await addAttempt(call, race, false)
  }
  return undefined
}

/**
 * Returns a response of a target whose head has arrived.
 * Errors: those of attempts; one with execution status `not-run` only when no byte of the request was sent, or each target
 * that received it shed it.
 */
export async function fetchResponse (call: Call): Promise<Result<StartedResponse, AppError>> {
  const race: Race = { running: new Map(), errors: [], fallback: undefined, attempts: 0, mayHaveRun: false }
  const good = await runRace(call, race)
  const response = good ?? race.fallback
  cancelOthers(race, response?.attempt)
  return response ? ok(response) : err(chooseError(race.errors, race.mayHaveRun))
}
