/**
 * The HTTP listeners of a gateway: requests of callers, readiness checks, address lookups of callers, and metrics.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { getRequestListener } from '@hono/node-server'
import { Hono } from 'hono'
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { startListening } from '../../connection/start-listening.ts'
import type { AppError } from '../../errors.ts'
import type { BootSettings } from '../../platform/boot-file.ts'
import { formatAddresses } from '../../platform/wire-names.ts'

/** Options of `createGatewayServers`. */
export interface GatewayServersOptions {
  settings: BootSettings
  handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): void
  isReady(): boolean
  /** Lists the addresses that callers may use, as `address:port`. */
  listAddresses(): readonly string[]
  /** How long callers may cache the list, in ms. */
  addressLifetimeMs: number
  renderMetrics(): Promise<{ contentType: string, text: string }>
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
  /** Adds `connection: close` to each response from now on. */
  closeAfterResponses(): void
  /** Sets how long an idle connection of a caller is kept, in ms. */
  setIdleTimeout(idleTimeoutMs: number): void
  /** Closes all listeners and their connections. */
  close(): void
}

const STATUS_OK = 200
const STATUS_UNAVAILABLE = 503
const MAX_HEADER_BYTES = 65_536
const DEFAULT_IDLE_TIMEOUT_MS = 15_000
/** Added to the idle timeout of the configuration, so that a caller's request does not meet a closing connection, in ms. */
const IDLE_MARGIN_MS = 2_000
/** Maximum number of connections that wait to be accepted. */
const BACKLOG = 1_024

function createOwnRoutes (options: GatewayServersOptions): Hono {
  const app = new Hono()
  app.get('/ready', (context) => context.body(null, options.isReady() ? STATUS_OK : STATUS_UNAVAILABLE))
  app.get('/resolve', (context) => {
    const addresses = options.listAddresses()
    if (addresses.length === 0) return context.json({ error: 'no entry takes requests at present' }, STATUS_UNAVAILABLE)
    return context.json(formatAddresses(addresses, options.addressLifetimeMs))
  })
  return app
}

function createMetricsRoute (options: GatewayServersOptions): Hono {
  const app = new Hono()
  app.get('/metrics', async (context) => {
    const { contentType, text } = await options.renderMetrics()
    return context.body(text, STATUS_OK, { 'content-type': contentType })
  })
  return app
}

/** Creates the listeners; nothing listens before `start`. */
export function createGatewayServers (options: GatewayServersOptions): GatewayServers {
  const { settings, handleFault } = options
  let isClosing = false
  const front = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true }, (incoming, outgoing) => {
    if (isClosing) outgoing.setHeader('connection', 'close')
    options.handleRequest(incoming, outgoing)
  })
  front.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS
  const ownListener = getRequestListener(createOwnRoutes(options).fetch)
  const ownServers = [settings.listen.ready, settings.listen.directory].map((endpoint) => ({ endpoint, server: createServer(ownListener) }))
  const metricsListener = getRequestListener(createMetricsRoute(options).fetch)
  const metrics = createServer(metricsListener)
  return {
    async start () {
      for (const { endpoint, server } of [...ownServers, { endpoint: settings.listen.front, server: front }]) {
        const listening = await startListening(server, { ...endpoint, backlog: BACKLOG, handleFault })
        if (listening.isErr()) return listening
      }
      return ok(undefined)
    },
    startMetrics: () => startListening(metrics, { address: settings.address, port: options.metricsPort, handleFault }),
    closeAfterResponses () { isClosing = true },
    setIdleTimeout (idleTimeoutMs) { front.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS },
    close () {
      for (const server of [front, metrics, ...ownServers.map((each) => each.server)]) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}
