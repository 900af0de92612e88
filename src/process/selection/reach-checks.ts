/**
 * Asks other entries about targets that this entry cannot reach, and answers such requests.
 *
 * An entry asks only while it cannot reach most targets of a service, and only a few others at a time, chosen at random, so that
 * the cost for each entry does not depend on the number of entries. An entry that has not reached a target lately probes it.
 */
import type { EntryId, ServiceId, TargetId } from '../../types.ts'
import { shuffle } from '../gossip/probe-order.ts'
import type { PeerMessaging } from '../peer-messaging.ts'
import type { ReachMessage, ReachedTarget } from './reach-messages.ts'
import type { ServiceSelector } from './service-selector.ts'

/** The part of a service that the checks use. */
export interface CheckedService {
  name: ServiceId
  selector: Pick<ServiceSelector, 'reachability' | 'checkReachable'>
}

/** Which services this entry is cut off from: none, some of those that it uses, or all of them. */
export type CutOff = 'none' | 'partial' | 'total'

/** Checks of whether targets can be reached. */
export interface ReachChecks {
  /** Checks targets and asks other entries where needed, and answers their requests. Call it periodically. */
  runMaintenance(): void
  /** Returns from which services this entry is cut off. */
  getCutOff(): CutOff
  /** Handles a message of another entry. */
  handleMessage(from: EntryId, message: ReachMessage): void
}

/** Options of `createReachChecks`. */
export interface ReachChecksOptions extends Omit<PeerMessaging<ReachMessage>, 'broadcast' | 'self'> {
  /** Lists the services that have been used. */
  listServices(): readonly CheckedService[]
  /** Returns a service; creates it on first use. */
  getService(name: ServiceId): CheckedService
  /** Lists the other entries that may be asked. */
  listHelpers(): readonly EntryId[]
}

/** Entries that are asked at a time. */
const HELPERS = 3
/** Time between two requests about one service, in ms. */
const REQUEST_INTERVAL_MS = 500
/** A response that comes later than this is dropped, and a request is open at the recipient for as long, in ms. */
const RESPONSE_TIMEOUT_MS = 1_000
/** A target that was reached longer ago is probed again before it is named as reached, in ms. */
const MAX_REACHED_AGE_MS = 1_000
/** Requests of other entries that are open here at most; further ones are answered at once or not at all. */
const MAX_OPEN_REQUESTS = 256
const MAX_FIRST_SEQUENCE = 0x3fff_ffff

interface SentRequest { service: ServiceId, sentAtMs: number }

/** A request of another entry with targets that this entry has not reached yet. Instants by the monotonic clock in ms. */
interface OpenRequest {
  from: EntryId
  sequence: number
  service: CheckedService
  targets: { target: TargetId, sinceMs: number }[]
  expiresAtMs: number
}

/** Creates the checks; nothing is sent before `runMaintenance`. */
export function createReachChecks (options: ReachChecksOptions): ReachChecks {
  const { clock, random } = options
  const sent = new Map<number, SentRequest>()
  const askedAtMs = new Map<ServiceId, number>()
  let open: OpenRequest[] = []
  // Random, so that a late response to an earlier process answers nothing.
  let sequence = Math.floor(random() * MAX_FIRST_SEQUENCE)

  const sendRequest = ({ name, selector }: CheckedService, nowMs: number): void => {
    if (nowMs - (askedAtMs.get(name) ?? -Infinity) < REQUEST_INTERVAL_MS) return
    askedAtMs.set(name, nowMs)
    const targets = selector.reachability.selectForCheck()
    sequence += 1
    sent.set(sequence, { service: name, sentAtMs: nowMs })
    for (const helper of shuffle([...options.listHelpers()], random).slice(0, HELPERS)) options.send(helper, { type: 'reach-request', sequence, service: name, targets })
  }
  /** Sends the targets of a request that have been reached, and returns the request with the others. */
  const sendReached = (request: OpenRequest, nowMs: number): OpenRequest => {
    const reached: ReachedTarget[] = []
    const targets = request.targets.filter(({ target, sinceMs }) => {
      const reachedAtMs = request.service.selector.reachability.getReachedAtMs(target) ?? -Infinity
      const wasReached = reachedAtMs >= sinceMs
      if (wasReached) reached.push({ target, agoMs: nowMs - reachedAtMs })
      return !wasReached
    })
    if (reached.length > 0) options.send(request.from, { type: 'reach-response', sequence: request.sequence, reached })
    return { ...request, targets }
  }
  const handleRequest = (from: EntryId, message: ReachMessage & { type: 'reach-request' }): void => {
    const nowMs = clock.monotonicMs()
    const service = options.getService(message.service)
    const targets = message.targets.map(({ target, unreachedForMs }) => ({ target, sinceMs: nowMs - Math.min(unreachedForMs, MAX_REACHED_AGE_MS) }))
    const request = { from, sequence: message.sequence, service, targets, expiresAtMs: nowMs + RESPONSE_TIMEOUT_MS }
    const rest = sendReached(request, nowMs)
    if (rest.targets.length === 0 || open.length >= MAX_OPEN_REQUESTS) return
    open.push(rest)
    service.selector.checkReachable(rest.targets.map(({ target }) => target))
  }
  const handleResponse = ({ sequence: number, reached }: ReachMessage & { type: 'reach-response' }): void => {
    const request = sent.get(number)
    if (!request) return
    const nowMs = clock.monotonicMs()
    const { reachability } = options.getService(request.service).selector
    for (const { target, agoMs } of reached) reachability.recordReachedElsewhere(target, { earliestMs: request.sentAtMs - agoMs, latestMs: nowMs - agoMs })
  }
  const answerOpen = (nowMs: number): void => {
    open = open.map((request) => sendReached(request, nowMs)).filter(({ targets, expiresAtMs }) => targets.length > 0 && nowMs < expiresAtMs)
  }
  const removeOldRequests = (nowMs: number): void => {
    for (const [number, { sentAtMs }] of sent) if (nowMs - sentAtMs > RESPONSE_TIMEOUT_MS) sent.delete(number)
  }
  return {
    runMaintenance () {
      const nowMs = clock.monotonicMs()
      removeOldRequests(nowMs)
      answerOpen(nowMs)
      for (const service of options.listServices()) {
        if (!service.selector.reachability.hasLostMost()) continue
        sendRequest(service, nowMs)
        service.selector.checkReachable()
      }
    },
    getCutOff () {
      const reachabilities = options.listServices().map(({ selector }) => selector.reachability)
      if (!reachabilities.some((reachability) => reachability.isCutOff())) return 'none'
      return reachabilities.some((reachability) => reachability.hasReached()) ? 'partial' : 'total'
    },
    handleMessage (from, message) {
      switch (message.type) {
        case 'reach-request': return handleRequest(from, message)
        case 'reach-response': return handleResponse(message)
      }
    }
  }
}
