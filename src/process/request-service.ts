/**
 * Serves requests of callers and requests forwarded by peers: finds the operation in the contract, enforces the limits of the
 * customer, and sends the request to a target.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, getErrorResponse } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { getRelayedExecutionStatus } from '../request/response-status.ts'
import type { Call } from '../request/call.ts'
import { createCallerConnection, watchCaller } from '../request/caller-connection.ts'
import type { CallerConnection } from '../request/caller-connection.ts'
import { buildErrorResponse, sendError } from '../request/error-response.ts'
import { forwardResponse } from '../request/forward-response.ts'
import { ATTEMPT_HEADER, filterCallerHeaders } from '../request/headers.ts'
import { fetchResponse } from '../request/idempotent-request.ts'
import type { CompleteResponse } from '../request/at-most-once-request.ts'
import { readBody } from '../request/read-body.ts'
import { createKeyedRequests } from './keyed-requests.ts'
import type { KeyedOperation, KeyedRequestsOptions } from './keyed-requests.ts'
import type { CustomerLimiter } from './limits/customer-limiter.ts'
import type { ForwardedResponse, ForwardedRequest } from './membership/peer-mesh.ts'
import { UNLISTED } from './metrics.ts'
import type { Metrics } from './metrics.ts'
import { createRouteFinder, parseCallerPath } from './route-finder.ts'
import type { CallerPath, RouteFinderOptions } from './route-finder.ts'

/** Options of the request service. */
export interface RequestServiceOptions extends RouteFinderOptions, KeyedRequestsOptions {
  limiter: CustomerLimiter
  metrics: Metrics
  /** The longest pause of a caller while it sends a body or reads a response, in ms. */
  maxPauseMs: number
}

/** Serves requests of callers and peers. */
export interface RequestService {
  /** Serves a caller's request; resolves when the response is sent or has failed. */
  handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void>
  /** Serves a non-idempotent request that a peer forwarded. */
  handleForward(request: ForwardedRequest): Promise<ForwardedResponse>
  /** Returns the number of requests in progress, those of peers included. */
  countInProgress(): number
}

/** The parts of a call that come from the caller's message. */
interface CallSource { method: string, route: CallerPath, headers: Record<string, string>, caller: CallerConnection }

/** Returns the attempt number that the caller stated, or 1 when there is none. */
function parseAttempt (headers: IncomingMessage['headers']): number {
  const value = Number(headers[ATTEMPT_HEADER])
  return Number.isSafeInteger(value) && value > 0 ? value : 1
}

function toForwardedResponse (result: Result<CompleteResponse, AppError>): ForwardedResponse {
  if (result.isErr()) return { ...buildErrorResponse(result.error), fate: getErrorResponse(result.error.kind).fate }
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(result.value.headers)) headers[name] = Array.isArray(value) ? value.join(', ') : value
  return { ...result.value, headers }
}

/** Creates the request service. */
export function createRequestService (options: RequestServiceOptions): RequestService {
  const { clock, services, limiter, metrics, log, maxPauseMs } = options
  const { findRoute } = createRouteFinder(options)
  const keyed = createKeyedRequests(options)
  let inProgress = 0

  const serveNonIdempotent = async (call: Call, operation: KeyedOperation, outgoing: ServerResponse): Promise<Result<void, AppError>> => {
    const response = await keyed.runForCaller(call, operation)
    if (response.isErr()) return err(response.error)
    const { status, headers, body } = response.value
    outgoing.writeHead(status, { ...headers, 'content-length': String(body.byteLength) })
    outgoing.end(body)
    return ok(undefined)
  }

  const serveIdempotent = async (call: Call, outgoing: ServerResponse): Promise<Result<void, AppError>> => {
    const begun = await fetchResponse(call)
    if (begun.isErr()) return err(begun.error)
    await forwardResponse(call, begun.value, outgoing)
    return ok(undefined)
  }

  const serveCaller = async (incoming: IncomingMessage, outgoing: ServerResponse, source: CallSource): Promise<Result<void, AppError>> => {
    const found = findRoute(source.method, source.route)
    if (found.isErr()) return err(found.error)
    const { operation, contract } = found.value
    const body = await readBody(incoming, { maxBytes: operation.largestBodyBytes, maxPauseMs }, clock)
    if (body.isErr()) return err(body.error)
    const permit = limiter.acquirePermit(contract)
    if (permit.isErr()) return err(permit.error)
    const call: Call = {
      ...found.value,
      deadlineMs: clock.monotonicMs() + operation.deadlineMs,
      body: body.value,
      headers: source.headers,
      caller: source.caller,
      maxPauseMs,
      method: source.method,
      firstAttemptNumber: parseAttempt(incoming.headers)
    }
    try {
      return operation.repeatable ? await serveIdempotent(call, outgoing) : await serveNonIdempotent(call, operation, outgoing)
    } finally {
      permit.value.release()
    }
  }

  const runForwarded = async (request: ForwardedRequest): Promise<Result<CompleteResponse, AppError>> => {
    const found = findRoute(request.method, { customer: request.customer, serviceId: request.service, path: request.path })
    if (found.isErr()) return err(found.error)
    const { operation } = found.value
    if (operation.repeatable) return err(createError('malformed-request', 'Only non-idempotent requests may be forwarded.'))
    const call: Call = {
      ...found.value,
      deadlineMs: Math.min(found.value.deadlineMs, clock.monotonicMs() + request.remainingMs),
      body: request.body,
      headers: request.headers,
      caller: createCallerConnection(),
      maxPauseMs,
      method: request.method,
      firstAttemptNumber: 1
    }
    return keyed.runForPeer(call, operation)
  }

  const countEnd = (route: CallerPath | undefined, outgoing: ServerResponse, error: AppError | undefined, startedMs: number): void => {
    const isListed = route && services.getLinks(route.customer, route.serviceId)
    const labels = isListed ? { customer: route.customer, service: route.serviceId } : { customer: UNLISTED, service: UNLISTED }
    const fate = error ? getErrorResponse(error.kind).fate : getRelayedExecutionStatus(outgoing.statusCode)
    metrics.countRequest({ ...labels, fate, kind: error?.kind ?? 'relayed' })
    metrics.recordLatency(labels, clock.monotonicMs() - startedMs)
  }

  const runSafely = async <T>(work: Promise<Result<T, AppError>>): Promise<Result<T, AppError>> => {
    try {
      return await work
    } catch (cause) {
      log.error('A request failed inside the entry.', { err: cause })
      return err(createError('internal', 'The entry failed while it served the request.', cause))
    }
  }

  return {
    async handleRequest (incoming, outgoing) {
      inProgress += 1
      const startedMs = clock.monotonicMs()
      const route = parseCallerPath(incoming.url ?? '')
      const source = route.map((parsed) => ({
        method: incoming.method ?? 'GET',
        route: parsed,
        headers: filterCallerHeaders(incoming.headers),
        caller: watchCaller(outgoing)
      }))
      const result = source.isErr() ? err(source.error) : await runSafely(serveCaller(incoming, outgoing, source.value))
      if (result.isErr()) sendError(outgoing, result.error)
      countEnd(route.isOk() ? route.value : undefined, outgoing, result.isErr() ? result.error : undefined, startedMs)
      inProgress -= 1
    },
    async handleForward (request) {
      inProgress += 1
      const result = await runSafely(runForwarded(request))
      inProgress -= 1
      return toForwardedResponse(result)
    },
    countInProgress: () => inProgress
  }
}
