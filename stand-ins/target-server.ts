/**
 * The HTTP server of the target stand-in: operations, downloads, health probes, faults and the ledger of runs.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { buffer, text } from 'node:stream/consumers'
import type { Clock } from '../src/clock.ts'
import { createDownloadFile, parseRange } from './target-download.ts'
import { sendChunks } from './target-chunks.ts'
import { createFaultSwitch, parseFaultPatch } from './target-faults.ts'
import type { FaultSwitch } from './target-faults.ts'
import { createRunLedger, findIdempotencyKey } from './target-runs.ts'
import type { Run, RunLedger } from './target-runs.ts'
import { createWorkSlots } from './target-slots.ts'
import type { WorkSlots } from './target-slots.ts'

/** The distribution of the work time of requests. */
export type WorkDistribution = 'constant' | 'exponential' | 'heavy-tailed'

/** Options of the target stand-in. */
export interface TargetOptions {
  id: string
  clock: Clock
  /** Number of requests processed at once. */
  slots: number
  /** Number of requests that may wait for a slot; further ones are shed. */
  queue: number
  /** Mean work time of a request, in ms. */
  workMs: number
  distribution: WorkDistribution
  /** Work time of a health probe, in ms. */
  probeMs: number
  /** Work time of a new connection, in ms. */
  connectMs: number
  /** Time after the start during which the target is cold, in ms. */
  coldMs: number
  /** Factor by which work takes longer while cold. */
  coldFactor: number
  /** Returns a number from 0 up to, but not including, 1. */
  random: () => number
}

interface SentResponse { requestId: string | undefined, body: string }

interface TargetState {
  options: TargetOptions
  slots: WorkSlots
  faults: FaultSwitch
  ledger: RunLedger
  sockets: Set<Socket>
  silenced: WeakSet<Socket>
  /** Monotonic time at which draining began, in ms; undefined while the target does not drain. */
  drainingSinceMs: number | undefined
  startedAtMs: number
  lastResponse: SentResponse
}

const DOWNLOAD_PATH = /^\/(ledgers|job-sheets)\//
const DEFAULT_DOWNLOAD_BYTES = 1_000_000
const ERROR_DELAY_MS = 1
const HEAVY_TAIL_SHAPE = 1.5

function computeWorkMs (options: TargetOptions): number {
  const { workMs, distribution, random } = options
  switch (distribution) {
    case 'constant': return workMs
    case 'exponential': return -workMs * Math.log(1 - random())
    case 'heavy-tailed': return workMs * (1 - 1 / HEAVY_TAIL_SHAPE) / (1 - random()) ** (1 / HEAVY_TAIL_SHAPE)
  }
}

/** Sets the speed of the slots and the start of draining by the faults in effect and the cold start. */
function applyFaults (state: TargetState): void {
  const { clock, coldMs, coldFactor } = state.options
  const faults = state.faults.getFaults()
  const isCold = clock.monotonicMs() - state.startedAtMs < coldMs
  state.slots.updateSpeed(1 / (faults.slowFactor * (isCold ? coldFactor : 1)))
  if (!faults.isLeaving) state.drainingSinceMs = undefined
  else state.drainingSinceMs ??= clock.monotonicMs()
}

function getHeader (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Sends a JSON response with the headers common to all responses, unless the connection has been silenced or closed. */
function sendResponse (state: TargetState, request: IncomingMessage, response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
  if (state.silenced.has(request.socket) || response.destroyed) return
  const isCrossed = status === 200 && state.faults.takeOne('crossNext')
  const own: SentResponse = { requestId: getHeader(request, 'x-request-id'), body: JSON.stringify(value) }
  const sent = isCrossed ? state.lastResponse : own
  state.lastResponse = own
  setCommonHeaders(state, response, sent.requestId)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(sent.body)), ...headers })
  if (status === 200 && state.faults.takeOne('truncateNext')) {
    response.write(sent.body.slice(0, sent.body.length / 2), () => request.socket.destroy())
    return
  }
  response.end(request.method === 'HEAD' ? undefined : sent.body)
}

function setCommonHeaders (state: TargetState, response: ServerResponse, requestId: string | undefined): void {
  const faults = state.faults.getFaults()
  response.setHeader('x-target', state.options.id)
  if (requestId !== undefined) response.setHeader('x-request-id', requestId)
  if (faults.isLeaving && faults.hasLeavingSign) response.setHeader('x-target-leaving', '1')
}

function sendShedResponse (state: TargetState, request: IncomingMessage, response: ServerResponse): void {
  state.ledger.counts.shed += 1
  sendResponse(state, request, response, 503, { error: 'shed' }, { 'x-shed': '1' })
}

/**
 * Waits for a slot and does the work. Resolves to `done`, to `dropped` when no slot was free within the maximum wait, or to
 * `cancelled` when the caller disconnected.
 */
function runWork (state: TargetState, response: ServerResponse, workMs: number, remainingMs: number | undefined, run?: Run): Promise<'done' | 'dropped' | 'cancelled'> {
  return new Promise((resolve) => {
    const cancel = state.slots.add({
      workMs,
      maxWaitMs: remainingMs,
      start () {
        if (run) state.ledger.runs.push(run)
      },
      finish () {
        if (run) run.state = 'done'
        resolve('done')
      },
      drop () {
        state.ledger.counts.droppedUnstarted += 1
        resolve('dropped')
      }
    })
    response.once('close', () => {
      if (run?.state === 'running') run.state = 'cancelled'
      cancel()
      resolve('cancelled')
    })
  })
}

/** Handles an operation: sheds it, fails it, or does the work and responds. */
async function handleOperation (state: TargetState, request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
  const { options, faults } = state
  const { shedShare, errorShare, errorsRun } = faults.getFaults()
  const body = await text(request)
  if (options.random() < shedShare || state.slots.countWaiting() >= options.queue) return sendShedResponse(state, request, response)
  const run: Run = {
    key: findIdempotencyKey(getHeader(request, 'idempotency-key'), body),
    requestId: getHeader(request, 'x-request-id'),
    operation: `${request.method} ${url.pathname}`,
    attempt: getHeader(request, 'x-medlarcove-attempt'),
    atMs: options.clock.wallMs(),
    state: 'running'
  }
  if (options.random() < errorShare) return sendFailure(state, request, response, errorsRun ? run : undefined)
  const deadlineMs = getHeader(request, 'x-medlarcove-deadline-ms')
  const remainingMs = deadlineMs === undefined ? undefined : Number(deadlineMs)
  const result = await runWork(state, response, computeWorkMs(options), remainingMs, run)
  if (result === 'dropped') return sendShedResponse(state, request, response)
  if (result === 'cancelled') return
  if (DOWNLOAD_PATH.test(url.pathname)) return sendDownload(state, request, response, url)
  sendResponse(state, request, response, 200, { target: options.id, operation: run.operation, key: run.key, requestId: run.requestId, runs: state.ledger.runs.length })
}

async function sendFailure (state: TargetState, request: IncomingMessage, response: ServerResponse, run: Run | undefined): Promise<void> {
  if (run) {
    run.state = 'done'
    state.ledger.runs.push(run)
  } else {
    state.ledger.counts.failedUnstarted += 1
  }
  await state.options.clock.wait(ERROR_DELAY_MS)
  sendResponse(state, request, response, 500, { error: 'failed' })
}

/** Sends a file or a range of it; `bytes` in the query sets the size of the file. */
async function sendDownload (state: TargetState, request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
  const file = createDownloadFile(url.pathname, Number(url.searchParams.get('bytes') ?? DEFAULT_DOWNLOAD_BYTES))
  const ifRange = getHeader(request, 'if-range')
  const requestedRange = ifRange === undefined || ifRange === file.tag ? getHeader(request, 'range') : undefined
  const range = parseRange(requestedRange, file.bytes)
  if (range === 'unsatisfiable') {
    sendResponse(state, request, response, 416, { error: 'range' }, { 'content-range': `bytes */${file.bytes}` })
    return
  }
  const { start, end } = range === 'complete' ? { start: 0, end: file.bytes } : range
  setCommonHeaders(state, response, getHeader(request, 'x-request-id'))
  const rangeHeaders = range === 'complete' ? {} : { 'content-range': `bytes ${start}-${end - 1}/${file.bytes}` }
  response.writeHead(range === 'complete' ? 200 : 206, {
    'content-type': 'application/octet-stream', 'content-length': String(end - start), etag: file.tag, 'accept-ranges': 'bytes', ...rangeHeaders
  })
  const truncateAt = state.faults.takeOne('truncateNext') ? Math.floor((start + end) / 2) : undefined
  await sendChunks({
    clock: state.options.clock,
    response,
    file,
    range: { start, end: truncateAt ?? end },
    getBytesPerSecond: () => state.faults.getFaults().downloadBytesPerSecond,
    isSilenced: () => state.silenced.has(request.socket)
  })
  if (truncateAt !== undefined) request.socket.destroy()
  else if (!state.silenced.has(request.socket)) response.end()
}

async function handleHealth (state: TargetState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { clock, slots, probeMs } = state.options
  state.ledger.counts.probes += 1
  if (await runWork(state, response, probeMs, undefined) !== 'done') return
  const { healthLagMs } = state.faults.getFaults()
  const isLeaving = state.drainingSinceMs !== undefined && clock.monotonicMs() - state.drainingSinceMs >= healthLagMs
  const inFlight = state.slots.countRunning() + state.slots.countWaiting()
  sendResponse(state, request, response, 200, { state: isLeaving ? 'leaving' : 'ready', inFlight, slots })
}

async function handleControl (state: TargetState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (request.method === 'POST') {
    const patch = parseFaultPatch(parseJson((await buffer(request)).toString()))
    if (patch.isErr()) return sendJson(response, 400, { error: patch.error })
    if (patch.value.silenceOpen) pauseSockets(state, request.socket)
    state.faults.apply(patch.value)
  }
  sendJson(response, 200, state.faults.getFaults())
}

function parseJson (body: string): unknown {
  try {
    return JSON.parse(body)
  } catch {
    return undefined
  }
}

function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

/** Silences every open connection except the one of the control request: nothing more is read or sent on it. */
function pauseSockets (state: TargetState, controlSocket: Socket): void {
  for (const socket of state.sockets) {
    if (socket === controlSocket) continue
    state.silenced.add(socket)
    socket.pause()
    state.ledger.counts.silenced += 1
  }
}

async function handleRequest (state: TargetState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (state.silenced.has(request.socket)) return
  const url = new URL(request.url ?? '/', 'http://target')
  switch (url.pathname) {
    case '/health': return handleHealth(state, request, response)
    case '/control': return handleControl(state, request, response)
    case '/ledger-of-runs':
      return sendJson(response, 200, { target: state.options.id, busyMs: state.slots.computeBusyMs(), ...state.ledger })
    default: return handleOperation(state, request, response, url)
  }
}

/** The target stand-in. */
export interface TargetServer {
  server: Server
  /** Begins to drain, as `isLeaving` of `POST /control` does. */
  startDraining(): void
  /** Returns whether no job runs or waits. */
  isIdle(): boolean
}

/** Creates the server of a target; the caller of this function makes it listen. */
export function createTargetServer (options: TargetOptions): TargetServer {
  const { clock } = options
  const state: TargetState = {
    options,
    slots: createWorkSlots(clock, options.slots),
    faults: createFaultSwitch(clock, () => applyFaults(state)),
    ledger: createRunLedger(),
    sockets: new Set(),
    silenced: new WeakSet(),
    drainingSinceMs: undefined,
    startedAtMs: clock.monotonicMs(),
    lastResponse: { requestId: 'none', body: '{}' }
  }
  applyFaults(state)
  if (options.coldMs > 0) clock.startTimer(options.coldMs, () => applyFaults(state))
  const server = createServer((request, response) => {
    handleRequest(state, request, response).catch(() => request.socket.destroy())
  })
  server.on('connection', (socket) => {
    state.ledger.counts.connections += 1
    state.sockets.add(socket)
    socket.once('close', () => state.sockets.delete(socket))
    state.slots.add({ workMs: options.connectMs, start () {}, finish () {}, drop () {} })
  })
  return {
    server,
    startDraining: () => state.faults.apply({ isLeaving: true }),
    isIdle: () => state.slots.countRunning() + state.slots.countWaiting() === 0
  }
}
