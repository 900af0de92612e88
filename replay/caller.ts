/**
 * A caller: asks an entry for addresses, keeps the answer for its lifetime and sends its requests there.
 */
import { createHash } from 'node:crypto'
import { Agent, request } from 'undici'
import type { ExecutionStatus } from '../src/types.ts'
import type { EntryHost } from './deployment.ts'

const LARGEST_ATTEMPTS = 3
const SUCCESS = 200
const SHOWN_BODY_BYTES = 4_096

/** One request of a caller. */
export interface CallerRequest {
  service: string
  method: string
  /** Path below the service, with the query. */
  path: string
  headers?: Record<string, string>
  body?: string
}

/** One attempt of a request, as the caller saw it. */
export type Attempt =
  /** No connection could be made: nothing was sent. */
  | { kind: 'refused', reason: string }
  /** The connection broke before the whole answer was there. */
  | { kind: 'broken', reason: string }
  | { kind: 'answered', status: number, fate: ExecutionStatus | undefined, version: number | undefined }

/** What came of a request in the end. */
export interface CallerAnswer {
  attempts: Attempt[]
  /** The last attempt, when it was answered. */
  status: number | undefined
  fate: ExecutionStatus | undefined
  headers: Record<string, string | string[] | undefined>
  /** The beginning of the body. */
  text: string
  bytes: number
  /** Digest of the whole body, in hexadecimal digits. */
  sha256: string
}

/** Where requests go. */
export interface Address { address: string, port: number }

/** Sends requests of one caller. */
export interface Caller {
  id: string
  /** Lists the addresses to use, asking an entry when the last answer has aged. */
  listAddresses(): Promise<Address[]>
  /** Sends a request; goes on with the next address when a connection cannot be made or breaks. */
  send(request: CallerRequest): Promise<CallerAnswer>
  close(): Promise<void>
}

/** How to create a caller. */
export interface CallerOptions {
  id: string
  customer: string
  entries: readonly EntryHost[]
  /** The zone of the caller, as it tells the entries. */
  zone?: string
  /** Uses only this entry, in place of asking. */
  onlyEntry?: string
  /** The longest wait for the first byte and between two pieces of a body, in ms. */
  timeoutMs?: number
}

function describeFailure (cause: unknown): { code: string, message: string } {
  const { code = 'unknown', message = String(cause) } = cause as { code?: string, message?: string }
  return { code, message }
}

/** Error codes of undici and the sockets that prove that nothing was sent. */
const UNSENT_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

interface SentAnswer { attempt: Attempt, answer?: Omit<CallerAnswer, 'attempts'> }

/** Sends one attempt to one address and reads the whole answer. */
export async function sendAttempt (agent: Agent, to: Address, prefix: string, wanted: CallerRequest): Promise<SentAnswer> {
  try {
    const response = await request(`http://${to.address}:${to.port}${prefix}${wanted.path}`, {
      dispatcher: agent,
      method: wanted.method as 'GET',
      headers: wanted.headers,
      body: wanted.body
    })
    const digest = createHash('sha256')
    let bytes = 0
    let text = ''
    for await (const piece of response.body) {
      const data = piece as Buffer
      if (bytes < SHOWN_BODY_BYTES) text += data.toString('utf8', 0, SHOWN_BODY_BYTES - bytes)
      bytes += data.length
      digest.update(data)
    }
    const fate = response.headers['x-medlarcove-fate'] as ExecutionStatus | undefined
    const version = Number(response.headers['x-medlarcove-version']) || undefined
    const status = response.statusCode
    return { attempt: { kind: 'answered', status, fate, version }, answer: { status, fate, headers: response.headers, text, bytes, sha256: digest.digest('hex') } }
  } catch (cause) {
    const { code, message } = describeFailure(cause)
    return { attempt: { kind: UNSENT_CODES.includes(code) ? 'refused' : 'broken', reason: `${code}: ${message}` } }
  }
}

/** Creates a caller. */
export function createCaller (options: CallerOptions): Caller {
  const { customer, entries, id } = options
  const agent = new Agent({ headersTimeout: options.timeoutMs, bodyTimeout: options.timeoutMs, connect: { timeout: options.timeoutMs } })
  let known: Address[] = []
  let knownUntilMs = 0
  let asked = 0

  const fetchAddresses = async (): Promise<void> => {
    const query = new URLSearchParams({ customer, caller: id, ...(options.zone ? { zone: options.zone } : {}) })
    for (let tries = 0; tries < entries.length; tries++) {
      const entry = entries[asked % entries.length]
      if (!entry) return
      const to = { address: entry.address, port: entry.callerPort }
      const { answer } = await sendAttempt(agent, to, '/.medlarcove', { service: '', method: 'GET', path: `/addresses?${query}` })
      if (answer?.status === SUCCESS) {
        const { addresses, lifetimeMs } = JSON.parse(answer.text) as { addresses: Address[], lifetimeMs: number }
        known = addresses
        knownUntilMs = performance.now() + lifetimeMs
        return
      }
      asked += 1
    }
  }
  const listAddresses = async (): Promise<Address[]> => {
    const only = entries.find((entry) => entry.id === options.onlyEntry)
    if (only) return [{ address: only.address, port: only.callerPort }]
    if (performance.now() >= knownUntilMs) await fetchAddresses()
    return known
  }
  const send = async (wanted: CallerRequest): Promise<CallerAnswer> => {
    const addresses = await listAddresses()
    const attempts: Attempt[] = []
    let last: Omit<CallerAnswer, 'attempts'> | undefined
    for (const to of addresses.slice(0, LARGEST_ATTEMPTS)) {
      const { attempt, answer } = await sendAttempt(agent, to, `/${customer}/${wanted.service}`, wanted)
      attempts.push(attempt)
      last = answer
      if (attempt.kind === 'answered') break
    }
    return { status: undefined, fate: undefined, headers: {}, text: '', bytes: 0, sha256: '', ...last, attempts }
  }
  return { id, listAddresses, send, close: () => agent.destroy() }
}
