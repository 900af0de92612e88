/**
 * Serves the requests of callers and those that peers pass on: finds the contract, holds the limits, sends the work.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.ts'
import { createError, getErrorAnswer } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Call } from '../request/call.ts'
import { createPresence, watchCaller } from '../request/caller-presence.ts'
import type { CallerPresence } from '../request/caller-presence.ts'
import { buildErrorAnswer, sendError } from '../request/error-answer.ts'
import { forwardAnswer, getRelayedFate } from '../request/forward-answer.ts'
import { ATTEMPT_HEADER, filterCallerHeaders } from '../request/headers.ts'
import { fetchAnswer } from '../request/idempotent-request.ts'
import { runOnce } from '../request/once-request.ts'
import type { WholeAnswer } from '../request/once-request.ts'
import { readBody } from '../request/read-body.ts'
import { toBrand } from '../types.ts'
import type { CustomerId, EntryId, KeyHash, RequestId, ServiceId } from '../types.ts'
import type { Operation, ServiceContract } from '../version/contract.ts'
import { findOperation } from '../version/route-table.ts'
import type { RouteMatch } from '../version/route-table.ts'
import type { ClaimBook } from './claims/claim-book.ts'
import { hashKey, hashRequest, readKey } from './claims/claim-keys.ts'
import type { ContractState } from './contracts/contract-state.ts'
import type { CustomerLimiter } from './limits/customer-limiter.ts'
import type { PartLogger } from './logger.ts'
import type { ForwardedAnswer, ForwardedRequest, PeerMesh } from './membership/peer-mesh.ts'
import { UNLISTED } from './metrics.ts'
import type { Metrics } from './metrics.ts'
import type { ServiceDirectory } from './service-links.ts'

/** The parts that serving needs. */
export interface RequestServiceOptions {
  self: EntryId
  /** A prefix that no other process uses for its request ids. */
  idPrefix: string
  clock: Clock
  contracts: ContractState
  services: ServiceDirectory
  limiter: CustomerLimiter
  claims: ClaimBook
  mesh: PeerMesh
  metrics: Metrics
  log: PartLogger
  /** Returns the entry that ranks first for a key. */
  findOwner(key: KeyHash): EntryId
}

/** Serves requests. */
export interface RequestService {
  handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void>
  /** Serves a request that a peer passed on. */
  handleForward(request: ForwardedRequest): Promise<ForwardedAnswer>
  countInProgress(): number
}

/** Where a path leads: `/{customer}/{service}/{rest}`. */
interface CallerPath { customer: CustomerId, serviceId: ServiceId, path: string }

type OnceOperation = Extract<Operation, { repeatable: false }>

/** What a route needs to become a call. */
interface CallSource { method: string, route: CallerPath, headers: Record<string, string>, caller: CallerPresence }

const PATH_PATTERN = /^\/([^/?]+)\/([^/?]+)(\/[^#]*)$/
const EMPTY_BODY = new Uint8Array()

/** Splits a caller's path. Errors: `malformed-request`. */
function parseCallerPath (url: string): Result<CallerPath, AppError> {
  const match = PATH_PATTERN.exec(url)
  const [, customer, service, path] = match ?? []
  if (!customer || !service || !path) return err(createError('malformed-request', 'The path is not of the form /{customer}/{service}/...'))
  return ok({ customer: toBrand<CustomerId>(customer), serviceId: toBrand<ServiceId>(service), path })
}

/** Returns the attempt number that a caller passed on; 1 for none. */
function parseAttempt (headers: IncomingMessage['headers']): number {
  const value = Number(headers[ATTEMPT_HEADER])
  return Number.isSafeInteger(value) && value > 0 ? value : 1
}

function toForwardedAnswer (result: Result<WholeAnswer, AppError>): ForwardedAnswer {
  if (result.isErr()) return { ...buildErrorAnswer(result.error), fate: getErrorAnswer(result.error.kind).fate }
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(result.value.headers)) headers[name] = Array.isArray(value) ? value.join(', ') : value
  return { ...result.value, headers }
}

/** Creates the part that serves requests. */
export function createRequestService (options: RequestServiceOptions): RequestService {
  const { clock, contracts, services, limiter, claims, mesh, metrics, log } = options
  let sequence = 0
  let inProgress = 0

  const createId = (): RequestId => toBrand<RequestId>(`${options.idPrefix}-${(sequence++).toString(36)}`)

  const findRoute = (method: string, route: CallerPath): Result<{ call: Omit<Call, 'headers' | 'body' | 'caller' | 'method'>, match: RouteMatch }, AppError> => {
    const contract = contracts.getContract(route.customer)
    if (contract.isErr()) return err(contract.error)
    const service: ServiceContract | undefined = contract.value.services[route.serviceId]
    const links = services.getLinks(route.customer, route.serviceId)
    if (!service || !links) return err(createError('unknown-service', `Customer ${route.customer} has no service ${route.serviceId}.`))
    const match = findOperation(service, method, route.path.split('?')[0] ?? '')
    if (match.isErr()) return err(match.error)
    const { operation } = match.value
    const call = {
      id: createId(),
      customer: route.customer,
      serviceId: route.serviceId,
      contract: contract.value,
      service,
      operation,
      links,
      path: route.path,
      firstAttempt: 1,
      deadlineMs: clock.monotonicMs() + operation.deadlineMs,
      clock,
      tried: new Set<never>(),
      noteBrokenAnswer: (error: AppError) => log.warn('An answer could not be given whole.', { customer: route.customer, service: route.serviceId, kind: error.kind, cause: error.message })
    }
    return ok({ call, match: match.value })
  }

  const runKeyed = async (call: Call, operation: OnceOperation, isForwarded: boolean): Promise<Result<WholeAnswer, AppError>> => {
    const body = call.body ?? EMPTY_BODY
    const key = readKey(operation, { path: call.path, headers: call.headers, body })
    if (key.isErr()) return err(key.error)
    const keyHash = hashKey(call.customer, call.serviceId, operation.name, key.value)
    const owner = options.findOwner(keyHash)
    const runHere = () => runOnce(call, { claims, keyHash, requestDigest: hashRequest(call.method, call.path, body) })
    if (owner === options.self || isForwarded) return runHere()
    const passed = await forwardToOwner(call, owner, body)
    if (passed.isOk()) return ok(passed.value)
    const own = await runHere()
    // The copy that was passed on may still run there, so nobody may be told that this request did not.
    const isRefused = own.isErr() && getErrorAnswer(own.error.kind).fate === 'not-run'
    if (!isRefused || passed.error.kind === 'peer-unreachable') return own
    return err(createError('claim-elsewhere', 'The entry that ranks first for the key may still run the request.'))
  }

  // When the link breaks the key is claimed here instead: the log's order decides between the two attempts.
  const forwardToOwner = async (call: Call, owner: EntryId, body: Uint8Array): Promise<Result<WholeAnswer, AppError>> =>
    await mesh.forwardRequest(owner, {
      customer: call.customer,
      service: call.serviceId,
      method: call.method,
      path: call.path,
      headers: call.headers,
      body,
      remainingMs: call.deadlineMs - clock.monotonicMs()
    })

  const serveKeyed = async (call: Call, operation: OnceOperation, outgoing: ServerResponse): Promise<Result<void, AppError>> => {
    const answer = await runKeyed(call, operation, false)
    if (answer.isErr()) return err(answer.error)
    const { status, headers, body } = answer.value
    outgoing.writeHead(status, { ...headers, 'content-length': String(body.byteLength) })
    outgoing.end(body)
    return ok(undefined)
  }

  const serveRepeatable = async (call: Call, outgoing: ServerResponse): Promise<Result<void, AppError>> => {
    const begun = await fetchAnswer(call)
    if (begun.isErr()) return err(begun.error)
    await forwardAnswer(call, begun.value, outgoing)
    return ok(undefined)
  }

  const serveCaller = async (incoming: IncomingMessage, outgoing: ServerResponse, source: CallSource): Promise<Result<void, AppError>> => {
    const found = findRoute(source.method, source.route)
    if (found.isErr()) return err(found.error)
    const { call: partial, match } = found.value
    const body = await readBody(incoming, match.operation.largestBodyBytes, clock)
    if (body.isErr()) return err(body.error)
    const permit = limiter.takePermit(partial.contract)
    if (permit.isErr()) return err(permit.error)
    const deadlineMs = clock.monotonicMs() + match.operation.deadlineMs
    const call: Call = { ...partial, deadlineMs, body: body.value, headers: source.headers, caller: source.caller, method: source.method, firstAttempt: parseAttempt(incoming.headers) }
    try {
      return match.operation.repeatable
        ? await serveRepeatable(call, outgoing)
        : await serveKeyed(call, match.operation, outgoing)
    } finally {
      permit.value.release()
    }
  }

  const runForwarded = async (request: ForwardedRequest): Promise<Result<WholeAnswer, AppError>> => {
    const found = findRoute(request.method, { customer: request.customer, serviceId: request.service, path: request.path })
    if (found.isErr()) return err(found.error)
    const { operation } = found.value.match
    if (operation.repeatable) return err(createError('malformed-request', 'Only requests that may not be repeated are passed on.'))
    const deadlineMs = Math.min(found.value.call.deadlineMs, clock.monotonicMs() + request.remainingMs)
    const call: Call = { ...found.value.call, deadlineMs, body: request.body, headers: request.headers, caller: createPresence(), method: request.method }
    return runKeyed(call, operation, true)
  }

  const countEnd = (route: CallerPath | undefined, outgoing: ServerResponse, error: AppError | undefined, startedMs: number): void => {
    const isListed = route && services.getLinks(route.customer, route.serviceId)
    const labels = isListed ? { customer: route.customer, service: route.serviceId } : { customer: UNLISTED, service: UNLISTED }
    const fate = error ? getErrorAnswer(error.kind).fate : getRelayedFate(outgoing.statusCode)
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
      const source = route.map((parsed) => ({ method: incoming.method ?? 'GET', route: parsed, headers: filterCallerHeaders(incoming.headers), caller: watchCaller(outgoing) }))
      const result = source.isErr() ? err(source.error) : await runSafely(serveCaller(incoming, outgoing, source.value))
      if (result.isErr()) sendError(outgoing, result.error)
      countEnd(route.isOk() ? route.value : undefined, outgoing, result.isErr() ? result.error : undefined, startedMs)
      inProgress -= 1
    },
    async handleForward (request) {
      inProgress += 1
      const result = await runSafely(runForwarded(request))
      inProgress -= 1
      return toForwardedAnswer(result)
    },
    countInProgress: () => inProgress
  }
}
