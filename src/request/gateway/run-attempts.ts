/**
 * Runs the attempts of one request: the first one, retries, and a hedged request when an idempotent one is slow.
 *
 * A non-idempotent request is retried only when the target did not run it and never will.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, describeCause, getErrorAnswer } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { Placement, PlacementRequest } from '../../process/placement/service-placer.ts'
import type { Cancel, TargetId } from '../../types.ts'
import { isIdempotent } from '../../version/configuration.ts'
import type { AnswerHead } from '../exchange.ts'
import type { GatewayCall } from './gateway-call.ts'
import { startAttempt } from './target-attempt.ts'
import type { AttemptOutcome, TargetAttempt } from './target-attempt.ts'

/** A response whose head has arrived, with its attempt. */
export interface BegunAnswer { attempt: TargetAttempt, head: AnswerHead }

/** A hedged request is sent after the expected time multiplied by this factor, plus `HEDGE_SLACK_MS`. */
const HEDGE_FACTOR = 2
const HEDGE_SLACK_MS = 60
/** `Retry-After` when targets shed the request, in s: a target that sheds despite free slots may accept the next attempt. */
const SHED_RETURN_S = 0.01
/** Assumed work time until it has been measured, as a share of the latency target or of a shorter timeout. */
const FIRST_WORK_SHARE = 0.35
/** Penalty of targets in other zones by route kind; 1 is the penalty of a target whose slots are all taken. */
const FAR_PENALTY = { download: 0.9, safe: 0.3, unsafe: 0.3 } as const

type AttemptEvent =
  | { type: 'outcome', attempt: TargetAttempt, outcome: AttemptOutcome }
  /** No target was selected for another attempt. */
  | { type: 'unplaced', error: AppError }
  /** The response takes longer than expected; a hedged request may be sent. */
  | { type: 'late' }
  /** The deadline has passed, or the caller has closed its connection. */
  | { type: 'end' }

/** Returns whether another attempt may follow an outcome. */
function canRepeat (outcome: AttemptOutcome, isRepeatable: boolean): boolean {
  switch (outcome.kind) {
    case 'answered': return false
    case 'not-executed':
    case 'unsent': return true
    case 'failed':
    case 'broken': return isRepeatable
  }
}

function createPlacementRequest (call: GatewayCall, excluded: ReadonlySet<TargetId>): PlacementRequest {
  const { route } = call
  return {
    priority: route.priority,
    workMs: call.work.getWorkMs(route.name, Math.min(route.targetLatencyMs, route.timeoutMs) * FIRST_WORK_SHARE),
    aimAtMs: call.startedAtMs + route.targetLatencyMs,
    deadlineAtMs: call.endsAtMs,
    farPenalty: FAR_PENALTY[route.kind],
    excluded,
    isGone: () => call.caller.isGone()
  }
}

/** Creates a queue that hands out events one at a time, in the order of their arrival. */
function createEventQueue () {
  const events: AttemptEvent[] = []
  let resumeTaking: () => void = () => undefined
  return {
    add (event: AttemptEvent): void {
      events.push(event)
      resumeTaking()
    },
    async take (): Promise<AttemptEvent> {
      for (;;) {
        const event = events.shift()
        if (event) return event
        await new Promise<void>((resolve) => { resumeTaking = resolve })
      }
    }
  }
}

/**
 * Runs attempts until one gets a response or no further one is allowed. Errors: those of the target selection and of
 * the attempts, and `route-timeout`; an error never states `not-run` for a request that may have run.
 */
export async function runAttempts (call: GatewayCall): Promise<Result<BegunAnswer, AppError>> {
  const { route, service, clock } = call
  const isRepeatable = isIdempotent(route.kind)
  const tried = new Set<TargetId>()
  const running = new Set<TargetAttempt>()
  const events = createEventQueue()
  let placing = 0
  let sends = 0
  let mayHaveRun = false
  let isOver = false
  let lastFailure: BegunAnswer | undefined
  let cancelHedge: Cancel = () => undefined
  const cancelEnd = clock.startTimer(Math.max(0, call.endsAtMs - clock.monotonicMs()), () => events.add({ type: 'end' }))
  const forgetLeaving = call.caller.watchLeaving(() => events.add({ type: 'end' }))

  const send = (placement: Placement): void => {
    sends += 1
    const attempt = startAttempt(call, placement)
    tried.add(placement.state.registered.report.id)
    running.add(attempt)
    attempt.outcome.then((outcome) => events.add({ type: 'outcome', attempt, outcome })).catch(() => undefined)
    cancelHedge()
    if (isRepeatable) cancelHedge = clock.startTimer(placement.expectedMs * HEDGE_FACTOR + HEDGE_SLACK_MS, () => events.add({ type: 'late' }))
  }
  const startNext = async (): Promise<void> => {
    placing += 1
    const placement = await service.placer.place(createPlacementRequest(call, tried))
    placing -= 1
    if (placement.isErr()) events.add({ type: 'unplaced', error: placement.error })
    else if (isOver || call.caller.isGone()) service.placer.release(placement.value.state, undefined)
    else send(placement.value)
  }
  const startInBackground = (): void => {
    startNext().catch((cause: unknown) => events.add({ type: 'unplaced', error: createError('internal', describeCause(cause), cause) }))
  }
  const canSendAgain = (): boolean => sends < route.mostAttempts && service.repeats.take()
  const finish = (result: Result<BegunAnswer, AppError>): Result<BegunAnswer, AppError> => {
    isOver = true
    cancelEnd()
    cancelHedge()
    forgetLeaving()
    const winner = result.isOk() ? result.value.attempt : undefined
    for (const attempt of running) if (attempt !== winner) attempt.cancel()
    if (lastFailure && lastFailure.attempt !== winner) lastFailure.attempt.cancel()
    return result
  }
  const toShedError = (error: AppError): AppError => error.kind === 'target-shed' ? { ...error, retryAfterS: SHED_RETURN_S } : error
  const finishFailed = (error: AppError): Result<BegunAnswer, AppError> => {
    if (lastFailure) return finish(ok(lastFailure))
    const isFalsePromise = mayHaveRun && getErrorAnswer(error.kind).fate === 'not-run'
    return finish(err(isFalsePromise ? createError('target-broken', error.message, error) : toShedError(error)))
  }
  const finishAtEnd = (): Result<BegunAnswer, AppError> => {
    if (call.caller.isGone()) return finish(err(createError('target-broken', 'The caller closed its connection before the response.')))
    if (lastFailure) return finish(ok(lastFailure))
    const isUnsent = running.size === 0 && !mayHaveRun
    return finish(err(isUnsent
      ? createError('queue-timeout', 'No target became available before the deadline of the request.')
      : createError('route-timeout', 'No target responded before the deadline of the request.')))
  }
  /** Records the outcome of an attempt without a response to relay, and returns it as an error. */
  const recordOutcome = (attempt: TargetAttempt, outcome: Exclude<AttemptOutcome, { kind: 'answered' }>): AppError => {
    running.delete(attempt)
    if (outcome.kind === 'broken' || outcome.kind === 'failed') mayHaveRun = true
    if (outcome.kind !== 'failed') return outcome.error
    lastFailure?.attempt.cancel()
    lastFailure = { attempt, head: outcome.head }
    return createError('target-broken', 'The target responded with a server error.')
  }

  const handleOutcome = (attempt: TargetAttempt, outcome: AttemptOutcome): Result<BegunAnswer, AppError> | undefined => {
    if (outcome.kind === 'answered') return finish(ok({ attempt, head: outcome.head }))
    const error = recordOutcome(attempt, outcome)
    if (running.size > 0 || placing > 0) return undefined
    if (!canRepeat(outcome, isRepeatable) || !canSendAgain()) return finishFailed(error)
    startInBackground()
    return undefined
  }
  const handleLate = (): void => {
    const isOnlyAttempt = running.size === 1 && placing === 0
    if (isOnlyAttempt && service.placer.countWaiting() === 0 && canSendAgain()) startInBackground()
  }
  /** Handles an event; returns the result of the request once it is settled. */
  const handleEvent = (event: AttemptEvent): Result<BegunAnswer, AppError> | undefined => {
    switch (event.type) {
      case 'end': return finishAtEnd()
      case 'outcome': return handleOutcome(event.attempt, event.outcome)
      case 'unplaced': return running.size === 0 && placing === 0 ? finishFailed(event.error) : undefined
      case 'late':
        handleLate()
        return undefined
    }
  }

  startInBackground()
  for (;;) {
    const result = handleEvent(await events.take())
    if (result) return result
  }
}
