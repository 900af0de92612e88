/**
 * The HTTP listeners of a gateway: requests of callers, readiness checks, address lookups of callers, and metrics.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { LingeringCloses } from '../../connection/lingering-close.ts'
import { startListening } from '../../connection/start-listening.ts'
import { describeCause } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { BootSettings } from '../../platform/boot-file.ts'
import { formatAddresses, getCallerZone } from '../../platform/wire-names.ts'
import type { ZoneId } from '../../types.ts'
import type { ExplainedRequest, RequestExplanation } from './explain-request.ts'

/** Options of `createGatewayServers`. */
export interface GatewayServersOptions {
  settings: BootSettings
  handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): void
  /** Called when the bytes of a caller cannot be read as a request, or when its connection has failed. */
  handleClientError(error: Error, socket: Duplex): void
  /** Closes the connections of callers after their last response, and those that are idle for too long. */
  closes: Pick<LingeringCloses, 'watch' | 'close'>
  isReady(): boolean
  /** Lists the addresses that callers may use, as `address:port`. */
  listAddresses(callerZone: ZoneId | undefined): readonly string[]
  /** How long callers may cache the list, in ms. */
  addressLifetimeMs: number
  renderMetrics(): Promise<{ contentType: string, text: string }>
  /** Explains where a request would go now, for operators. */
  explainRequest(request: ExplainedRequest): Promise<RequestExplanation>
  metricsPort: number
  /** Called with the message of an error of a listener after its start. */
  handleFault(message: string): void
}

/** Port of `/metrics`; the deploy file has the same port. */
export const METRICS_PORT = 9464

/** The listeners. */
export interface GatewayServers {
  /** Starts to listen. Errors: `settings-invalid` when an address cannot be used. */
  start(): Promise<Result<void, AppError>>
  /** Starts to serve metrics. Errors: `settings-invalid` when the port is in use; the other listeners are unaffected. */
  startMetrics(): Promise<Result<void, AppError>>
  /** Sets how long an idle connection of a caller is kept, in ms. */
  setIdleTimeout(idleTimeoutMs: number): void
  /** Closes all listeners and their connections. */
  close(): void
}

const STATUS_OK = 200
const STATUS_NOT_FOUND = 404
const STATUS_METHOD_NOT_ALLOWED = 405
const STATUS_UNAVAILABLE = 503
const MAX_HEADER_BYTES = 65_536
const DEFAULT_IDLE_TIMEOUT_MS = 15_000
/** Added to the idle timeout of the configuration, so that a caller's request does not meet a closing connection, in ms. */
const IDLE_MARGIN_MS = 2_000
/** Maximum number of connections that wait to be accepted. */
const BACKLOG = 1_024

function sendJson (outgoing: ServerResponse, status: number, body: unknown): void {
  outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function sendAddresses (options: GatewayServersOptions, query: string | undefined, outgoing: ServerResponse): void {
  const addresses = options.listAddresses(getCallerZone(query ?? ''))
  if (addresses.length === 0) sendJson(outgoing, STATUS_UNAVAILABLE, { error: 'no entry takes requests at present' })
  else sendJson(outgoing, STATUS_OK, formatAddresses(addresses, options.addressLifetimeMs))
}

/** Handles readiness checks and address lookups. The HTTP framework is left out here, because loading it delays a start. */
function handleOwnRequest (options: GatewayServersOptions, incoming: IncomingMessage, outgoing: ServerResponse): void {
  const [path, query] = (incoming.url ?? '/').split('?', 2)
  if (incoming.method !== 'GET' && incoming.method !== 'HEAD') sendJson(outgoing, STATUS_METHOD_NOT_ALLOWED, { error: 'use GET' })
  else if (path === '/ready') outgoing.writeHead(options.isReady() ? STATUS_OK : STATUS_UNAVAILABLE).end()
  else if (path === '/resolve') sendAddresses(options, query, outgoing)
  else sendJson(outgoing, STATUS_NOT_FOUND, { error: 'the paths here are /ready and /resolve' })
}

/** Handles requests for metrics; the HTTP framework is loaded with the first one. */
function createMetricsListener (options: GatewayServersOptions): RequestListener {
  let loading: Promise<RequestListener> | undefined
  return (incoming, outgoing) => {
    loading ??= import('./metrics-route.ts').then(({ createMetricsRoute }) => createMetricsRoute(options))
    loading.then((handleRequest) => handleRequest(incoming, outgoing)).catch((cause: unknown) => {
      options.handleFault(`Metrics cannot be served: ${describeCause(cause)}`)
      outgoing.destroy()
    })
  }
}

/** Creates the listeners; nothing listens before `start`. */
export function createGatewayServers (options: GatewayServersOptions): GatewayServers {
  const { settings, handleFault } = options
  const front = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true }, options.handleRequest)
  front.on('connection', options.closes.watch)
  front.on('timeout', (socket) => options.closes.close(socket))
  front.on('clientError', options.handleClientError)
  front.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS
  const handleOwn: RequestListener = (incoming, outgoing) => handleOwnRequest(options, incoming, outgoing)
  const ownServers = [settings.listen.ready, settings.listen.directory].map((endpoint) => ({ endpoint, server: createServer(handleOwn) }))
  const metrics = createServer(createMetricsListener(options))
  return {
    async start () {
      for (const { endpoint, server } of [...ownServers, { endpoint: settings.listen.front, server: front }]) {
        const listening = await startListening(server, { ...endpoint, backlog: BACKLOG, handleFault })
        if (listening.isErr()) return listening
      }
      return ok(undefined)
    },
    startMetrics: () => startListening(metrics, { address: settings.address, port: options.metricsPort, handleFault }),
    setIdleTimeout (idleTimeoutMs) { front.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS },
    close () {
      for (const server of [front, metrics, ...ownServers.map((each) => each.server)]) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}
