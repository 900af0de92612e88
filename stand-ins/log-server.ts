/**
 * The log stand-in over HTTP: streams of records, and the faults that `POST /control` switches on.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { serve } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { encode } from 'cbor-x'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { createHostClock } from '../src/clock.ts'
import type { Clock } from '../src/clock.ts'
import { toBrand } from '../src/types.ts'
import type { Offset, StreamName } from '../src/types.ts'
import { NO_FAULTS, controlSchema, createShareChooser } from './log-faults.ts'
import type { LogFaults } from './log-faults.ts'
import { createLogStore } from './log-store.ts'
import type { LogStore } from './log-store.ts'

const CBOR = 'application/cbor'
const MAX_WAIT_MS = 30_000
const MAX_RECORD_BYTES = 4_194_304
const DEFAULT_READ_LIMIT = 500
const RETENTION_CHECK_MS = 50
const SECOND_MS = 1_000

/** Where the stand-in listens, and its clock. */
export interface LogServerOptions { address: string, port: number, clock?: Clock }

/** A running log stand-in. */
export interface LogServer {
  /** The records, for direct access bypassing all faults. */
  store: LogStore
  url: string
  close(): Promise<void>
}

interface Bindings { incoming: IncomingMessage, outgoing: ServerResponse }
type LogContext = Context<{ Bindings: Bindings }>

interface LogState {
  store: LogStore
  clock: Clock
  faults: LogFaults
  counts: { appends: number, reads: number, appendsThisSecond: number, second: number }
  chooseLost: (share: number) => boolean
  chooseDelayed: (share: number) => boolean
  openSockets: Set<Socket>
  silentSockets: WeakSet<Socket>
}

type ResponseStatus = 200 | 201 | 410 | 413 | 503

function createCborResponse (context: LogContext, value: unknown, status: ResponseStatus = 200): Response {
  return context.body(new Uint8Array(encode(value)), status, { 'content-type': CBOR })
}

/** Leaves a request without a response. */
function waitForever (): Promise<Response> {
  return new Promise(() => {})
}

function resetConnection (context: LogContext): Response {
  context.env.incoming.socket.resetAndDestroy()
  return RESPONSE_ALREADY_SENT
}

function waitForAppend (state: LogState, stream: StreamName, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const cancel = state.clock.startTimer(waitMs, resolve)
    state.store.watchNextAppend(stream, () => {
      cancel()
      resolve()
    })
  })
}

function parseNumber (text: string | undefined, fallback: number): number {
  const value = Number(text ?? fallback)
  return Number.isSafeInteger(value) && value >= 0 ? value : fallback
}

function getStream (context: LogContext): StreamName {
  return toBrand<StreamName>(context.req.param('name') ?? '')
}

function dropExpired ({ store, clock, faults }: LogState): void {
  if (faults.retentionMs > 0) store.dropOlderThan(clock.wallMs() - faults.retentionMs)
}

function dropExcess ({ store, faults }: LogState, stream: StreamName): void {
  const { next } = store.readBounds(stream)
  if (faults.retentionCount > 0) store.dropBefore(stream, toBrand<Offset>(Math.max(0, next - faults.retentionCount)))
}

/** Counts an append; returns false when the limit of appends per second is reached. */
function tryCountAppend ({ counts, clock, faults }: LogState): boolean {
  const second = Math.floor(clock.monotonicMs() / SECOND_MS)
  if (second !== counts.second) {
    counts.second = second
    counts.appendsThisSecond = 0
  }
  if (faults.largestAppendsPerSecond > 0 && counts.appendsThisSecond >= faults.largestAppendsPerSecond) return false
  counts.appendsThisSecond += 1
  counts.appends += 1
  return true
}

/** Returns whether the response to this append is lost; uses up one of `loseNextAnswers`. */
function takeLostResponse (state: LogState): boolean {
  if (state.faults.loseNextAnswers > 0) {
    state.faults.loseNextAnswers -= 1
    return true
  }
  return state.chooseLost(state.faults.loseAnswersShare)
}

async function handleAppend (state: LogState, context: LogContext): Promise<Response> {
  const data = new Uint8Array(await context.req.arrayBuffer())
  if (data.length > MAX_RECORD_BYTES) return createCborResponse(context, { taken: false }, 413)
  if (!tryCountAppend(state)) return createCborResponse(context, { taken: false }, 503)
  const { delayAppendsMs, delayAppendsShare } = state.faults
  if (delayAppendsMs > 0 && state.chooseDelayed(delayAppendsShare)) await state.clock.wait(delayAppendsMs)
  const stream = getStream(context)
  const offset = state.store.appendRecord(stream, data)
  dropExcess(state, stream)
  if (takeLostResponse(state)) return resetConnection(context)
  if (state.faults.slowMs > 0) await state.clock.wait(state.faults.slowMs)
  return createCborResponse(context, { offset }, 201)
}

async function handleRead (state: LogState, context: LogContext): Promise<Response> {
  const { store, counts, faults, clock } = state
  counts.reads += 1
  const stream = getStream(context)
  const from = toBrand<Offset>(parseNumber(context.req.query('from'), 0))
  const limit = parseNumber(context.req.query('limit'), DEFAULT_READ_LIMIT)
  const waitMs = Math.min(parseNumber(context.req.query('waitMs'), 0), MAX_WAIT_MS)
  if (waitMs > 0 && store.readBounds(stream).next <= from) await waitForAppend(state, stream, waitMs)
  if (faults.slowMs > 0) await clock.wait(faults.slowMs)
  const page = store.readRecords(stream, from, limit)
  return page ? createCborResponse(context, page) : createCborResponse(context, { bounds: store.readBounds(stream) }, 410)
}

async function applyControl (state: LogState, context: LogContext): Promise<Response> {
  const parsed = controlSchema.safeParse(await context.req.json().catch(() => undefined))
  if (!parsed.success) return context.json({ error: parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`) }, 400)
  const { dropBefore, silenceConnections, ...faults } = parsed.data
  Object.assign(state.faults, faults)
  if (dropBefore) state.store.dropBefore(toBrand<StreamName>(dropBefore.stream), toBrand<Offset>(dropBefore.offset))
  if (silenceConnections) for (const socket of state.openSockets) state.silentSockets.add(socket)
  dropExpired(state)
  return context.json(state.faults)
}

function createApp (state: LogState): Hono<{ Bindings: Bindings }> {
  const app = new Hono<{ Bindings: Bindings }>()
  app.post('/control', (context) => applyControl(state, context))
  app.get('/control', (context) => context.json({ ...state.faults, counts: state.counts }))
  app.use('/streams/*', async (context, next) => {
    if (state.silentSockets.has(context.env.incoming.socket)) return waitForever()
    switch (state.faults.outage) {
      case 'none': return next()
      case 'refuse': return createCborResponse(context, { taken: false }, 503)
      case 'hang': return waitForever()
      case 'reset': return resetConnection(context)
    }
  })
  app.post('/streams/:name/records', (context) => handleAppend(state, context))
  app.get('/streams/:name/records', (context) => handleRead(state, context))
  app.get('/streams/:name', async (context) => {
    if (state.faults.slowMs > 0) await state.clock.wait(state.faults.slowMs)
    return createCborResponse(context, state.store.readBounds(getStream(context)))
  })
  return app
}

function createState (clock: Clock): LogState {
  return {
    store: createLogStore(() => clock.wallMs()),
    clock,
    faults: { ...NO_FAULTS },
    counts: { appends: 0, reads: 0, appendsThisSecond: 0, second: 0 },
    chooseLost: createShareChooser(),
    chooseDelayed: createShareChooser(),
    openSockets: new Set(),
    silentSockets: new WeakSet()
  }
}

/** Starts the stand-in; resolves when it listens and rejects when it cannot listen. */
export function startLogServer (options: LogServerOptions): Promise<LogServer> {
  const state = createState(options.clock ?? createHostClock())
  const retentionTimer = setInterval(() => dropExpired(state), RETENTION_CHECK_MS)
  retentionTimer.unref()
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: createApp(state).fetch, hostname: options.address, port: options.port }, ({ port }) => {
      resolve({
        store: state.store,
        url: `http://${options.address}:${port}`,
        close: () => new Promise((resolve) => {
          clearInterval(retentionTimer)
          server.close(() => resolve())
          for (const socket of state.openSockets) socket.destroy()
        })
      })
    })
    server.on('connection', (socket: Socket) => {
      state.openSockets.add(socket)
      socket.once('close', () => state.openSockets.delete(socket))
    })
    server.once('error', reject)
  })
}
