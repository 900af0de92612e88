/**
 * Reads the platform's host list over HTTP.
 */
import { err, ok } from 'neverthrow'
import { request } from 'undici'
import { z } from 'zod'
import { createError, describeCause } from '../errors.ts'
import type { HostListClient, ListedHost } from './host-list-client.ts'
import { MAX_PORT } from '../unicast-address.ts'

/** Options of the client. */
export interface HostListHttpOptions {
  /** The base URL of the host list, such as `http://10.0.0.1:8080`. */
  baseUrl: string
  /** The time limit of one read, in ms. Default 2,000. */
  timeoutMs?: number
}

const DEFAULT_TIMEOUT_MS = 2_000
const HTTP_OK = 200

const port = z.number().int().min(0).max(MAX_PORT)
const hostSchema = z.object({
  id: z.string().min(1),
  role: z.enum(['entry', 'target']),
  address: z.ipv4(),
  port,
  peerPort: port.optional(),
  zone: z.string().min(1),
  state: z.enum(['live', 'leaving'])
})
const listSchema = z.object({ hosts: z.array(hostSchema) })

/** Creates a client of the host list. It does not retry. Errors: `host-list-unavailable` for every failure. */
export function createHostListHttpClient (options: HostListHttpOptions): HostListClient {
  const url = new URL('/hosts', options.baseUrl)
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  const fetchList = async (): Promise<unknown> => {
    const response = await request(url, { signal: AbortSignal.timeout(timeoutMs), headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
    const body = await response.body.text()
    if (response.statusCode !== HTTP_OK) throw new Error(`the host list responded with status ${response.statusCode}`)
    return JSON.parse(body)
  }
  return {
    async readHosts () {
      try {
        const parsed = listSchema.safeParse(await fetchList())
        if (!parsed.success) return err(createError('host-list-unavailable', 'the response of the host list does not have the expected fields', parsed.error))
        return ok(parsed.data.hosts as ListedHost[])
      } catch (cause) {
        return err(createError('host-list-unavailable', describeCause(cause), cause))
      }
    }
  }
}
