/**
 * The targets of a run: each works on requests, registers in the store and plays its faults. A target that ends comes back at its
 * address under a new id.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { PlatformStore } from '../stand-ins/platform-store.ts'
import type { EventLog } from './events.ts'
import { TARGET_ZONES } from './plan.ts'
import type { FaultKind, ServicePlan } from './plan.ts'
import { startFlood } from './floods.ts'

/** Path of the requests that crash their targets. */
export const DEADLY_PATH = '/deadly'
/** Work of a request that crashes its target, until then, in ms. */
const CRASH_AFTER_MS = 300
const DOWN_MS = 2_000
const HEARTBEAT_MS = 1_000
/** The platform removes the record of a target that is silent for this long, in ms. */
const RECORD_LIFETIME_MS = 3_000
/** A target that leaves goes on serving for this long, in ms. */
const LEAVING_MS = 4_000
const RETRY_AFTER_S = 3
/** What a cold target bears, and for how long it is cold. */
export const WARM_UP = { perSecond: 4, durationMs: 3_000 } as const
const MS_PER_SECOND = 1_000
const QUEUE_LENGTH = 8

/** A target. */
export interface SoakTarget {
  readonly service: number
  readonly port: number
  /** Plays a fault of targets for a time. */
  play(fault: FaultKind, forMs: number): void
  close(): void
}

/** Options of `startTarget`. */
export interface TargetOptions {
  index: number
  port: number
  service: number
  plan: ServicePlan
  store: PlatformStore
  events: EventLog
  random: () => number
}

interface State {
  run: number
  isUp: boolean
  isLeaving: boolean
  active: number
  sequence: number
  bornMs: number
  /** Rejects requests until then. */
  rejectsUntilMs: number
  /** Is cold until then. */
  coldUntilMs: number
  fault: FaultKind | undefined
}

/** Returns the body that a target sends for a request; callers check it. */
export function formatBody (id: string, target: string): string {
  return `${id} by ${target} `.repeat(40)
}

/** Sends a response with an odd status line. */
function sendOddStatus (socket: Socket, status: string, headers: Record<string, string>): void {
  const lines = Object.entries({ ...headers, 'content-length': '3' }).map(([name, value]) => `${name}: ${value}`)
  socket.write(`${[`HTTP/1.1 ${status} Odd`, ...lines].join('\r\n')}\r\n\r\nodd`)
}

/** Starts a target. It drops a request whose connection closes, unless its number is odd. */
export async function startTarget ({ index, port, service, plan, store, events, random }: TargetOptions): Promise<SoakTarget> {
  const state: State = { run: 0, isUp: true, isLeaving: false, active: 0, sequence: 0, bornMs: Date.now(), rejectsUntilMs: 0, coldUntilMs: 0, fault: undefined }
  const isPersistent = index % 2 === 1
  const zone = TARGET_ZONES[Math.floor(index / 2) % TARGET_ZONES.length]!
  const sockets = new Set<Socket>()
  const timers = new Set<NodeJS.Timeout>()
  let server: Server = createServer()

  const getId = (): string => `i-${index}-${state.run}`
  const startTimer = (ms: number, action: () => void): void => {
    const timer = setTimeout(() => {
      timers.delete(timer)
      action()
    }, ms)
    timers.add(timer)
  }
  const describeHeaders = (): Record<string, string> => ({
    ...(plan.hasLoadReports ? { 'medlarcove-upstream-load': `${Math.min(state.active, plan.slots)},${Math.max(0, state.active - plan.slots)},${plan.slots},100` } : {}),
    ...(state.isLeaving ? { 'server-leaving': '1' } : {})
  })
  const getWarmUpLeftMs = (): number => Math.max(0, Math.round(state.coldUntilMs - events.nowMs()))
  const describeInfo = () => ({ service: plan.name, version: 'v1', zone, slots: plan.slots })
  const startCold = (): void => {
    state.coldUntilMs = events.nowMs() + WARM_UP.durationMs
    events.add({ type: 'cold', atMs: events.nowMs(), target: getId(), untilMs: state.coldUntilMs, perSecond: WARM_UP.perSecond })
  }
  const writeRecord = (): void => {
    state.sequence += 1
    store.put('keyed.servers', getId(), {
      address: `127.0.0.1:${port}`,
      born: state.bornMs,
      info: describeInfo(),
      status: { state: 'ready', sequence: state.sequence, warmupLeft: `${getWarmUpLeftMs()}ms` }
    })
  }
  const removeRecord = (id: string): void => store.put('keyed.servers', id)
  const runHeartbeat = (): void => {
    if (state.isUp && !state.isLeaving) writeRecord()
    startTimer(HEARTBEAT_MS, runHeartbeat)
  }
  const startListening = async (): Promise<void> => {
    server = createServer(handleRequest)
    server.on('connection', (socket) => {
      sockets.add(socket)
      socket.on('close', () => sockets.delete(socket))
      socket.on('error', () => undefined)
    })
    await new Promise<void>((resolve) => { server.listen(port, '127.0.0.1', resolve) })
  }
  const startRun = (): void => {
    Object.assign(state, { run: state.run + 1, isUp: true, isLeaving: false, active: 0, sequence: 0, bornMs: Date.now(), rejectsUntilMs: 0, coldUntilMs: 0 })
    startCold()
    startListening().then(writeRecord, () => undefined)
  }
  const stop = (): void => {
    state.isUp = false
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
  }
  const startCrash = (isByRequest: boolean): void => {
    if (!state.isUp) return
    const id = getId()
    events.add({ type: 'crashed', atMs: events.nowMs(), target: id, isByRequest })
    stop()
    startTimer(DOWN_MS, startRun)
    startTimer(RECORD_LIFETIME_MS, () => removeRecord(id))
  }
  const startLeaving = (isReported: boolean): void => {
    if (!state.isUp || state.isLeaving) return
    state.isLeaving = true
    const id = getId()
    if (isReported) store.put('keyed.servers', id, { address: `127.0.0.1:${port}`, born: state.bornMs, info: describeInfo(), status: { state: 'draining', sequence: state.sequence + 1, warmupLeft: '0ms' } })
    else removeRecord(id)
    startTimer(LEAVING_MS, () => {
      if (!state.isUp || getId() !== id) return
      events.add({ type: 'disturbed', atMs: events.nowMs(), untilMs: events.nowMs(), target: id, what: 'ended after leaving' })
      stop()
      removeRecord(id)
      startTimer(DOWN_MS, startRun)
    })
  }
  const isDrawn = (share: number): boolean => random() < share

  const sendWhole = (attempt: string, outgoing: ServerResponse): void => {
    const id = getId()
    outgoing.writeHead(200, { 'medlarcove-attempt-id': attempt, 'medlarcove-response-signature': `${id} ${attempt}`, ...describeHeaders() }).end(formatBody(attempt, id))
  }
  const sendRejection = (attempt: string, outgoing: ServerResponse, headers: Record<string, string> = {}): void => {
    outgoing.writeHead(503, { 'medlarcove-attempt-id': attempt, 'medlarcove-not-executed': '1', ...describeHeaders(), ...headers }).end()
  }
  /** Responds to a request that has been worked on, as the fault of the target wants it. */
  const answer = (attempt: string, incoming: IncomingMessage, outgoing: ServerResponse): void => {
    const { fault } = state
    const signed = { 'medlarcove-attempt-id': attempt, 'medlarcove-response-signature': `${getId()} ${attempt}`, ...describeHeaders() }
    if (fault?.kind === 'target-status' && isDrawn(fault.share)) outgoing.writeHead(fault.status, signed).end('failed')
    else if (fault?.kind === 'target-odd-status' && isDrawn(fault.share)) sendOddStatus(incoming.socket, fault.status, signed)
    else if (fault?.kind === 'target-flood' && isDrawn(fault.share)) startFlood(incoming.socket, { place: fault.place, isSlow: fault.isSlow, headers: signed })
    else if (fault?.kind === 'target-truncate' && isDrawn(fault.share)) outgoing.writeHead(200, { ...signed, 'content-length': 10_000 }).write('truncated', () => incoming.socket.destroy())
    else sendWhole(attempt, outgoing)
  }
  const runAttempt = (attempt: string, incoming: IncomingMessage, outgoing: ServerResponse): void => {
    const { run } = state
    const isDeadly = incoming.url?.includes(DEADLY_PATH) ?? false
    state.active += 1
    const customer = incoming.headers['medlarcove-tenant']
    events.add({ type: 'run', atMs: events.nowMs(), id: attempt, target: getId(), service, zone, customer: Array.isArray(customer) ? customer.join() : customer, hasKey: incoming.headers.authorization !== undefined })
    const workMs = isDeadly ? CRASH_AFTER_MS : plan.workMs * (0.5 + random())
    startTimer(workMs, () => {
      if (run !== state.run || !state.isUp) return
      state.active -= 1
      const isDropped = incoming.socket.destroyed && !isPersistent
      if (isDeadly && !isDropped) startCrash(true)
      else if (!incoming.socket.destroyed) answer(attempt, incoming, outgoing)
    })
  }
  const handleAttempt = (attempt: string, incoming: IncomingMessage, outgoing: ServerResponse): void => {
    const nowMs = events.nowMs()
    const expected = incoming.headers['medlarcove-target-instance']
    if (expected !== undefined && expected !== getId()) outgoing.writeHead(421, { 'medlarcove-instance-id': getId() }).end()
    else if (nowMs < state.rejectsUntilMs) {
      events.add({ type: 'paused', atMs: nowMs, id: attempt, target: getId(), untilMs: state.rejectsUntilMs })
      sendRejection(attempt, outgoing, { 'retry-after': ((state.rejectsUntilMs - nowMs) / MS_PER_SECOND).toFixed(3) })
    } else if (state.active >= plan.slots + QUEUE_LENGTH) sendRejection(attempt, outgoing)
    else runAttempt(attempt, incoming, outgoing)
  }
  const handleRequest = (incoming: IncomingMessage, outgoing: ServerResponse): void => {
    if (incoming.url === '/health') {
      outgoing.writeHead(state.isLeaving ? 503 : 200, { 'medlarcove-instance-id': getId(), 'medlarcove-warmup-ms': String(getWarmUpLeftMs()), ...describeHeaders() }).end()
      return
    }
    incoming.on('end', () => handleAttempt(String(incoming.headers['medlarcove-attempt-id']), incoming, outgoing)).resume()
  }
  await startListening()
  runHeartbeat()
  return {
    service,
    port,
    play (fault, forMs) {
      events.add({ type: 'disturbed', atMs: events.nowMs(), untilMs: events.nowMs() + forMs, target: getId(), what: fault.kind })
      if (fault.kind === 'target-crash') startCrash(false)
      else if (fault.kind === 'target-cold') startCold()
      else if (fault.kind === 'target-leave') startLeaving(fault.isReported)
      else if (fault.kind === 'target-retry-after') state.rejectsUntilMs = events.nowMs() + RETRY_AFTER_S * MS_PER_SECOND
      else {
        state.fault = fault
        startTimer(forMs, () => { state.fault = undefined })
      }
    },
    close () {
      for (const timer of timers) clearTimeout(timer)
      stop()
    }
  }
}
