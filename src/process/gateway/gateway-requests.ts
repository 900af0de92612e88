/**
 * Handles the requests of callers at a gateway: finds the route, runs the attempts and relays the response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Clock } from '../../clock.ts'
import { createError, getErrorResponse } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { getAttemptId } from '../../platform/wire-names.ts'
import type { LingeringCloses } from '../../connection/lingering-close.ts'
import { createPipelinedRequests } from '../../connection/pipelined-requests.ts'
import type { PipeliningCounts, RequestPlace } from '../../connection/pipelined-requests.ts'
import { buildUnreadableResponse } from '../../connection/unreadable-request.ts'
import { createBodyHolders } from '../../request/body-holders.ts'
import { sendError } from '../../request/error-response.ts'
import type { GatewayCall } from '../../request/gateway/gateway-call.ts'
import { findRequestCustomer } from '../../request/gateway/request-customer.ts'
import { keepResponse } from '../../request/gateway/held-response.ts'
import { relayResponse } from '../../request/gateway/relay-response.ts'
import type { RelayOutcome } from '../../request/gateway/relay-response.ts'
import { runAttempts } from '../../request/gateway/run-attempts.ts'
import type { StartedResponse } from '../../request/gateway/run-attempts.ts'
import { readBody } from '../../request/read-body.ts'
import { createUnsentResponses } from '../../request/unsent-responses.ts'
import { createCallerWaits } from '../../request/selection/caller-waits.ts'
import type { RequestId } from '../../types.ts'
import { isIdempotent } from '../../version/configuration.ts'
import type { PartLogger } from '../logger.ts'
import type { QuotaLimiter } from '../quotas/quota-limiter.ts'
import type { RequestQuarantine } from '../quarantine/request-quarantine.ts'
import type { ByteBudget } from '../byte-budget.ts'
import { createWorkMeter } from '../selection/work-meter.ts'
import type { GatewayMetrics } from './gateway-metrics.ts'
import type { GatewayState } from './gateway-state.ts'
import { createRequestLog } from './request-log.ts'
import type { Shutdown } from './shutdown.ts'
import { addBody, createUnreadCall } from './unread-call.ts'
import type { UnreadCall } from './unread-call.ts'

/** Handles requests. */
export interface GatewayRequests {
  /** Handles one request. Errors inside the gateway are logged and sent to the caller as `internal`. */
  handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void>
  /** Handles bytes of a caller that cannot be read as a request, and connections that have failed. */
  handleClientError(error: Error, socket: Duplex): void
  /** Closes each connection after the responses to the requests that have been read, from now on. */
  closeAfterResponses(): void
  /** Returns the number of requests in progress. */
  countInProgress(): number
  reportPipelining(): PipeliningCounts
}

/** Options of `createGatewayRequests`. */
export interface GatewayRequestsOptions {
  state: GatewayState
  quotas: QuotaLimiter
  quarantine: RequestQuarantine
  clock: Clock
  logger: PartLogger
  metrics: GatewayMetrics
  /** Whether this entry cannot reach most targets, so that callers are better served by others. */
  isCutOff(): boolean
  shutdown: Shutdown
  /** What the memory of request bodies, and of responses that wait for their turn, is taken from. */
  bodyBudget: ByteBudget
  /** Closes the connections of callers. */
  closes: Pick<LingeringCloses, 'close' | 'reset'>
}

const MAX_BODY_PAUSE_MS = 5_000

/** Whether a relay failed because of the target: it truncated its response, or sent nothing that could be passed on. */
function isTargetFault (end: RelayOutcome): boolean {
  switch (end.kind) {
    case 'whole':
    case 'caller-gone': return false
    case 'broken': return end.error.kind === 'answer-truncated'
    case 'unsent': return end.error.kind !== 'entry-stopped'
  }
}

/** Creates the request handling. */
export function createGatewayRequests (options: GatewayRequestsOptions): GatewayRequests {
  const { state, clock, logger, metrics, shutdown } = options
  const log = createRequestLog({ logger, clock })
  const workMeter = createWorkMeter()
  const pipelining = createPipelinedRequests({ clock, budget: options.bodyBudget, closes: options.closes })
  const callerWaits = createCallerWaits()
  let handledCount = 0
  const unsent = createUnsentResponses()

  /** Rejects a request that has no route yet. */
  const rejectUnrouted = async (place: RequestPlace, outgoing: ServerResponse, error: AppError, id?: RequestId): Promise<void> => {
    if (!place.isFirst()) await place.waitTurn()
    const isDropped = place.caller.isDisconnected()
    const { status } = getErrorResponse(error.kind)
    const version = state.getInEffect()?.configuration.version ?? 0
    const end = isDropped ? place.getDropCause() : 'whole'
    log.write({ id: id ?? 'none', route: 'none', service: 'none', version, leftMs: 0, attempts: [], error: error.kind, detail: error.message, status, end, tookMs: 0 })
    if (isDropped) return
    place.startResponse()
    sendError(outgoing, error)
  }
  const reject = async (call: UnreadCall, outgoing: ServerResponse, error: AppError): Promise<void> => {
    const { record, place } = call
    record.error = error.kind
    record.detail = error.message
    if (!place.isFirst()) await place.waitTurn()
    if (call.caller.isDisconnected()) {
      record.end = place.getDropCause()
      return
    }
    record.status = getErrorResponse(error.kind).status
    record.end = 'whole'
    if (options.isCutOff()) place.closeAfterResponses()
    place.startResponse()
    sendError(outgoing, error)
  }
  const recordRelay = async (call: GatewayCall, { head }: StartedResponse, end: RelayOutcome, outgoing: ServerResponse): Promise<void> => {
    if (end.kind === 'unsent') {
      await reject(call, outgoing, end.error)
      return
    }
    call.record.status = head.status
    call.record.end = end.kind === 'caller-gone' ? call.place.getDropCause() : end.kind
    if (end.kind === 'broken') call.record.detail = end.error.message
  }
  const serve = async (call: GatewayCall, outgoing: ServerResponse): Promise<void> => {
    call.service.retryBudget.addShare()
    const response = await runAttempts(call)
    if (response.isErr()) {
      call.admission.finish(false)
      await reject(call, outgoing, response.error)
      return
    }
    const held = await keepResponse(call, response.value)
    if (outgoing.closed) held.release()
    else outgoing.once('close', held.release)
    const end = await relayResponse(call, held.response, outgoing, held.heldMs)
    await recordRelay(call, response.value, end, outgoing)
    response.value.attempt.recordTransfer(isTargetFault(end))
    if ('error' in end && end.error.kind === 'answer-truncated') await response.value.attempt.recordLoss()
    call.admission.finish(end.kind === 'whole')
  }
  /** Returns why a request can no longer be served: it has waited too long for those ahead, or the process may end before its response. */
  const findRefusal = ({ deadlineAtMs, customer }: UnreadCall, hasWaited: boolean): AppError | undefined => {
    if (hasWaited && clock.monotonicMs() >= deadlineAtMs) return createError('queue-timeout', 'The requests ahead on the connection had no responses before the deadline.')
    if (customer?.quota && clock.monotonicMs() >= deadlineAtMs) return createError('queue-timeout', 'The deadline passed while the request waited for a token of its customer\'s quota.')
    if (deadlineAtMs > shutdown.getResponseByMs()) return createError('entry-stopping', 'This entry is shutting down and would end before the request completes.')
    return undefined
  }
  const recordEnd = (call: UnreadCall): void => {
    call.record.tookMs = clock.monotonicMs() - call.startedAtMs
    log.write(call.record)
    metrics.recordRequest(call.record)
  }
  /** Reads the body of a request, and serves or rejects it. */
  const handleCall = async (call: UnreadCall, incoming: IncomingMessage, outgoing: ServerResponse, maxBytes: number): Promise<void> => {
    const { bodyBudget } = options
    const read = await readBody(incoming, { maxBytes, maxPauseMs: MAX_BODY_PAUSE_MS, watchStop: shutdown.watchResponseBy, budget: bodyBudget }, clock)
    if (read.isErr()) {
      await reject(call, outgoing, read.error)
      return
    }
    const body = read.value
    const bodyHolders = body && createBodyHolders(() => bodyBudget.release(body.buffer.byteLength))
    const releaseBody = bodyHolders?.add()
    try {
      const hasWaited = !call.place.isFirst()
      if (hasWaited) await call.place.waitPassOn(isIdempotent(call.route.kind))
      const refusal = findRefusal(call, hasWaited)
      if (call.caller.isDisconnected()) call.record.end = call.place.getDropCause()
      else if (refusal) await reject(call, outgoing, refusal)
      else await serve(addBody(call, incoming.headers, { body, bodyHolders }, options.quarantine), outgoing)
    } finally {
      releaseBody?.()
    }
  }
  /** Serves or rejects a request within the quota of its customer, and rejects one beyond it before its body is read. */
  const handleWithinQuota = async (call: UnreadCall, incoming: IncomingMessage, outgoing: ServerResponse, maxBytes: number): Promise<void> => {
    const { customer, record } = call
    if (!customer?.quota) return await handleCall(call, incoming, outgoing, maxBytes)
    const askedAtMs = clock.monotonicMs()
    const token = await options.quotas.acquire(customer)
    record.quota = customer.quota
    record.quotaWaitMs = clock.monotonicMs() - askedAtMs
    if (token.isErr()) return await reject(call, outgoing, token.error)
    // After an internal error the token is lost: a target may still get the request.
    await handleCall(call, incoming, outgoing, maxBytes)
    if (token.value && record.attempts.length === 0) options.quotas.release(token.value)
  }
  const handle = async (incoming: IncomingMessage, outgoing: ServerResponse, place: RequestPlace): Promise<void> => {
    if (!place.isFirst()) await place.waitStart()
    const inEffect = state.getInEffect()
    const id = getAttemptId(incoming.headers)
    if (!inEffect) {
      await rejectUnrouted(place, outgoing, createError('no-configuration', 'This entry has not received a configuration yet.'), id)
      return
    }
    const route = inEffect.findRoute(incoming.headers.host ?? '', incoming.url ?? '/')
    if (!route) {
      await rejectUnrouted(place, outgoing, createError('unknown-route', 'No route matches this host and path.'), id)
      return
    }
    if (id === undefined) {
      await rejectUnrouted(place, outgoing, createError('attempt-id-missing', 'The request has no Medlarcove-Attempt-Id header.'))
      return
    }
    const customer = findRequestCustomer(incoming.headers, route, inEffect.findCustomer)
    if (customer.isErr()) {
      await rejectUnrouted(place, outgoing, customer.error, id)
      return
    }
    const call = createUnreadCall(incoming, { id, route, customer: customer.value, inEffect, place }, { state, clock, shutdown, workMeter, callerWaits })
    await handleWithinQuota(call, incoming, outgoing, inEffect.configuration.limits.maxBodyBytes)
    recordEnd(call)
  }
  return {
    async handleRequest (incoming, outgoing) {
      const place = pipelining.add(incoming, outgoing)
      if (!place) return
      handledCount += 1
      try {
        await handle(incoming, outgoing, place)
      } catch (cause) {
        logger.error('Handling a request failed with an internal error.', { err: cause })
        if (!place.isFirst()) await place.waitTurn()
        if (place.caller.isDisconnected()) return
        place.startResponse()
        sendError(outgoing, createError('internal', 'The request failed with an internal error of the entry.', cause))
      } finally {
        handledCount -= 1
        unsent.watch(incoming, outgoing)
        place.watchTaken()
      }
    },
    handleClientError (error, socket) {
      const response = buildUnreadableResponse(error)
      if (response === undefined) socket.destroy(error)
      else pipelining.endReading(socket, response)
    },
    closeAfterResponses: pipelining.closeAfterResponses,
    countInProgress: () => handledCount + unsent.count(),
    reportPipelining: pipelining.report
  }
}
