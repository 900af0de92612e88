/**
 * The stand-in of a target on the platform, and the records that targets and the operator write to the store.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** The host name that the routes of `describeConfiguration` match. */
export const ROUTE_HOST = 'desk.example'

/** A target that reports its load and records the attempts that reach it. */
export interface PlatformTarget {
  id: string
  /** Attempt ids of the requests received, in order. */
  receivedAttempts: string[]
  /** Attempt ids of the requests whose connection closed before the response was complete. */
  abortedAttempts: string[]
  /** The value of the load header of each response. */
  load: string
  /** Further headers of each response: of all, of those to health probes, and of those to other requests. */
  headers: Record<string, string>
  probeHeaders: Record<string, string>
  responseHeaders: Record<string, string>
  /** Responds to a request other than a health probe. */
  handleRequest: RequestListener
  server: Server
  port: number
}

/** Sends a complete response as a target does, with the attempt id, the signature and the load report. */
export function sendCompleteResponse (target: PlatformTarget, incoming: IncomingMessage, outgoing: ServerResponse, text = 'whole'): void {
  outgoing.writeHead(200, {
    'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'],
    'medlarcove-response-signature': target.id,
    'medlarcove-upstream-load': target.load,
    ...target.headers,
    ...target.responseHeaders
  }).end(text)
}

/** Starts a target on a free port; `handleRequest` responds to its requests, by default with `sendCompleteResponse`. */
export async function startPlatformTarget (id: string, handleRequest?: (target: PlatformTarget, incoming: IncomingMessage, outgoing: ServerResponse) => void): Promise<PlatformTarget> {
  const target: PlatformTarget = { id, receivedAttempts: [], abortedAttempts: [], load: '0,0,4,100', headers: {}, probeHeaders: {}, responseHeaders: {}, handleRequest: () => undefined, server: createServer(), port: 0 }
  target.handleRequest = (incoming, outgoing) => handleRequest ? handleRequest(target, incoming, outgoing) : sendCompleteResponse(target, incoming, outgoing)
  target.server.on('request', (incoming: IncomingMessage, outgoing: ServerResponse) => {
    if (incoming.url === '/health') {
      outgoing.writeHead(200, { 'medlarcove-instance-id': id, 'medlarcove-upstream-load': target.load, ...target.headers, ...target.probeHeaders }).end()
      return
    }
    const attempt = String(incoming.headers['medlarcove-attempt-id'])
    target.receivedAttempts.push(attempt)
    outgoing.on('close', () => { if (!outgoing.writableFinished) target.abortedAttempts.push(attempt) })
    target.handleRequest(incoming, outgoing)
  })
  await new Promise<void>((resolve) => { target.server.listen(0, '127.0.0.1', resolve) })
  target.port = (target.server.address() as AddressInfo).port
  return target
}

/** Returns the record that a target writes about itself to the store. */
export function describeTarget (target: Pick<PlatformTarget, 'port'>, changes: { state?: string, service?: string, zone?: string, sequence?: number, born?: number, warmupLeft?: string } = {}) {
  const { state = 'ready', service = 'desk', zone = 'kyu-a', sequence = 1, born = 1, warmupLeft = '0ms' } = changes
  return {
    address: `127.0.0.1:${target.port}`,
    born,
    info: { service, version: 'v1', zone, slots: 4 },
    status: { state, sequence, warmupLeft }
  }
}

/** A customer in a configuration; without a rate it has no quota. */
export interface DescribedCustomer { name: string, keys: string[], priority?: number, ratePerSecond?: number, burst?: number }

/** Changes of the configuration that `describeConfiguration` returns. */
export interface ConfigurationChanges {
  timeout?: string
  service?: string
  extraRoutes?: unknown[][]
  /** How long targets stay cold, and the requests per second that they bear meanwhile. */
  warmUp?: { duration: string, perSecond: number }
  /** Without customers, requests need no key. */
  customers?: DescribedCustomer[]
  /** Kinds whose routes need no key. */
  anonymousKinds?: string[]
}

function describeCustomers (customers: readonly DescribedCustomer[]) {
  const rows = customers.map(({ name, keys, priority = null, ratePerSecond = null, burst = null }) => [name, keys, priority, ratePerSecond, burst])
  return { columns: ['name', 'apiKeys', 'priority', 'ratePerS', 'burst'], rows }
}

/** Returns a configuration with one route of each kind: /safe/, /unsafe/, /download/ and /upload/. */
export function describeConfiguration (version: number, changes: ConfigurationChanges = {}) {
  const { timeout = '1500ms', service = 'desk', extraRoutes = [], warmUp, customers, anonymousKinds = [] } = changes
  const rows = ['safe', 'unsafe', 'download', 'upload'].map((kind) => [kind, ROUTE_HOST, `/${kind}/`, kind, timeout, '600ms', 1, null, 2, service, anonymousKinds.includes(kind)])
  return {
    version,
    routes: { columns: ['name', 'host', 'pathPrefix', 'kind', 'timeout', 'targetLatency', 'priority', 'split', 'maxAttempts', 'service', 'allowAnonymous'], rows: [...rows, ...extraRoutes] },
    services: { columns: ['name', 'healthPath', 'maxConnections', 'protocol', 'tls', 'warmup', 'warmupPerS'], rows: [[service, '/health', 260, 'h1', false, warmUp?.duration ?? null, warmUp?.perSecond ?? null]] },
    ...(customers ? { tenants: describeCustomers(customers) } : {}),
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 1000000, headerTimeout: '3000ms', idleTimeout: '15000ms' }
  }
}
