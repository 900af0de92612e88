/**
 * Takes the requests of callers at a gateway: finds the route, runs the attempts and sends the answer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '../../clock.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { getAttemptId, getDeadlineMs } from '../../platform/wire-names.ts'
import { watchCaller } from '../../request/caller-presence.ts'
import { sendError } from '../../request/error-answer.ts'
import type { GatewayCall } from '../../request/gateway/gateway-call.ts'
import { filterRequestHeaders } from '../../request/gateway/gateway-headers.ts'
import { relayAnswer } from '../../request/gateway/relay-answer.ts'
import { runAttempts } from '../../request/gateway/run-attempts.ts'
import { readBody } from '../../request/read-body.ts'
import type { RequestId } from '../../types.ts'
import type { Route } from '../../version/configuration.ts'
import type { PartLogger } from '../logger.ts'
import { createWorkMeter } from '../placement/work-meter.ts'
import type { GatewayState, ConfigurationInForce } from './gateway-state.ts'

/** Takes requests. */
export interface GatewayRequests {
  /** Answers one request; never rejects. */
  handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void>
  countInProgress(): number
}

/** How to create it. */
export interface GatewayRequestsOptions {
  state: GatewayState
  clock: Clock
  logger: PartLogger
}

/** Taken off the time that is left, for the answer's way back to the caller, in ms. */
const ANSWER_MARGIN_MS = 5
const LONGEST_BODY_PAUSE_MS = 5_000

/** Creates the request handling. */
export function createGatewayRequests ({ state, clock, logger }: GatewayRequestsOptions): GatewayRequests {
  const work = createWorkMeter()
  let inProgress = 0

  const refuse = (outgoing: ServerResponse, error: AppError, id?: RequestId): void => {
    logger.info('Refused a request.', { id, error: error.kind, detail: error.message })
    sendError(outgoing, error)
  }
  const createCall = (incoming: IncomingMessage, outgoing: ServerResponse, id: RequestId, route: Route, inForce: ConfigurationInForce, startedAtMs: number): GatewayCall => {
    const deadlineMs = getDeadlineMs(incoming.headers) ?? route.timeoutMs
    return {
      id,
      route,
      version: inForce.configuration.version,
      service: state.getService(inForce.takeService(route)),
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      headers: filterRequestHeaders(incoming.headers),
      body: undefined,
      startedAtMs,
      endsAtMs: startedAtMs + Math.min(route.timeoutMs, Math.max(1, deadlineMs - ANSWER_MARGIN_MS)),
      caller: watchCaller(outgoing),
      work,
      clock,
      logger
    }
  }
  const serve = async (call: GatewayCall, outgoing: ServerResponse): Promise<void> => {
    call.service.repeats.add()
    const answer = await runAttempts(call)
    if (answer.isErr()) {
      if (!call.caller.isGone()) refuse(outgoing, answer.error, call.id)
      return
    }
    const end = await relayAnswer(answer.value, outgoing)
    if (end.kind === 'broken') logger.warn('An answer was cut short.', { id: call.id, detail: end.error.message })
  }
  const handle = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    const startedAtMs = clock.monotonicMs()
    const inForce = state.getInForce()
    const id = getAttemptId(incoming.headers)
    if (!inForce) {
      refuse(outgoing, createError('no-configuration', 'This entry has no configuration yet.'), id)
      return
    }
    const route = inForce.findRoute(incoming.headers.host ?? '', incoming.url ?? '/')
    if (!route) {
      refuse(outgoing, createError('unknown-route', 'No route matches this host and path.'), id)
      return
    }
    if (id === undefined) {
      refuse(outgoing, createError('attempt-id-missing', 'The request names no attempt.'))
      return
    }
    const call = createCall(incoming, outgoing, id, route, inForce, startedAtMs)
    const bounds = { largestBytes: inForce.configuration.limits.largestBodyBytes, longestPauseMs: LONGEST_BODY_PAUSE_MS }
    const body = await readBody(incoming, bounds, clock)
    if (body.isErr()) {
      if (!call.caller.isGone()) refuse(outgoing, body.error, id)
      return
    }
    await serve({ ...call, body: body.value }, outgoing)
  }
  return {
    async handleRequest (incoming, outgoing) {
      inProgress += 1
      try {
        await handle(incoming, outgoing)
      } catch (cause) {
        logger.error('A request failed inside the gateway.', { err: cause })
        sendError(outgoing, createError('internal', 'The request failed inside the entry.', cause))
      } finally {
        inProgress -= 1
      }
    },
    countInProgress: () => inProgress
  }
}
