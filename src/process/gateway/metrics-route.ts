/**
 * The HTTP route of a gateway's metrics.
 */
import type { RequestListener } from 'node:http'
import { getRequestListener } from '@hono/node-server'
import { Hono } from 'hono'

/** Creates the listener that serves `GET /metrics`. */
export function createMetricsRoute (renderMetrics: () => Promise<{ contentType: string, text: string }>): RequestListener {
  const app = new Hono()
  app.get('/metrics', async (context) => {
    const { contentType, text } = await renderMetrics()
    return context.body(text, 200, { 'content-type': contentType })
  })
  return getRequestListener(app.fetch)
}
