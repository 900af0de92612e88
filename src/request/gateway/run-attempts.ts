/**
 * Runs the attempts of one request: the first one, retries, and a hedged request when an idempotent one is slow.
 *
 * A non-idempotent request is retried only when the target did not run it and never will.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, describeCause, getErrorResponse } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { HedgePolicy } from '../balancing/hedge-policy.ts'
import type { TargetSelection } from '../../process/selection/target-search.ts'
import type { TargetId } from '../../types.ts'
import { isIdempotent } from '../../version/configuration.ts'
import type { ResponseHead } from '../exchange.ts'
import { createAttemptHedging } from './attempt-hedging.ts'
import type { GatewayCall } from './gateway-call.ts'
import { createSelectionRequest } from './selection-request.ts'
import { startAttempt } from './target-attempt.ts'
import type { AttemptOutcome, TargetAttempt } from './target-attempt.ts'

/** A response whose head has arrived, with its attempt. */
export interface StartedResponse { attempt: TargetAttempt, head: ResponseHead }

/** `Retry-After` when targets shed the request, in s: a target that sheds despite free slots may accept the next attempt. */
const SHED_RETRY_AFTER_S = 0.01

type AttemptEvent =
  | { type: 'outcome', attempt: TargetAttempt, outcome: AttemptOutcome }
  /** No target was selected for another attempt. */
  | { type: 'selection-failed', error: AppError }
  /** The response takes longer than expected; a hedged request may be sent. */
  | { type: 'late' }
  /** No response can be sent any more, or nobody waits for it. */
  | { type: 'end', cause: EndCause }

type EndCause = 'caller-gone' | 'deadline' | 'shutdown'

/** Returns whether another attempt may follow an outcome. */
function canRetry (outcome: AttemptOutcome, isIdempotentRequest: boolean): boolean {
  switch (outcome.kind) {
    case 'answered': return false
    case 'not-executed':
    case 'unsent': return true
    case 'misleading': return false
    case 'failed':
    case 'broken': return isIdempotentRequest
  }
}

/** Returns whether the target may have run the request, when nothing of its response is passed on. */
function hasMaybeRun ({ kind }: AttemptOutcome): boolean {
  return kind === 'broken' || kind === 'failed' || kind === 'misleading'
}

/** Returns the error of a request that has no response when it ends; `isUnsent` if it was sent to no target and will not be. */
function createEndError (cause: EndCause, isUnsent: boolean): AppError {
  switch (cause) {
    case 'caller-gone': return createError('target-broken', 'The caller closed its connection before the response.')
    case 'deadline': return isUnsent
      ? createError('queue-timeout', 'No target became available before the deadline of the request.')
      : createError('route-timeout', 'No target responded before the deadline of the request.')
    case 'shutdown': return isUnsent
      ? createError('entry-stopping', 'This entry shut down before a target became available.')
      : createError('entry-stopped', 'This entry shut down before a target responded.')
  }
}

/** Creates a queue that hands out events one at a time, in the order of their arrival. */
function createEventQueue () {
  const events: AttemptEvent[] = []
  let resumeTake: () => void = () => undefined
  return {
    add (event: AttemptEvent): void {
      events.push(event)
      resumeTake()
    },
    async take (): Promise<AttemptEvent> {
      for (;;) {
        const event = events.shift()
        if (event) return event
        await new Promise<void>((resolve) => { resumeTake = resolve })
      }
    }
  }
}

/**
 * Runs attempts until one gets a response or no further one is allowed. Errors: those of the target selection and of
 * the attempts, and `route-timeout`; an error never states `not-run` for a request that may have run.
 */
export async function runAttempts (call: GatewayCall): Promise<Result<StartedResponse, AppError>> {
  const { route, service, clock } = call
  const isIdempotentRequest = isIdempotent(route.kind)
  const triedTargets = new Set<TargetId>()
  const running = new Set<TargetAttempt>()
  const events = createEventQueue()
  let pendingSelections = 0
  let sentCount = 0
  let mayHaveRun = false
  let isFinished = false
  let lastFailedResponse: StartedResponse | undefined
  const hedging = createAttemptHedging(call, () => events.add({ type: 'late' }))
  const cancelDeadline = clock.startTimer(Math.max(0, call.deadlineAtMs - clock.monotonicMs()), () => events.add({ type: 'end', cause: 'deadline' }))
  const stopWatchingCaller = call.caller.watchDisconnect(() => events.add({ type: 'end', cause: 'caller-gone' }))
  const stopWatchingShutdown = call.shutdown.watchResponseBy(() => events.add({ type: 'end', cause: 'shutdown' }))

  const send = (selection: TargetSelection, isHedge = false): void => {
    sentCount += 1
    const attempt = startAttempt(call, selection)
    triedTargets.add(selection.state.registered.report.id)
    running.add(attempt)
    attempt.outcome.then((outcome) => events.add({ type: 'outcome', attempt, outcome })).catch(() => undefined)
    hedging.recordSent(attempt, isHedge)
  }
  const selectTarget = async (): Promise<Result<TargetSelection, AppError>> => {
    const admitted = await call.admission.acquire()
    if (admitted.isErr()) return err(admitted.error)
    const request = createSelectionRequest(call, triedTargets)
    if (clock.monotonicMs() + request.workMs > call.shutdown.getResponseByMs()) return err(createError('entry-stopping', 'This entry is shutting down and would end before a target responds.'))
    return await service.selector.select(request)
  }
  const startNextAttempt = async (): Promise<void> => {
    pendingSelections += 1
    const selection = await selectTarget().finally(() => { pendingSelections -= 1 })
    if (selection.isErr()) events.add({ type: 'selection-failed', error: selection.error })
    else if (isFinished || call.caller.isDisconnected()) service.selector.cancel(selection.value)
    else send(selection.value)
  }
  const startInBackground = (): void => {
    startNextAttempt().catch((cause: unknown) => events.add({ type: 'selection-failed', error: createError('internal', describeCause(cause), cause) }))
  }
  const takeRetry = (): boolean => sentCount < route.maxAttempts && service.retryBudget.tryAcquire()
  const finish = (result: Result<StartedResponse, AppError>): Result<StartedResponse, AppError> => {
    isFinished = true
    cancelDeadline()
    stopWatchingCaller()
    stopWatchingShutdown()
    const winner = result.isOk() ? result.value.attempt : undefined
    hedging.finish(winner, running)
    for (const attempt of running) if (attempt !== winner) attempt.cancel()
    if (lastFailedResponse && lastFailedResponse.attempt !== winner) lastFailedResponse.attempt.cancel()
    return result
  }
  const toShedError = (error: AppError): AppError => error.kind === 'target-shed' ? { ...error, retryAfterS: SHED_RETRY_AFTER_S } : error
  const finishFailed = (error: AppError): Result<StartedResponse, AppError> => {
    if (lastFailedResponse) return finish(ok(lastFailedResponse))
    const isWronglyNotRun = mayHaveRun && getErrorResponse(error.kind).fate === 'not-run'
    return finish(err(isWronglyNotRun ? createError('target-broken', error.message, error) : toShedError(error)))
  }
  const finishAtEnd = (cause: EndCause): Result<StartedResponse, AppError> => {
    if (lastFailedResponse && cause !== 'caller-gone') return finish(ok(lastFailedResponse))
    // An attempt that still waits for its connection is cancelled before it sends anything.
    const isUnsent = !mayHaveRun && [...running].every(({ exchange }) => !exchange?.wasSent())
    return finish(err(createEndError(cause, isUnsent)))
  }
  /** Records the outcome of an attempt without a response to relay, and returns it as an error. */
  const recordOutcome = (attempt: TargetAttempt, outcome: Exclude<AttemptOutcome, { kind: 'answered' }>): AppError => {
    running.delete(attempt)
    if (hasMaybeRun(outcome)) mayHaveRun = true
    if (outcome.kind !== 'failed') return outcome.error
    lastFailedResponse?.attempt.cancel()
    lastFailedResponse = { attempt, head: outcome.head }
    return createError('target-broken', 'The target responded with a server error.')
  }

  const handleOutcome = (attempt: TargetAttempt, outcome: AttemptOutcome): Result<StartedResponse, AppError> | undefined => {
    if (outcome.kind === 'answered') return finish(ok({ attempt, head: outcome.head }))
    const error = recordOutcome(attempt, outcome)
    if (running.size > 0 || pendingSelections > 0) return undefined
    if (!canRetry(outcome, isIdempotentRequest) || !takeRetry()) return finishFailed(error)
    startInBackground()
    return undefined
  }
  const canHedge = (): boolean => running.size === 1 && pendingSelections === 0 && !call.admission.isSuspected() && service.selector.countWaiting() === 0
  /** Sends a hedge within the limit of the route's policy, if a target would respond to it by the deadline. */
  const startHedge = async (policy: HedgePolicy): Promise<void> => {
    const request = createSelectionRequest(call, triedTargets)
    const selection = await service.selector.selectSpare(request)
    if (!selection) return
    const isOnTime = clock.monotonicMs() + selection.expectedMs <= request.deadlineAtMs
    if (!isFinished && isOnTime && canHedge() && policy.canHedge() && takeRetry() && policy.tryAcquire()) send(selection, true)
    else service.selector.cancel(selection)
  }
  const handleLate = (): void => {
    const policy = service.hedging.get(route.name)
    if (!canHedge()) return
    if (!policy && takeRetry()) startInBackground()
    if (sentCount < route.maxAttempts && policy?.canHedge()) startHedge(policy).catch((cause: unknown) => events.add({ type: 'selection-failed', error: createError('internal', describeCause(cause), cause) }))
  }
  /** Handles an event; returns the result of the request once it is settled. */
  const handleEvent = (event: AttemptEvent): Result<StartedResponse, AppError> | undefined => {
    switch (event.type) {
      case 'end': return finishAtEnd(event.cause)
      case 'outcome': return handleOutcome(event.attempt, event.outcome)
      case 'selection-failed': return running.size === 0 && pendingSelections === 0 ? finishFailed(event.error) : undefined
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
