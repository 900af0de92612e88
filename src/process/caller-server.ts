/**
 * The HTTP server for callers. It serves address requests itself and passes all other requests on to the request service.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { getRequestListener } from '@hono/node-server'
import { Hono } from 'hono'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.ts'
import { createLingeringCloses, MAX_LINGER_MS } from '../connection/lingering-close.ts'
import type { LingeringCloses } from '../connection/lingering-close.ts'
import { startListening } from '../connection/start-listening.ts'
import { createError, getErrorResponse } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { buildErrorResponse } from '../request/error-response.ts'
import { toBrand } from '../types.ts'
import type { CustomerId, ZoneId } from '../types.ts'
import type { ContractState } from './contracts/contract-state.ts'
import type { PartLogger } from './logger.ts'
import { orderAddresses } from './membership/address-order.ts'
import type { PeerMesh } from './membership/peer-mesh.ts'
import type { RequestService } from './request-service.ts'
import type { Settings } from './settings.ts'

/** Paths below this prefix are handled by the entry itself. */
const OWN_PREFIX = '/.medlarcove/'
const HEADER_OVERFLOW_STATUS = 431
const LINGER_CHECK_MS = 50

/** Options of the server for callers. */
export interface CallerServerOptions {
  settings: Settings
  clock: Clock
  contracts: ContractState
  mesh: PeerMesh
  requests: RequestService
  log: PartLogger
}

/** The HTTP server for callers. */
export interface CallerServer {
  /** Starts listening. Errors: `settings-invalid` when the address cannot be used. */
  start(): Promise<Result<void, AppError>>
  /** Sends `connection: close` on every response from now on, so that callers close their connections. */
  closeAfterResponses(): void
  /** Lets callers take their last responses, stops listening and closes idle connections; resolves when all connections are closed. */
  close(): Promise<void>
  /** Returns the number of open connections. */
  countConnections(): Promise<number>
}

function createOwnPaths (options: CallerServerOptions): Hono {
  const app = new Hono()
  app.get(`${OWN_PREFIX}addresses`, (context) => {
    const { customer, caller, zone } = context.req.query()
    if (!customer) return sendOwnError(createError('malformed-request', 'The query has no customer; add ?customer=...'))
    const contract = options.contracts.getContract(toBrand<CustomerId>(customer))
    if (contract.isErr()) return sendOwnError(contract.error)
    const ordered = orderAddresses({
      entries: options.mesh.listPeers(),
      callerZone: zone ? toBrand<ZoneId>(zone) : options.settings.entry.zone,
      callerId: caller ?? '',
      lifetimeMs: contract.value.entries.addressLifetimeMs
    })
    return context.json({ ...ordered, version: contract.value.version })
  })
  app.notFound(() => sendOwnError(createError('unknown-operation', 'No such path; try /.medlarcove/addresses?customer=...')))
  return app
}

function sendOwnError (error: ReturnType<typeof createError>): Response {
  const { status, headers, body } = buildErrorResponse(error)
  return new Response(Buffer.from(body), { status, headers })
}

/** Responds to a request that cannot be parsed, then closes the connection. */
function rejectMalformed (cause: NodeJS.ErrnoException, socket: Duplex, closes: LingeringCloses): void {
  if (!socket.writable || cause.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const isTimeout = cause.code === 'ERR_HTTP_REQUEST_TIMEOUT'
  const kind = isTimeout ? 'request-timeout' : 'malformed-request'
  const { headers, body } = buildErrorResponse(createError(kind, 'The request is not valid HTTP, exceeds a limit or was not complete in time.'))
  const status = cause.code === 'HPE_HEADER_OVERFLOW' ? HEADER_OVERFLOW_STATUS : getErrorResponse(kind).status
  const lines = Object.entries({ ...headers, connection: 'close', 'content-length': String(body.byteLength) })
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')
  closes.close(socket, Buffer.concat([Buffer.from(`HTTP/1.1 ${status} Refused\r\n${head}\r\n`), body]))
}

/** Resolves when no connection waits for its caller to close it, but after `MAX_LINGER_MS` at the latest. */
async function waitForCloses (closes: LingeringCloses, clock: Clock): Promise<void> {
  const latestEndAtMs = clock.monotonicMs() + MAX_LINGER_MS
  while (closes.count() > 0 && clock.monotonicMs() < latestEndAtMs) await clock.wait(LINGER_CHECK_MS)
}

/** Creates the server for callers. */
export function createCallerServer (options: CallerServerOptions): CallerServer {
  const { settings, clock, requests, log } = options
  const closes = createLingeringCloses({ clock })
  const ownListener = getRequestListener(createOwnPaths(options).fetch)
  let isClosing = false

  const handle = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    if (isClosing) outgoing.setHeader('connection', 'close')
    if (incoming.url?.startsWith(OWN_PREFIX)) await ownListener(incoming, outgoing)
    else await requests.handleRequest(incoming, outgoing)
  }
  const server = createServer({
    maxHeaderSize: settings.callers.largestHeaderBytes,
    headersTimeout: settings.callers.headerTimeoutMs,
    requestTimeout: 0,
    keepAliveTimeout: settings.keepAliveMs,
    noDelay: true
  }, (incoming, outgoing) => { handle(incoming, outgoing).catch(() => outgoing.destroy()) })
  server.maxConnections = settings.callers.largestConnections
  server.on('connection', closes.watch)
  server.on('timeout', (socket) => closes.close(socket))
  server.on('clientError', (cause, socket) => rejectMalformed(cause, socket, closes))

  return {
    start: () => startListening(server, { address: settings.entry.address, port: settings.entry.callerPort, handleFault: (message) => log.warn(message) }),
    closeAfterResponses () { isClosing = true },
    async close () {
      // The HTTP server would take these connections for idle ones.
      await waitForCloses(closes, clock)
      await new Promise<void>((resolve) => { server.close(() => resolve()) })
    },
    countConnections: () => new Promise((resolve) => { server.getConnections((_, count) => resolve(count)) })
  }
}
