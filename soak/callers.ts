/**
 * The callers of a run. Each asks for addresses as callers do, sends one request after the other, and records how each ended.
 */
import { Agent, request } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { ROUTE_HOST } from '../stand-ins/platform-target.ts'
import type { EventLog, RequestEnd, SentRequest } from './events.ts'
import { sendPipelined } from './pipelined-connection.ts'
import type { CallerPlan, CustomerPlan, ServicePlan } from './plan.ts'
import { DEADLY_PATH } from './targets.ts'

/** Where an entry listens. */
export interface EntryAddress { frontPort: number, directoryPort: number }

/** Options of `runCaller`. */
export interface CallerOptions {
  index: number
  plan: CallerPlan
  services: readonly ServicePlan[]
  customers: readonly CustomerPlan[]
  entries: readonly EntryAddress[]
  events: EventLog
  random: () => number
  /** When the caller sends no more, in ms after the start of the traffic. */
  endsAtMs: number
  /** Whether its requests crash their targets. */
  isDeadly?: boolean
}

/** How long an address response is used, in ms. */
const ADDRESSES_LIFETIME_MS = 1_000
const DIRECTORY_TIMEOUT_MS = 500
const MAX_ATTEMPTS = 2
/** Requests that a caller sends at once on one connection. */
const PIPELINED_COUNT = 4
const SLOW_READER_PAUSE_MS = 250
/** A caller that leaves does so after this share of the mean work time, or before a deadly request crashes its target, in ms. */
const LEAVES_AFTER_SHARE = 0.7
const LEAVES_DEADLY_AFTER_MS = 200
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

interface AttemptOptions {
  sent: Omit<SentRequest, 'atMs' | 'isReused'>
  port: number
  agent: Agent | undefined
  path: string
  /** The key that it sends; undefined without one. */
  key: string | undefined
  deadlineMs: number
  leavesAfterMs: number | undefined
  isSlow: boolean
}

async function readBody (response: IncomingMessage, isSlow: boolean): Promise<string> {
  let text = ''
  for await (const chunk of response) {
    text += String(chunk)
    if (isSlow) await wait(SLOW_READER_PAUSE_MS)
  }
  return text
}

function toEnd (response: Pick<IncomingMessage, 'headers' | 'statusCode'>, body: string): RequestEnd {
  const signature = response.headers['medlarcove-response-signature']
  const text = Array.isArray(signature) ? signature[0] : signature
  return { kind: 'answered', status: response.statusCode ?? 0, body, signature: text, isLeaving: response.headers['server-leaving'] === '1', target: text?.split(' ')[0] }
}

function buildHeaders ({ sent, deadlineMs, key }: Pick<AttemptOptions, 'sent' | 'deadlineMs' | 'key'>): Record<string, string> {
  return {
    host: ROUTE_HOST,
    'medlarcove-attempt-id': sent.id,
    'medlarcove-deadline-ms': String(deadlineMs),
    ...(key === undefined ? {} : { authorization: `Token ${key}`, 'medlarcove-tenant': 'claimed-by-the-caller' })
  }
}

/** Sends one request and resolves with how it ended; records both. */
function sendAttempt (options: AttemptOptions, events: EventLog): Promise<RequestEnd> {
  const { sent, agent, port, path, deadlineMs, leavesAfterMs, isSlow } = options
  return new Promise((resolve) => {
    const atMs = events.nowMs()
    const outgoing = request({
      host: '127.0.0.1',
      port,
      path,
      method: sent.isIdempotent ? 'GET' : 'POST',
      agent: agent ?? false,
      headers: buildHeaders(options)
    })
    let isOver = false
    const finish = (end: RequestEnd): void => {
      if (isOver) return
      isOver = true
      clearTimeout(leaving)
      clearTimeout(patience)
      if (end.kind !== 'answered') outgoing.destroy()
      events.add({ type: 'ended', atMs: events.nowMs(), id: sent.id, end })
      resolve(end)
    }
    const leaving = leavesAfterMs === undefined ? undefined : setTimeout(() => finish({ kind: 'left' }), leavesAfterMs)
    const patience = setTimeout(() => finish({ kind: 'given-up' }), deadlineMs)
    outgoing.on('socket', () => events.add({ type: 'sent', atMs, request: { ...sent, atMs, isReused: outgoing.reusedSocket } }))
    outgoing.on('response', (response) => {
      readBody(response, isSlow).then((body) => finish(toEnd(response, body)), () => finish({ kind: 'closed' }))
    })
    outgoing.on('error', () => finish({ kind: 'closed' }))
    outgoing.end()
  })
}

/** Keeps the addresses that a directory has named, for their lifetime. */
function createAddresses ({ entries, index, random, events }: CallerOptions) {
  let usable: number[] = entries.map((_, entry) => entry)
  let askedAtMs = -Infinity
  const updateAddresses = async (): Promise<void> => {
    const { directoryPort } = entries[Math.floor(random() * entries.length)]!
    const url = `http://127.0.0.1:${directoryPort}/resolve?name=${ROUTE_HOST}&region=r&zone=zone-${index}`
    const response = await fetch(url, { signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MS) })
    const { addresses = [] } = await response.json() as { addresses?: string[] }
    const named = entries.flatMap(({ frontPort }, entry) => addresses.some((address) => address.endsWith(`:${frontPort}`)) ? [entry] : [])
    if (named.length > 0) usable = named
    askedAtMs = events.nowMs()
  }
  return {
    async select (): Promise<number> {
      // An entry that does not respond is as good as one that has nothing new to say.
      if (events.nowMs() - askedAtMs > ADDRESSES_LIFETIME_MS) await updateAddresses().catch(() => undefined)
      return usable[Math.floor(random() * usable.length)]!
    },
    drop (entry: number): void {
      if (usable.length > 1) usable = usable.filter((each) => each !== entry)
    }
  }
}

function canRepeat (end: RequestEnd, isIdempotent: boolean): boolean {
  switch (end.kind) {
    case 'left':
    case 'given-up': return false
    case 'closed': return isIdempotent
    case 'answered': return NOT_RUN_STATUSES.has(end.status) || (isIdempotent && end.status >= 500)
  }
}

/** Returns the key that a caller sends, and the customer that holds it; neither in a deployment without customers. */
function describeKey ({ plan, customers }: CallerOptions): { key: string | undefined, customer: string | undefined } {
  const customer = plan.customer === undefined ? undefined : customers[plan.customer]
  if (!customer) return { key: undefined, customer: undefined }
  return plan.hasUnknownKey ? { key: `unknown-${customer.key}`, customer: undefined } : { key: customer.key, customer: customer.name }
}

/** Plays a caller that sends several safe requests at once on one connection, until its end. */
async function runPipeliner (options: CallerOptions): Promise<void> {
  const { index, plan, services, entries, events, endsAtMs } = options
  const service = services[plan.service]!
  const { key, customer } = describeKey(options)
  const addresses = createAddresses(options)
  await wait(options.random() * plan.gapMs)
  for (let count = 0; events.nowMs() < endsAtMs; count++) {
    const entry = await addresses.select()
    const atMs = events.nowMs()
    const sent = Array.from({ length: PIPELINED_COUNT }, (_, place): SentRequest => ({ id: `c${index}x${count}p${place}`, atMs, entry, service: plan.service, isIdempotent: true, isDeadly: false, isFirst: true, isReused: false, timeoutMs: service.timeoutMs, customer, hasUnknownKey: plan.hasUnknownKey ?? false }))
    for (const request of sent) events.add({ type: 'sent', atMs, request })
    const requests = sent.map((request, place) => ({ path: `/${service.name}/safe/${index}/${count}/${place}`, headers: buildHeaders({ sent: request, deadlineMs: plan.deadlineMs, key }) }))
    const unanswered = new Set(sent)
    const recordEnd = (request: SentRequest, end: RequestEnd): void => {
      unanswered.delete(request)
      events.add({ type: 'ended', atMs: events.nowMs(), id: request.id, end })
    }
    await sendPipelined(entries[entry]!.frontPort, requests, plan.deadlineMs, (place, { status, headers, body }) => recordEnd(sent[place]!, toEnd({ statusCode: status, headers }, body)))
    for (const request of unanswered) recordEnd(request, { kind: 'closed' })
    await wait(plan.gapMs)
  }
}

/** Plays a caller until its end. */
export async function runCaller (options: CallerOptions): Promise<void> {
  const { index, plan, services, entries, events, endsAtMs, isDeadly = false } = options
  if (plan.habit === 'pipeliner') return runPipeliner(options)
  const service = services[plan.service]!
  const { key, customer } = describeKey(options)
  const addresses = createAddresses(options)
  const agents = entries.map(() => new Agent({ keepAlive: true, maxSockets: 1 }))
  const leavesAfterMs = plan.habit !== 'leaver' ? undefined : isDeadly ? LEAVES_DEADLY_AFTER_MS : service.workMs * LEAVES_AFTER_SHARE
  await wait(options.random() * plan.gapMs)
  for (let count = 0; events.nowMs() < endsAtMs; count++) {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const entry = await addresses.select()
      const isFirst = attempt === 0
      const end = await sendAttempt({
        sent: { id: `c${index}x${count}-${attempt}`, entry, service: plan.service, isIdempotent: plan.isIdempotent, isDeadly, isFirst, timeoutMs: service.timeoutMs, customer, hasUnknownKey: plan.hasUnknownKey ?? false },
        port: entries[entry]!.frontPort,
        agent: plan.keepsConnection && isFirst ? agents[entry] : undefined,
        key,
        path: `/${service.name}/${plan.isIdempotent ? 'safe' : 'unsafe'}${isDeadly ? DEADLY_PATH : `/${index}/${count}`}`,
        deadlineMs: plan.deadlineMs,
        leavesAfterMs,
        isSlow: plan.habit === 'slow-reader'
      }, events)
      if (!canRepeat(end, plan.isIdempotent)) break
      addresses.drop(entry)
    }
    await wait(plan.gapMs)
  }
  for (const agent of agents) agent.destroy()
}
