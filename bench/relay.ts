/**
 * Measures what one entry adds to a small request, against the same caller going to the target directly.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import path from 'node:path'
import { parseArgs } from 'node:util'
import type { Histogram } from 'hdr-histogram-js'
import { createDeployment } from '../replay/deployment.ts'
import type { Deployment } from '../replay/deployment.ts'
import { startProgram } from '../replay/programs.ts'
import { startSystem } from '../replay/system.ts'
import { readCpuMs, readResidentKb } from './process-usage.ts'
import { createLatencyHistogram, createRequestLoad, getPercentileMs } from './request-load.ts'
import type { RequestLoad } from './request-load.ts'

const PARALLEL = 64
const WARM_UP_MS = 3_000
const SLICES = 10
const BATCH = 200
const IDLE_CONNECTIONS = 2_000
const SETTLE_MS = 2_000
const MS_PER_SECOND = 1000
const UNLIMITED = 1_000_000
const LONG_MS = 60_000

/** Latency of one way, in ms. */
export interface WayLatency { medianMs: number, p99Ms: number }
/** The same requests, directly and through the entry, in alternating slices of one run. */
export interface Comparison { direct: WayLatency, entry: WayLatency, addedMedianMs: number, addedP99Ms: number, medianRatio: number, p99Ratio: number }

/** What the bench measured. */
export interface RelayFigures {
  /** One request at a time. */
  idle: Comparison
  /** Requests a second that one entry process took, as fast as it could. */
  requestsPerSecond: number
  /** Processor time of the entry for one request, in ms. */
  cpuMsPerRequest: number
  /** Requests a second that one whole core would take. */
  requestsPerCore: number
  /** At half the load of one core. */
  halfLoad: Comparison & { perSecond: number, coreShare: number }
  residentAtRestMb: number
  residentPerConnectionKb: number
}

/** How to measure. */
export interface RelayOptions {
  root: string
  network: string
  /** Length of each measurement, in ms. */
  lengthMs: number
  binary?: string
}

function toLatency (histogram: Histogram): WayLatency {
  return { medianMs: getPercentileMs(histogram, 50), p99Ms: getPercentileMs(histogram, 99) }
}

function compareWays (directHistogram: Histogram, entryHistogram: Histogram): Comparison {
  const direct = toLatency(directHistogram)
  const entry = toLatency(entryHistogram)
  return {
    direct,
    entry,
    addedMedianMs: entry.medianMs - direct.medianMs,
    addedP99Ms: entry.p99Ms - direct.p99Ms,
    medianRatio: entry.medianMs / direct.medianMs,
    p99Ratio: entry.p99Ms / direct.p99Ms
  }
}

async function measureIdle (direct: RequestLoad, entry: RequestLoad): Promise<Comparison> {
  const [directHistogram, entryHistogram] = [createLatencyHistogram(), createLatencyHistogram()]
  for (let slice = 0; slice < SLICES; slice++) {
    for (let sent = 0; sent < BATCH; sent++) await direct.sendOne(directHistogram)
    for (let sent = 0; sent < BATCH; sent++) await entry.sendOne(entryHistogram)
  }
  return compareWays(directHistogram, entryHistogram)
}

async function measureHalfLoad (direct: RequestLoad, entry: RequestLoad, perSecond: number, lengthMs: number, pid: number): Promise<RelayFigures['halfLoad']> {
  const [directHistogram, entryHistogram] = [createLatencyHistogram(), createLatencyHistogram()]
  let cpuMs = 0
  let entryMs = 0
  for (let slice = 0; slice < SLICES; slice++) {
    await direct.sendOpen(directHistogram, perSecond, lengthMs / SLICES)
    const [cpuBeforeMs, startMs] = [readCpuMs(pid), performance.now()]
    await entry.sendOpen(entryHistogram, perSecond, lengthMs / SLICES)
    cpuMs += readCpuMs(pid) - cpuBeforeMs
    entryMs += performance.now() - startMs
  }
  return { ...compareWays(directHistogram, entryHistogram), perSecond, coreShare: cpuMs / entryMs }
}

async function measureThroughput (entry: RequestLoad, lengthMs: number, pid: number): Promise<Pick<RelayFigures, 'requestsPerSecond' | 'cpuMsPerRequest' | 'requestsPerCore'>> {
  const histogram = createLatencyHistogram()
  const cpuBeforeMs = readCpuMs(pid)
  const requestsPerSecond = await entry.sendClosed(histogram, PARALLEL, lengthMs)
  const cpuMsPerRequest = (readCpuMs(pid) - cpuBeforeMs) / histogram.totalCount
  return { requestsPerSecond, cpuMsPerRequest, requestsPerCore: MS_PER_SECOND / cpuMsPerRequest }
}

/** Opens idle connections that have each sent one request, and returns the memory for one, in KB. */
async function measureConnections (url: { origin: string, path: string }, pid: number): Promise<number> {
  const beforeKb = readResidentKb(pid)
  const load = createRequestLoad(url, IDLE_CONNECTIONS)
  await Promise.all(Array.from({ length: IDLE_CONNECTIONS }, () => load.sendOne(createLatencyHistogram())))
  const perConnectionKb = (readResidentKb(pid) - beforeKb) / IDLE_CONNECTIONS
  await load.close()
  return perConnectionKb
}

/** Lays out one entry and one target with limits that do not bind. */
function createBenchDeployment (options: RelayOptions): Deployment {
  return createDeployment({
    sample: 'kyushu',
    root: options.root,
    network: options.network,
    entryCount: 1,
    targetCount: 1,
    changeContract (contract) {
      const booking = contract.services['booking']!
      contract.services = { booking }
      contract.limits = { requestsPerSecond: UNLIMITED, concurrentRequests: UNLIMITED }
      contract.entries.largestCount = 1
      booking.slotsPerTarget = PARALLEL * 2
      booking.connectionsPerTarget = PARALLEL * 4
      booking.queue = { longest: IDLE_CONNECTIONS * 2, longestWaitMs: LONG_MS }
      booking.hedging.budgetShare = 0
      for (const operation of booking.operations) operation.deadlineMs = LONG_MS
      for (const operation of booking.operations) operation.longestMs = LONG_MS
    }
  })
}

/** Measures one entry process. */
export async function measureRelay (options: RelayOptions): Promise<RelayFigures> {
  const deployment = createBenchDeployment(options)
  const [target, entryHost] = [deployment.targets[0]!, deployment.entries[0]!]
  const system = await startSystem({ deployment, hasTargets: false, files: { dist: path.join(options.root, 'dist'), binary: options.binary } })
  const targetArgs = ['relay-target', '--address', target.address, '--port', String(target.port)]
  const program = await startProgram({ name: 'target', file: process.execPath, args: [process.argv[1] ?? '', ...targetArgs], readyText: 'listens' })
  try {
    await system.startEntries()
    await system.publishContract()
    const pid = system.getProgram(entryHost.id)?.pid ?? 0
    const residentAtRestMb = readResidentKb(pid) / 1000
    const direct = createRequestLoad({ origin: `http://${target.address}:${target.port}`, path: '/slots/1' }, PARALLEL)
    const entryUrl = { origin: `http://${entryHost.address}:${entryHost.callerPort}`, path: '/kyushu/booking/slots/1' }
    const entry = createRequestLoad(entryUrl, PARALLEL)
    await direct.sendClosed(createLatencyHistogram(), PARALLEL, WARM_UP_MS)
    await entry.sendClosed(createLatencyHistogram(), PARALLEL, WARM_UP_MS)
    const idle = await measureIdle(direct, entry)
    const throughput = await measureThroughput(entry, options.lengthMs, pid)
    const halfLoad = await measureHalfLoad(direct, entry, throughput.requestsPerCore / 2, options.lengthMs, pid)
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    const residentPerConnectionKb = await measureConnections(entryUrl, pid)
    await Promise.all([direct.close(), entry.close()])
    return { idle, ...throughput, halfLoad, residentAtRestMb, residentPerConnectionKb }
  } finally {
    await program.stop()
    await system.stop()
  }
}

const HELP = `Usage: npm run bench -- relay [--length-ms N] [--network A.B.C] [--binary FILE] [--root FOLDER] [--json]

Measures what one entry adds to a small request, requests a second on one core, and memory.`

function formatComparison (name: string, { direct, entry, addedMedianMs, addedP99Ms, medianRatio, p99Ratio }: Comparison): string {
  const format = (value: number): string => value.toFixed(3)
  return `${name}: direct ${format(direct.medianMs)} / ${format(direct.p99Ms)} ms, entry ${format(entry.medianMs)} / ${format(entry.p99Ms)} ms, added ${format(addedMedianMs)} / ${format(addedP99Ms)} ms, ratio ${medianRatio.toFixed(2)} / ${p99Ratio.toFixed(2)} (median / 99th)`
}

/** Runs the bench from the command line; returns the exit code. */
export async function runRelayBench (args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: {
      'length-ms': { type: 'string', default: '5000' },
      network: { type: 'string', default: '127.79.1' },
      binary: { type: 'string' },
      root: { type: 'string', default: '.' },
      json: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false }
    }
  })
  if (values.help) {
    console.log(HELP)
    return 0
  }
  const figures = await measureRelay({ root: path.resolve(values.root), network: values.network, lengthMs: Number(values['length-ms']), binary: values.binary && path.resolve(values.binary) })
  if (values.json) console.log(JSON.stringify(figures, undefined, 2))
  else {
    console.log(formatComparison('one at a time', figures.idle))
    console.log(`as fast as it goes: ${figures.requestsPerSecond.toFixed(0)} requests a second, ${figures.cpuMsPerRequest.toFixed(3)} ms of processor time each, ${figures.requestsPerCore.toFixed(0)} a second on one whole core`)
    console.log(`${formatComparison(`half load of a core (${figures.halfLoad.perSecond.toFixed(0)} a second)`, figures.halfLoad)}, ${(figures.halfLoad.coreShare * 100).toFixed(0)}% of a core used`)
    console.log(`memory: ${figures.residentAtRestMb.toFixed(0)} MB at rest, ${figures.residentPerConnectionKb.toFixed(1)} KB for each connection of a caller`)
  }
  return 0
}

/** Runs the target of the bench, which answers at once. */
export async function runRelayTarget (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { address: { type: 'string' }, port: { type: 'string' } } })
  const body = JSON.stringify({ slot: 1, state: 'booked' })
  const server = createServer((request, response) => {
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length, 'x-request-id': request.headers['x-request-id'] ?? '' })
    response.end(body)
  })
  server.keepAliveTimeout = LONG_MS
  server.listen(Number(values.port), values.address, () => console.log('listens'))
  await once(server, 'close')
  return 0
}
