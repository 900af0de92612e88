/**
 * The HTTP server of the target stand-in.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { buffer, text } from 'node:stream/consumers'
import type { Clock } from '../src/clock.ts'
import { createDownloadFile, parseRange } from './target-download.ts'
import { sendPieces } from './target-pieces.ts'
import { createFaultSwitch, parseFaultPatch } from './target-faults.ts'
import type { FaultSwitch } from './target-faults.ts'
import { createRunBook, findKey } from './target-runs.ts'
import type { Run, RunBook } from './target-runs.ts'
import { createWorkSlots } from './target-slots.ts'
import type { WorkSlots } from './target-slots.ts'

/** How long the work of a request takes. */
export type WorkDistribution = 'constant' | 'exponential' | 'heavy-tailed'

/** Options of the target stand-in. */
export interface TargetOptions {
  id: string
  clock: Clock
  /** Requests worked on at once. */
  slots: number
  /** Requests that may wait inside; more are shed. */
  queue: number
  /** Mean work of a request, in ms. */
  workMs: number
  distribution: WorkDistribution
  /** Work of a health probe, in ms. */
  probeMs: number
  /** Work of a new connection, in ms. */
  connectMs: number
  /** How long it is cold after the start, in ms. */
  coldMs: number
  /** How many times longer work takes while cold. */
  coldFactor: number
  random: () => number
}

interface SentAnswer { requestId: string | undefined, body: string }

interface TargetState {
  options: TargetOptions
  slots: WorkSlots
  faults: FaultSwitch
  book: RunBook
  sockets: Set<Socket>
  silenced: WeakSet<Socket>
  /** Since when it drains, by the monotonic clock; undefined while it does not. */
  leavingSinceMs: number | undefined
  startedMs: number
  lastAnswer: SentAnswer
}

const DOWNLOAD_PATH = /^\/(ledgers|job-sheets)\//
const DEFAULT_DOWNLOAD_BYTES = 1_000_000
const FAST_ERROR_WORK_MS = 1
const HEAVY_TAIL_SHAPE = 1.5

function computeWorkMs (options: TargetOptions): number {
  const { workMs, distribution, random } = options
  switch (distribution) {
    case 'constant': return workMs
    case 'exponential': return -workMs * Math.log(1 - random())
    case 'heavy-tailed': return workMs * (1 - 1 / HEAVY_TAIL_SHAPE) / (1 - random()) ** (1 / HEAVY_TAIL_SHAPE)
  }
}

/** Follows the faults and the cold start with the speed of the slots and the time of leaving. */
function applyFaults (state: TargetState): void {
  const { clock, coldMs, coldFactor } = state.options
  const faults = state.faults.getFaults()
  const isCold = clock.monotonicMs() - state.startedMs < coldMs
  state.slots.updateSpeed(1 / (faults.slowFactor * (isCold ? coldFactor : 1)))
  if (!faults.isLeaving) state.leavingSinceMs = undefined
  else state.leavingSinceMs ??= clock.monotonicMs()
}

function getHeader (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Sends an answer with the headers that every answer carries, unless the connection has gone silent. */
function sendAnswer (state: TargetState, request: IncomingMessage, response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
  if (state.silenced.has(request.socket) || response.destroyed) return
  const isCrossed = status === 200 && state.faults.takeOne('crossNext')
  const own: SentAnswer = { requestId: getHeader(request, 'x-request-id'), body: JSON.stringify(value) }
  const sent = isCrossed ? state.lastAnswer : own
  state.lastAnswer = own
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

function sendShed (state: TargetState, request: IncomingMessage, response: ServerResponse): void {
  state.book.counts.shed += 1
  sendAnswer(state, request, response, 503, { error: 'shed' }, { 'x-shed': '1' })
}

/** Waits for a slot and works; resolves true when done, false when dropped unstarted or cancelled by the caller. */
function runWork (state: TargetState, response: ServerResponse, workMs: number, longestWaitMs: number | undefined, run?: Run): Promise<'done' | 'dropped' | 'cancelled'> {
  return new Promise((resolve) => {
    const cancel = state.slots.add({
      workMs,
      longestWaitMs,
      start () {
        if (run) state.book.runs.push(run)
      },
      finish () {
        if (run) run.state = 'done'
        resolve('done')
      },
      drop () {
        state.book.counts.droppedUnstarted += 1
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

/** Answers an ordinary operation: sheds, fails, or works and answers. */
async function handleOperation (state: TargetState, request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
  const { options, faults } = state
  const { shedShare, errorShare, errorsRun } = faults.getFaults()
  const body = await text(request)
  if (options.random() < shedShare || state.slots.countWaiting() >= options.queue) return sendShed(state, request, response)
  const run: Run = {
    key: findKey(getHeader(request, 'idempotency-key'), body),
    requestId: getHeader(request, 'x-request-id'),
    operation: `${request.method} ${url.pathname}`,
    attempt: getHeader(request, 'x-medlarcove-attempt'),
    atMs: options.clock.wallMs(),
    state: 'running'
  }
  if (options.random() < errorShare) return answerFailure(state, request, response, errorsRun ? run : undefined)
  const deadline = getHeader(request, 'x-medlarcove-deadline-ms')
  const longestWaitMs = deadline === undefined ? undefined : Number(deadline)
  const end = await runWork(state, response, computeWorkMs(options), longestWaitMs, run)
  if (end === 'dropped') return sendShed(state, request, response)
  if (end === 'cancelled') return
  if (DOWNLOAD_PATH.test(url.pathname)) return sendDownload(state, request, response, url)
  sendAnswer(state, request, response, 200, { target: options.id, operation: run.operation, key: run.key, requestId: run.requestId, runs: state.book.runs.length })
}

async function answerFailure (state: TargetState, request: IncomingMessage, response: ServerResponse, run: Run | undefined): Promise<void> {
  if (run) {
    run.state = 'done'
    state.book.runs.push(run)
  } else {
    state.book.counts.failedUnstarted += 1
  }
  await state.options.clock.wait(FAST_ERROR_WORK_MS)
  sendAnswer(state, request, response, 500, { error: 'failed' })
}

/** Sends a file or a part of it: `bytes` in the query gives its size. */
async function sendDownload (state: TargetState, request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
  const file = createDownloadFile(url.pathname, Number(url.searchParams.get('bytes') ?? DEFAULT_DOWNLOAD_BYTES))
  const ifRange = getHeader(request, 'if-range')
  const wanted = ifRange === undefined || ifRange === file.tag ? getHeader(request, 'range') : undefined
  const range = parseRange(wanted, file.bytes)
  if (range === 'unsatisfiable') {
    sendAnswer(state, request, response, 416, { error: 'range' }, { 'content-range': `bytes */${file.bytes}` })
    return
  }
  const { start, end } = range === 'whole' ? { start: 0, end: file.bytes } : range
  setCommonHeaders(state, response, getHeader(request, 'x-request-id'))
  const partHeaders = range === 'whole' ? {} : { 'content-range': `bytes ${start}-${end - 1}/${file.bytes}` }
  response.writeHead(range === 'whole' ? 200 : 206, {
    'content-type': 'application/octet-stream', 'content-length': String(end - start), etag: file.tag, 'accept-ranges': 'bytes', ...partHeaders
  })
  const stopAt = state.faults.takeOne('truncateNext') ? Math.floor((start + end) / 2) : undefined
  await sendPieces({
    clock: state.options.clock,
    response,
    file,
    range: { start, end: stopAt ?? end },
    getBytesPerSecond: () => state.faults.getFaults().downloadBytesPerSecond,
    isSilenced: () => state.silenced.has(request.socket)
  })
  if (stopAt !== undefined) request.socket.destroy()
  else if (!state.silenced.has(request.socket)) response.end()
}

async function handleHealth (state: TargetState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { clock, slots, probeMs } = state.options
  state.book.counts.probes += 1
  if (await runWork(state, response, probeMs, undefined) !== 'done') return
  const { healthLagMs } = state.faults.getFaults()
  const isLeaving = state.leavingSinceMs !== undefined && clock.monotonicMs() - state.leavingSinceMs >= healthLagMs
  const inFlight = state.slots.countRunning() + state.slots.countWaiting()
  sendAnswer(state, request, response, 200, { state: isLeaving ? 'leaving' : 'ready', inFlight, slots })
}

async function handleControl (state: TargetState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (request.method === 'POST') {
    const patch = parseFaultPatch(parseJson((await buffer(request)).toString()))
    if (patch.isErr()) return sendControl(response, 400, { error: patch.error })
    if (patch.value.silenceOpen) stopSockets(state, request.socket)
    state.faults.apply(patch.value)
  }
  sendControl(response, 200, state.faults.getFaults())
}

function parseJson (body: string): unknown {
  try {
    return JSON.parse(body)
  } catch {
    return undefined
  }
}

function sendControl (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

/** Makes every open connection go dead, except the one that asked for it. */
function stopSockets (state: TargetState, asking: Socket): void {
  for (const socket of state.sockets) {
    if (socket === asking) continue
    state.silenced.add(socket)
    socket.pause()
    state.book.counts.silenced += 1
  }
}

async function handleRequest (state: TargetState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (state.silenced.has(request.socket)) return
  const url = new URL(request.url ?? '/', 'http://target')
  switch (url.pathname) {
    case '/health': return handleHealth(state, request, response)
    case '/control': return handleControl(state, request, response)
    case '/ledger-of-runs':
      return sendControl(response, 200, { target: state.options.id, busyMs: state.slots.computeBusyMs(), ...state.book })
    default: return handleOperation(state, request, response, url)
  }
}

/** The running stand-in. */
export interface TargetServer {
  server: Server
  /** Begins to drain, as the control endpoint would. */
  startLeaving(): void
  /** Tells whether no request is worked on or waits. */
  isIdle(): boolean
}

/** Creates the server of a target; the caller listens. */
export function createTargetServer (options: TargetOptions): TargetServer {
  const { clock } = options
  const state: TargetState = {
    options,
    slots: createWorkSlots(clock, options.slots),
    faults: createFaultSwitch(clock, () => applyFaults(state)),
    book: createRunBook(),
    sockets: new Set(),
    silenced: new WeakSet(),
    leavingSinceMs: undefined,
    startedMs: clock.monotonicMs(),
    lastAnswer: { requestId: 'none', body: '{}' }
  }
  applyFaults(state)
  if (options.coldMs > 0) clock.startTimer(options.coldMs, () => applyFaults(state))
  const server = createServer((request, response) => {
    handleRequest(state, request, response).catch(() => request.socket.destroy())
  })
  server.on('connection', (socket) => {
    state.book.counts.connections += 1
    state.sockets.add(socket)
    socket.once('close', () => state.sockets.delete(socket))
    state.slots.add({ workMs: options.connectMs, start () {}, finish () {}, drop () {} })
  })
  return {
    server,
    startLeaving: () => state.faults.apply({ isLeaving: true }),
    isIdle: () => state.slots.countRunning() + state.slots.countWaiting() === 0
  }
}
