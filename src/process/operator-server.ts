/**
 * The HTTP server for operators: `/status`, `/metrics` and `/health`.
 */
import { serve } from '@hono/node-server'
import type { ServerType } from '@hono/node-server'
import { Hono } from 'hono'
import type { Metrics } from './metrics.ts'

/** Options of the server for operators. */
export interface OperatorServerOptions {
  address: string
  port: number
  metrics: Metrics
  /** Returns the content of the status page. */
  readStatus(): Promise<object>
}

/** The HTTP server for operators. */
export interface OperatorServer { close(): Promise<void> }

/** Starts the server. Rejects when the address cannot be used. */
export function startOperatorServer (options: OperatorServerOptions): Promise<OperatorServer> {
  const app = new Hono()
  app.get('/health', (context) => context.json({ state: 'ready' }))
  app.get('/status', async (context) => context.json(await options.readStatus()))
  app.get('/metrics', async (context) => {
    const { contentType, text } = await options.metrics.renderText()
    return context.body(text, 200, { 'content-type': contentType })
  })
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, hostname: options.address, port: options.port })
    server.once('error', reject)
    server.once('listening', () => resolve({
      close: () => closeServer(server)
    }))
  })
}

function closeServer (server: ServerType): Promise<void> {
  return new Promise((resolve) => { server.close(() => resolve()) })
}
