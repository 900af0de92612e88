/**
 * The log stand-in over HTTP: streams of records, with faults that a test switches on.
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
const LONGEST_WAIT_MS = 30_000
const LARGEST_RECORD_BYTES = 4_194_304
const DEFAULT_READ_LIMIT = 500
const RETENTION_CHECK_MS = 50
const SECOND_MS = 1_000

/** Where the stand-in listens. */
export interface LogServerOptions { address: string, port: number, clock?: Clock }

/** A running log stand-in. */
export interface LogServer {
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
  canLose: (share: number) => boolean
  canDelay: (share: number) => boolean
  openSockets: Set<Socket>
  silentSockets: WeakSet<Socket>
}

type AnswerStatus = 200 | 201 | 410 | 413 | 503

function answerCbor (context: LogContext, value: unknown, status: AnswerStatus = 200): Response {
  return context.body(new Uint8Array(encode(value)), status, { 'content-type': CBOR })
}

/** Leaves a request without an answer for ever. */
function answerNothing (): Promise<Response> {
  return new Promise(() => {})
}

function answerReset (context: LogContext): Response {
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

function dropAged ({ store, clock, faults }: LogState): void {
  if (faults.retentionMs > 0) store.dropOlderThan(clock.wallMs() - faults.retentionMs)
}

function dropExcess ({ store, faults }: LogState, stream: StreamName): void {
  const { next } = store.readBounds(stream)
  if (faults.retentionCount > 0) store.dropBefore(stream, toBrand<Offset>(Math.max(0, next - faults.retentionCount)))
}

/** Counts an append; false when this second's appends are used up. */
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

function canLoseAnswer (state: LogState): boolean {
  if (state.faults.loseNextAnswers > 0) {
    state.faults.loseNextAnswers -= 1
    return true
  }
  return state.canLose(state.faults.loseAnswersShare)
}

async function appendRecord (state: LogState, context: LogContext): Promise<Response> {
  const data = new Uint8Array(await context.req.arrayBuffer())
  if (data.length > LARGEST_RECORD_BYTES) return answerCbor(context, { taken: false }, 413)
  if (!tryCountAppend(state)) return answerCbor(context, { taken: false }, 503)
  const { delayAppendsMs, delayAppendsShare } = state.faults
  if (delayAppendsMs > 0 && state.canDelay(delayAppendsShare)) await state.clock.wait(delayAppendsMs)
  const stream = getStream(context)
  const offset = state.store.appendRecord(stream, data)
  dropExcess(state, stream)
  if (canLoseAnswer(state)) return answerReset(context)
  if (state.faults.slowMs > 0) await state.clock.wait(state.faults.slowMs)
  return answerCbor(context, { offset }, 201)
}

async function answerRecords (state: LogState, context: LogContext): Promise<Response> {
  const { store, counts, faults, clock } = state
  counts.reads += 1
  const stream = getStream(context)
  const from = toBrand<Offset>(parseNumber(context.req.query('from'), 0))
  const limit = parseNumber(context.req.query('limit'), DEFAULT_READ_LIMIT)
  const waitMs = Math.min(parseNumber(context.req.query('waitMs'), 0), LONGEST_WAIT_MS)
  if (waitMs > 0 && store.readBounds(stream).next <= from) await waitForAppend(state, stream, waitMs)
  if (faults.slowMs > 0) await clock.wait(faults.slowMs)
  const page = store.readRecords(stream, from, limit)
  return page ? answerCbor(context, page) : answerCbor(context, { bounds: store.readBounds(stream) }, 410)
}

async function applyControl (state: LogState, context: LogContext): Promise<Response> {
  const checked = controlSchema.safeParse(await context.req.json().catch(() => undefined))
  if (!checked.success) return context.json({ error: checked.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`) }, 400)
  const { dropBefore, silenceConnections, ...faults } = checked.data
  Object.assign(state.faults, faults)
  if (dropBefore) state.store.dropBefore(toBrand<StreamName>(dropBefore.stream), toBrand<Offset>(dropBefore.offset))
  if (silenceConnections) for (const socket of state.openSockets) state.silentSockets.add(socket)
  dropAged(state)
  return context.json(state.faults)
}

function createApp (state: LogState): Hono<{ Bindings: Bindings }> {
  const app = new Hono<{ Bindings: Bindings }>()
  app.post('/control', (context) => applyControl(state, context))
  app.get('/control', (context) => context.json({ ...state.faults, counts: state.counts }))
  app.use('/streams/*', async (context, next) => {
    if (state.silentSockets.has(context.env.incoming.socket)) return answerNothing()
    switch (state.faults.outage) {
      case 'none': return next()
      case 'refuse': return answerCbor(context, { taken: false }, 503)
      case 'hang': return answerNothing()
      case 'reset': return answerReset(context)
    }
  })
  app.post('/streams/:name/records', (context) => appendRecord(state, context))
  app.get('/streams/:name/records', (context) => answerRecords(state, context))
  app.get('/streams/:name', async (context) => {
    if (state.faults.slowMs > 0) await state.clock.wait(state.faults.slowMs)
    return answerCbor(context, state.store.readBounds(getStream(context)))
  })
  return app
}

function createState (clock: Clock): LogState {
  return {
    store: createLogStore(() => clock.wallMs()),
    clock,
    faults: { ...NO_FAULTS },
    counts: { appends: 0, reads: 0, appendsThisSecond: 0, second: 0 },
    canLose: createShareChooser(),
    canDelay: createShareChooser(),
    openSockets: new Set(),
    silentSockets: new WeakSet()
  }
}

/** Starts the stand-in; resolves when it listens. */
export function startLogServer (options: LogServerOptions): Promise<LogServer> {
  const state = createState(options.clock ?? createHostClock())
  const retention = setInterval(() => dropAged(state), RETENTION_CHECK_MS)
  retention.unref()
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: createApp(state).fetch, hostname: options.address, port: options.port }, ({ port }) => {
      resolve({
        store: state.store,
        url: `http://${options.address}:${port}`,
        close: () => new Promise((resolve) => {
          clearInterval(retention)
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
