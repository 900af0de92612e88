/**
 * The log stand-in over HTTP: streams of records, with faults that a test switches on.
 */
import { serve } from '@hono/node-server'
import { encode } from 'cbor-x'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { createHostClock } from '../src/clock.ts'
import type { Clock } from '../src/clock.ts'
import { toBrand } from '../src/types.ts'
import type { Offset, StreamName } from '../src/types.ts'
import { createLogStore } from './log-store.ts'
import type { LogStore } from './log-store.ts'

const CBOR = 'application/cbor'
const LONGEST_WAIT_MS = 30_000

/** Where the stand-in listens. */
export interface LogServerOptions { address: string, port: number, clock?: Clock }

/** A running log stand-in. */
export interface LogServer {
  store: LogStore
  url: string
  close(): Promise<void>
}

function answerCbor (context: Context, value: unknown, status: 200 | 201 | 410 | 503 = 200): Response {
  const body = encode(value)
  return context.body(new Uint8Array(body), status, { 'content-type': CBOR })
}

function waitForAppend (store: LogStore, clock: Clock, stream: StreamName, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const cancel = clock.startTimer(waitMs, resolve)
    store.watchNextAppend(stream, () => {
      cancel()
      resolve()
    })
  })
}

function parseNumber (text: string | undefined, fallback: number): number {
  const value = Number(text ?? fallback)
  return Number.isSafeInteger(value) && value >= 0 ? value : fallback
}

function createApp (store: LogStore, clock: Clock): Hono {
  const app = new Hono()
  const getStream = (context: Context) => toBrand<StreamName>(context.req.param('name') ?? '')
  app.post('/streams/:name/records', async (context) => {
    const data = new Uint8Array(await context.req.arrayBuffer())
    return answerCbor(context, { offset: store.appendRecord(getStream(context), data) }, 201)
  })
  app.get('/streams/:name/records', async (context) => {
    const stream = getStream(context)
    const from = toBrand<Offset>(parseNumber(context.req.query('from'), 0))
    const limit = parseNumber(context.req.query('limit'), 500)
    const waitMs = Math.min(parseNumber(context.req.query('waitMs'), 0), LONGEST_WAIT_MS)
    const isUpToDate = () => store.readBounds(stream).next <= from
    if (waitMs > 0 && isUpToDate()) await waitForAppend(store, clock, stream, waitMs)
    const page = store.readRecords(stream, from, limit)
    if (!page) return answerCbor(context, { bounds: store.readBounds(stream) }, 410)
    return answerCbor(context, page)
  })
  app.get('/streams/:name', (context) => answerCbor(context, store.readBounds(getStream(context))))
  return app
}

/** Starts the stand-in; resolves when it listens. */
export function startLogServer (options: LogServerOptions): Promise<LogServer> {
  const clock = options.clock ?? createHostClock()
  const store = createLogStore(() => clock.wallMs())
  const app = createApp(store, clock)
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, hostname: options.address, port: options.port }, (info) => {
      resolve({
        store,
        url: `http://${options.address}:${info.port}`,
        close: () => new Promise((resolve) => {
          server.close(() => resolve())
          if ('closeAllConnections' in server) server.closeAllConnections()
        })
      })
    })
    server.once('error', reject)
  })
}
