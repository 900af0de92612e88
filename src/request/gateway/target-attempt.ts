/**
 * One attempt of a request at the target selected for it.
 */
import { decodeLoadReport, decodeTargetNotices, getAttemptId, isMisdirected, isNotExecuted, isNotRunStatus, isUnsignedSuccess } from '../../platform/wire-names.ts'
import type { TargetSelection } from '../../process/selection/target-search.ts'
import type { RunKind } from '../../process/quarantine/crash-history.ts'
import { isProven } from '../../process/selection/target-states.ts'
import type { RequestOutcome } from '../../process/selection/load-prober.ts'
import type { TargetState } from '../../process/selection/target-states.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { isIdempotent } from '../../version/configuration.ts'
import type { Route } from '../../version/configuration.ts'
import { isServerError } from '../response-status.ts'
import { drainResponse } from '../drain-response.ts'
import { startExchange } from '../exchange.ts'
import type { ResponseHead, Exchange } from '../exchange.ts'
import { addAttemptHeaders } from './gateway-headers.ts'
import type { GatewayCall } from './gateway-call.ts'
import type { AttemptRecord } from './request-record.ts'

/** How an attempt ended, up to the head of its response. The log line writes out the kind. */
export type AttemptOutcome =
  /** A response to relay to the caller. */
  | { kind: 'answered', head: ResponseHead }
  /** The target ran the request and responded with a server error. */
  | { kind: 'failed', head: ResponseHead }
  /** The target did not run the request and never will. */
  | { kind: 'not-executed', error: AppError }
  /** The target may have run the request, and its status would tell the caller that it did not. */
  | { kind: 'misleading', error: AppError }
  /** No byte was sent. */
  | { kind: 'unsent', error: AppError }
  /** The connection failed after the request was sent; the target may have run it. */
  | { kind: 'broken', error: AppError }

/** A started attempt. */
export interface TargetAttempt {
  selection: TargetSelection
  /** Settles once; never rejects. */
  readonly outcome: Promise<AttemptOutcome>
  /** The exchange with the target; undefined when no connection was available. */
  exchange: Exchange | undefined
  /** Finds out why the connection ended early, and records it if the target has crashed. */
  recordLoss(): Promise<void>
  /** Records how the response ended when it was relayed: whether the target truncated it. */
  recordTransfer(isTruncated: boolean): void
  /** Cancels the attempt, and with it the work at the target. */
  cancel(): void
}

/**
 * Returns whether a response belongs to the request: it must echo the request's id, since a response without one may be
 * a repeated response to an earlier request. Another target at the address, which never had the request, need not. A success
 * without a signature was damaged on its way and belongs to nothing.
 */
function isResponseOf (call: GatewayCall, status: number, headers: ResponseHead['headers']): boolean {
  if (isUnsignedSuccess(status, headers)) return false
  const echoedId = getAttemptId(headers)
  return echoedId === undefined ? isMisdirected(status, headers) : echoedId === call.id
}

function toOutcome (head: ResponseHead, route: Route): AttemptOutcome {
  const { status, headers } = head
  if (isNotExecuted(status, headers)) return { kind: 'not-executed', error: createError('target-shed', `The target rejected the request with status ${status} before running it.`) }
  if (!isIdempotent(route.kind) && isNotRunStatus(status)) {
    return { kind: 'misleading', error: createError('target-failed', `The target responded with status ${status}, by which the caller would take the request for not run, without stating that it did not run it.`) }
  }
  return isServerError(status) ? { kind: 'failed', head } : { kind: 'answered', head }
}

/** Returns what the head of a response tells about the target; of one that is relayed, its end tells the rest. */
function toRequestOutcome (hasAnswered: boolean, { kind }: AttemptOutcome): RequestOutcome {
  if (!hasAnswered) return 'failed'
  return kind === 'answered' ? 'responded' : 'answered'
}

function describeRun (state: TargetState, isTrial: boolean): RunKind {
  if (!isTrial) return 'ordinary'
  return isProven(state) ? 'isolated' : 'trial'
}

/** Starts an attempt: sends the request to the selected target. */
export function startAttempt (call: GatewayCall, selection: TargetSelection): TargetAttempt {
  const { clock, service, route } = call
  const { state } = selection
  const { id } = state.registered.report
  const startedAtMs = clock.monotonicMs()
  const slowdown = state.report?.slowdown ?? 1
  const record: AttemptRecord = {
    target: id,
    reason: selection.reason,
    waitedMs: selection.waitedMs,
    expectedMs: selection.expectedMs,
    load: state.report,
    loadAgeMs: startedAtMs - state.reportAtMs,
    limitPerSecond: selection.limitPerSecond,
    startedMs: startedAtMs - call.startedAtMs,
    end: 'pending',
    status: undefined
  }
  call.record.attempts.push(record)
  const runKind = describeRun(state, call.admission.isTrial())
  if (runKind !== 'ordinary') state.trialCount += 1
  let isReleased = false
  let isCancelled = false
  let hasFailed = false
  const release = (head?: ResponseHead): void => {
    if (isReleased) return
    isReleased = true
    if (runKind !== 'ordinary') state.trialCount -= 1
    service.selector.release(state, head ? decodeLoadReport(head.headers) : undefined)
  }
  const connection = state.pool.acquireConnection({ requiresLiveness: !isIdempotent(route.kind) })
  if (!connection) {
    release()
    record.end = 'no connection left'
    const error = createError('target-unreachable', 'All connections to the target are in use.')
    return { selection, outcome: Promise.resolve({ kind: 'unsent', error }), exchange: undefined, recordLoss: () => Promise.resolve(), recordTransfer: () => undefined, cancel: () => undefined }
  }
  const exchange = startExchange(connection, {
    id: call.id,
    method: call.method,
    path: call.path,
    headers: addAttemptHeaders(call.headers, id, call.deadlineAtMs - startedAtMs),
    body: call.body,
    firstByteTimeoutMs: Math.max(1, call.deadlineAtMs - startedAtMs),
    canSend: () => !call.caller.isDisconnected(),
    isMatchingResponse: (status, headers) => isResponseOf(call, status, headers),
    handleFlushed: call.bodyHolders?.add()
  }, clock)

  const handleHead = (head: ResponseHead): AttemptOutcome => {
    // What the target says about itself comes first: a release offers the target to the next request.
    service.recordNotices(state, decodeTargetNotices(head.status, head.headers), startedAtMs)
    release(head)
    const outcome = toOutcome(head, route)
    record.end = outcome.kind
    hasFailed = outcome.kind !== 'answered'
    record.status = head.status
    if (isMisdirected(head.status, head.headers)) service.handleLeaving(state, 'another target at its address rejected the request as misdirected')
    const hasAnswered = !isServerError(head.status) && outcome.kind !== 'not-executed'
    service.selector.recordOutcome(state, toRequestOutcome(hasAnswered, outcome), startedAtMs)
    if (hasAnswered) {
      state.answeredCount += 1
      call.workMeter.record(route.name, clock.monotonicMs() - startedAtMs, slowdown)
    }
    if ('error' in outcome) drainResponse(exchange, clock).catch(() => exchange.cancel())
    return outcome
  }
  const recordLoss = async (): Promise<void> => {
    const checkedAtMs = clock.monotonicMs()
    record.finding = await service.checkCrash(state)
    call.record.fingerprint = call.getFingerprint()
    if (record.finding !== 'crashed') return
    service.selector.recordOutcome(state, 'unreachable', checkedAtMs)
    call.admission.recordCrash(id, runKind)
  }
  const readOutcome = async (): Promise<AttemptOutcome> => {
    const head = await exchange.head
    if (head.isOk()) return handleHead(head.value)
    release()
    const isOwnEnd = isCancelled || call.caller.isDisconnected()
    const kind = exchange.wasSent() ? 'broken' : 'unsent'
    hasFailed = true
    service.selector.recordOutcome(state, isOwnEnd ? 'unanswered' : kind === 'broken' ? 'broken' : 'unreachable', startedAtMs)
    record.end = isCancelled ? 'cancelled' : `${kind}: ${head.error.message}`
    if (!isOwnEnd && kind === 'broken' && head.error.kind === 'target-broken') await recordLoss()
    return { kind, error: head.error }
  }
  return {
    selection,
    outcome: readOutcome(),
    exchange,
    recordLoss,
    recordTransfer (isTruncated) {
      // A failure that is relayed has been recorded with its head.
      if (!hasFailed) service.selector.recordOutcome(state, isTruncated ? 'broken' : 'answered', startedAtMs)
    },
    cancel () {
      const isAbandoned = !isCancelled && !hasFailed && exchange.wasSent()
      isCancelled = true
      exchange.cancel()
      release()
      if (!isAbandoned) return
      call.admission.recordAbandoned(id, runKind)
      service.watchTarget(state)
    }
  }
}
