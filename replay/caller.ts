/**
 * A caller: fetches addresses from an entry, uses them for their lifetime and sends its requests to them.
 */
import { createHash } from 'node:crypto'
import { Agent, request } from 'undici'
import type { ExecutionStatus } from '../src/types.ts'
import type { EntryHost } from './deployment.ts'

const MAX_ATTEMPTS = 3
const STATUS_OK = 200
const MAX_TEXT_BYTES = 4_096

/** One request of a caller. */
export interface CallerRequest {
  service: string
  method: string
  /** Path below the service, with the query. */
  path: string
  headers?: Record<string, string>
  body?: string
}

/** One attempt of a request, as the caller saw it. Its fields are written to the report in the text of a fault. */
export type Attempt =
  /** No connection was established, so nothing was sent. */
  | { kind: 'refused', reason: string }
  /** The attempt failed after the request may have been sent: the response is missing or truncated. */
  | { kind: 'broken', reason: string }
  /** A complete response arrived; `fate` is the execution status that it states. */
  | { kind: 'answered', status: number, fate: ExecutionStatus | undefined, version: number | undefined }

/** The result of a request after all its attempts. */
export interface CallerResponse {
  attempts: Attempt[]
  /** Status code of the last attempt; undefined when that got no complete response. */
  status: number | undefined
  /** Execution status that the response states. */
  executionStatus: ExecutionStatus | undefined
  headers: Record<string, string | string[] | undefined>
  /** The first 4096 bytes of the body, decoded as UTF-8. */
  text: string
  /** Size of the complete body in bytes. */
  bytes: number
  /** SHA-256 digest of the complete body, in hexadecimal digits. */
  sha256: string
}

/** The address and port that requests are sent to. */
export interface Address { address: string, port: number }

/** Sends the requests of one caller. */
export interface Caller {
  id: string
  /** Returns the addresses to use, fetched again from an entry when their lifetime is over. */
  listAddresses(): Promise<Address[]>
  /** Sends a request; tries up to three addresses, the next one when a connection fails. */
  send(request: CallerRequest): Promise<CallerResponse>
  close(): Promise<void>
}

/** Options of `createCaller`. */
export interface CallerOptions {
  id: string
  customer: string
  entries: readonly EntryHost[]
  /** The zone that the caller states to the entries. */
  zone?: string
  /** The only entry to use; addresses are not fetched then. */
  onlyEntry?: string
  /** Longest wait for a connection, for the response headers and between two chunks of a body, in ms. */
  timeoutMs?: number
}

function describeFailure (cause: unknown): { code: string, message: string } {
  const { code = 'unknown', message = String(cause) } = cause as { code?: string, message?: string }
  return { code, message }
}

/** Error codes of undici and of sockets which prove that nothing was sent. */
const UNSENT_ERROR_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

interface AttemptResult { attempt: Attempt, response?: Omit<CallerResponse, 'attempts'> }

/** Makes one attempt of a request at one address and reads the complete response. */
export async function sendAttempt (agent: Agent, address: Address, pathPrefix: string, callerRequest: CallerRequest): Promise<AttemptResult> {
  try {
    const response = await request(`http://${address.address}:${address.port}${pathPrefix}${callerRequest.path}`, {
      dispatcher: agent,
      method: callerRequest.method as 'GET',
      headers: callerRequest.headers,
      body: callerRequest.body
    })
    const digest = createHash('sha256')
    let bytes = 0
    let text = ''
    for await (const chunk of response.body) {
      const data = chunk as Buffer
      if (bytes < MAX_TEXT_BYTES) text += data.toString('utf8', 0, MAX_TEXT_BYTES - bytes)
      bytes += data.length
      digest.update(data)
    }
    const executionStatus = response.headers['x-medlarcove-fate'] as ExecutionStatus | undefined
    const version = Number(response.headers['x-medlarcove-version']) || undefined
    const status = response.statusCode
    return { attempt: { kind: 'answered', status, fate: executionStatus, version }, response: { status, executionStatus, headers: response.headers, text, bytes, sha256: digest.digest('hex') } }
  } catch (cause) {
    const { code, message } = describeFailure(cause)
    return { attempt: { kind: UNSENT_ERROR_CODES.includes(code) ? 'refused' : 'broken', reason: `${code}: ${message}` } }
  }
}

/** Creates a caller. */
export function createCaller (options: CallerOptions): Caller {
  const { customer, entries, id } = options
  const agent = new Agent({ headersTimeout: options.timeoutMs, bodyTimeout: options.timeoutMs, connect: { timeout: options.timeoutMs } })
  let addresses: Address[] = []
  let addressesExpireAtMs = 0
  let entryIndex = 0

  const fetchAddresses = async (): Promise<void> => {
    const query = new URLSearchParams({ customer, caller: id, ...(options.zone ? { zone: options.zone } : {}) })
    for (let attemptCount = 0; attemptCount < entries.length; attemptCount++) {
      const entry = entries[entryIndex % entries.length]
      if (!entry) return
      const address = { address: entry.address, port: entry.callerPort }
      const { response } = await sendAttempt(agent, address, '/.medlarcove', { service: '', method: 'GET', path: `/addresses?${query}` })
      if (response?.status === STATUS_OK) {
        const { addresses: fetched, lifetimeMs } = JSON.parse(response.text) as { addresses: Address[], lifetimeMs: number }
        addresses = fetched
        addressesExpireAtMs = performance.now() + lifetimeMs
        return
      }
      entryIndex += 1
    }
  }
  const listAddresses = async (): Promise<Address[]> => {
    const only = entries.find((entry) => entry.id === options.onlyEntry)
    if (only) return [{ address: only.address, port: only.callerPort }]
    if (performance.now() >= addressesExpireAtMs) await fetchAddresses()
    return addresses
  }
  const send = async (callerRequest: CallerRequest): Promise<CallerResponse> => {
    const addresses = await listAddresses()
    const attempts: Attempt[] = []
    let lastResponse: Omit<CallerResponse, 'attempts'> | undefined
    for (const address of addresses.slice(0, MAX_ATTEMPTS)) {
      const { attempt, response } = await sendAttempt(agent, address, `/${customer}/${callerRequest.service}`, callerRequest)
      attempts.push(attempt)
      lastResponse = response
      if (attempt.kind === 'answered') break
    }
    return { status: undefined, executionStatus: undefined, headers: {}, text: '', bytes: 0, sha256: '', ...lastResponse, attempts }
  }
  return { id, listAddresses, send, close: () => agent.destroy() }
}
