/**
 * The HTTP routes of a gateway for operators: its metrics, and where a request would go.
 */
import type { RequestListener } from 'node:http'
import { getRequestListener } from '@hono/node-server'
import { Hono } from 'hono'
import type { ExplainedRequest, RequestExplanation } from './explain-request.ts'

/** What the routes respond with. */
export interface MetricsRouteOptions {
  renderMetrics(): Promise<{ contentType: string, text: string }>
  /** Explains where a request would go now. */
  explainRequest(request: ExplainedRequest): Promise<RequestExplanation>
}

const STATUS_BAD_REQUEST = 400

/** Creates the listener that serves `GET /metrics` and `GET /where`. */
export function createMetricsRoute ({ renderMetrics, explainRequest }: MetricsRouteOptions): RequestListener {
  const app = new Hono()
  app.get('/metrics', async (context) => {
    const { contentType, text } = await renderMetrics()
    return context.body(text, 200, { 'content-type': contentType })
  })
  app.get('/where', async (context) => {
    const { host, path, customer } = context.req.query()
    if (!host || !path) return context.json({ error: 'give host and path in the query' }, STATUS_BAD_REQUEST)
    return context.json(await explainRequest({ host, path, customer, headers: context.req.header() }))
  })
  return getRequestListener(app.fetch)
}
