/**
 * Measures what one entry adds to a small request, against the same caller going to the target directly.
 */
import path from 'node:path'
import { parseArgs } from 'node:util'
import type { Histogram } from 'hdr-histogram-js'
import { createDeployment } from '../replay/deployment.ts'
import type { Deployment } from '../replay/deployment.ts'
import { startProgram } from '../replay/programs.ts'
import type { Program } from '../replay/programs.ts'
import { startSystem } from '../replay/system.ts'
import { readCpuMs, readResidentKb } from './process-usage.ts'
import { createLatencyHistogram, createRequestLoad, getPercentileMs } from './request-load.ts'
import type { LoadTarget, RequestLoad } from './request-load.ts'
import { RELAY_WAYS } from './relay-programs.ts'

const PARALLEL = 64
const WARM_UP_MS = 3_000
const SLICES = 10
const BATCH = 200
const IDLE_CONNECTIONS = 2_000
const SETTLE_MS = 2_000
const MS_PER_SECOND = 1000
const UNLIMITED = 1_000_000
const LONG_MS = 60_000
const KB_PER_MB = 1000
const BARE_RELAY_PORT = 8100
const NAME_WIDTH = 24
const NUMBER_WIDTH = 10

/** What one way to the target came to. Latencies in ms; ratios and additions are against the direct way in the same run. */
export interface WayFigures {
  name: string
  medianMs: number
  p99Ms: number
  addedMedianMs: number
  addedP99Ms: number
  medianRatio: number
  p99Ratio: number
}

/** Throughput of one way, as fast as it goes. */
export interface WayThroughput {
  name: string
  requestsPerSecond: number
  /** Processor time of the process behind the address for one request, in ms. */
  cpuMsPerRequest: number
  /** Requests a second that one whole core would take. */
  requestsPerCore: number
}

/** What the bench measured. */
export interface RelayFigures {
  throughput: WayThroughput[]
  /** One request at a time. */
  idle: WayFigures[]
  /** At half the load of one core of the entry. */
  halfLoad: { perSecond: number, coreShare: number, ways: WayFigures[] }
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

/** A way to the target: its load, the process behind it and the latencies of the slice being measured. */
interface Way { name: string, load: RequestLoad, pid: number }

interface MeasuredWay { name: string, histogram: Histogram }

function compareWays (measured: readonly MeasuredWay[]): WayFigures[] {
  const latencies = measured.map(({ name, histogram }) => ({ name, medianMs: getPercentileMs(histogram, 50), p99Ms: getPercentileMs(histogram, 99) }))
  const direct = latencies[0]!
  return latencies.map((way) => ({
    ...way,
    addedMedianMs: way.medianMs - direct.medianMs,
    addedP99Ms: way.p99Ms - direct.p99Ms,
    medianRatio: way.medianMs / direct.medianMs,
    p99Ratio: way.p99Ms / direct.p99Ms
  }))
}

/** Measures all ways in alternating slices, so that what else the machine does meets all alike. */
async function measureSlices (ways: readonly Way[], runSlice: (way: Way, histogram: Histogram) => Promise<void>): Promise<WayFigures[]> {
  const measured = ways.map((way) => ({ name: way.name, way, histogram: createLatencyHistogram() }))
  for (let slice = 0; slice < SLICES; slice++) {
    for (const { way, histogram } of measured) await runSlice(way, histogram)
  }
  return compareWays(measured)
}

async function measureThroughput ({ name, load, pid }: Way, lengthMs: number): Promise<WayThroughput> {
  const histogram = createLatencyHistogram()
  await load.sendClosed(createLatencyHistogram(), PARALLEL, WARM_UP_MS)
  const cpuBeforeMs = readCpuMs(pid)
  const requestsPerSecond = await load.sendClosed(histogram, PARALLEL, lengthMs)
  const cpuMsPerRequest = (readCpuMs(pid) - cpuBeforeMs) / histogram.totalCount
  return { name, requestsPerSecond, cpuMsPerRequest, requestsPerCore: MS_PER_SECOND / cpuMsPerRequest }
}

/** Finds the rate that takes half of a core: a request costs more when they come singly than at the highest rate. */
async function findHalfLoad ({ load, pid }: Way, requestsPerCore: number): Promise<number> {
  const triedPerSecond = requestsPerCore / 2
  const histogram = createLatencyHistogram()
  const cpuBeforeMs = readCpuMs(pid)
  await load.sendOpen(histogram, triedPerSecond, WARM_UP_MS)
  const cpuMsPerRequest = (readCpuMs(pid) - cpuBeforeMs) / histogram.totalCount
  return MS_PER_SECOND / 2 / cpuMsPerRequest
}

/** Measures every way: throughput, one request at a time, and half the load of a core of the last way. */
async function measureWays (ways: readonly Way[], lengthMs: number): Promise<Pick<RelayFigures, 'throughput' | 'idle' | 'halfLoad'>> {
  const throughput: WayThroughput[] = []
  for (const way of ways) throughput.push(await measureThroughput(way, lengthMs))
  const idle = await measureSlices(ways, async ({ load }, histogram) => {
    for (let sent = 0; sent < BATCH; sent++) await load.sendOne(histogram)
  })
  const measuredWay = ways.at(-1)!
  const perSecond = await findHalfLoad(measuredWay, throughput.at(-1)!.requestsPerCore)
  const { pid } = measuredWay
  let cpuMs = 0
  const halfLoad = await measureSlices(ways, async (way, histogram) => {
    const cpuBeforeMs = readCpuMs(way.pid)
    await way.load.sendOpen(histogram, perSecond, lengthMs / SLICES)
    if (way.pid === pid) cpuMs += readCpuMs(pid) - cpuBeforeMs
  })
  return { throughput, idle, halfLoad: { perSecond, coreShare: cpuMs / lengthMs, ways: halfLoad } }
}

/** Opens idle connections that have each sent one request, and returns the memory for one, in KB. */
async function measureConnections (url: LoadTarget, pid: number): Promise<number> {
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
    maxTargetsPerService: 1,
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

/** Starts one of the bench's own programs. */
function startOwnProgram (name: string, args: string[]): Promise<Program> {
  return startProgram({ name, file: process.execPath, args: [process.argv[1] ?? '', ...args], readyText: 'listens' })
}

/** Measures one entry process, the direct way and two bare relays. */
export async function measureRelay (options: RelayOptions): Promise<RelayFigures> {
  const deployment = createBenchDeployment(options)
  const [target, entryHost] = [deployment.targets[0]!, deployment.entries[0]!]
  const system = await startSystem({ deployment, hasTargets: false, files: { dist: path.join(options.root, 'dist'), binary: options.binary } })
  const targetUrl = `http://${target.address}:${target.port}`
  const programs = [await startOwnProgram('target', ['relay-target', '--address', target.address, '--port', String(target.port)])]
  try {
    const ways: Way[] = [{ name: 'direct', load: createRequestLoad({ origin: targetUrl, path: '/slots/1' }, PARALLEL), pid: programs[0]!.pid }]
    for (const [index, way] of RELAY_WAYS.entries()) {
      const port = String(BARE_RELAY_PORT + index)
      const program = await startOwnProgram(way, ['bare-relay', '--address', target.address, '--port', port, '--to', targetUrl, '--way', way])
      programs.push(program)
      ways.push({ name: `bare relay by ${way}`, load: createRequestLoad({ origin: `http://${target.address}:${port}`, path: '/slots/1' }, PARALLEL), pid: program.pid })
    }
    await system.startEntries()
    await system.publishContract()
    const pid = system.getProgram(entryHost.id)?.pid ?? 0
    const residentAtRestMb = readResidentKb(pid) / KB_PER_MB
    const entryUrl: LoadTarget = { origin: `http://${entryHost.address}:${entryHost.callerPort}`, path: '/kyushu/booking/slots/1' }
    ways.push({ name: 'entry', load: createRequestLoad(entryUrl, PARALLEL), pid })
    const figures = await measureWays(ways, options.lengthMs)
    await Promise.all(ways.map(({ load }) => load.close()))
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    const residentPerConnectionKb = await measureConnections(entryUrl, pid)
    return { ...figures, residentAtRestMb, residentPerConnectionKb }
  } finally {
    await Promise.all(programs.map((program) => program.stop()))
    await system.stop()
  }
}

const HELP = `Usage: npm run bench -- relay [--length-ms N] [--network A.B.C] [--binary FILE] [--root FOLDER] [--json]

Measures what one entry adds to a small request, requests a second on one core, and memory.`

function formatWays (title: string, ways: readonly WayFigures[]): string[] {
  const format = (value: number): string => value.toFixed(3).padStart(NUMBER_WIDTH)
  const rows = ways.map((way) => `  ${way.name.padEnd(NAME_WIDTH)}${[way.medianMs, way.p99Ms, way.addedMedianMs, way.addedP99Ms, way.medianRatio, way.p99Ratio].map(format).join('')}`)
  return [title, `  ${''.padEnd(NAME_WIDTH)}${['median', '99th', 'added', 'added 99', 'ratio', 'ratio 99'].map((name) => name.padStart(NUMBER_WIDTH)).join('')}`, ...rows]
}

function formatFigures (figures: RelayFigures): string {
  const { throughput, idle, halfLoad } = figures
  return [
    'As fast as it goes:',
    ...throughput.map((way) => `  ${way.name.padEnd(NAME_WIDTH)}${way.requestsPerSecond.toFixed(0)} requests a second, ${way.cpuMsPerRequest.toFixed(3)} ms of processor time each, ${way.requestsPerCore.toFixed(0)} a second on one whole core`),
    ...formatWays('One at a time, in ms:', idle),
    ...formatWays(`At half the load of one core of the entry (${halfLoad.perSecond.toFixed(0)} a second, ${(halfLoad.coreShare * 100).toFixed(0)}% of a core used), in ms:`, halfLoad.ways),
    `Memory of the entry: ${figures.residentAtRestMb.toFixed(0)} MB at rest, ${figures.residentPerConnectionKb.toFixed(1)} KB for each connection of a caller`
  ].join('\n')
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
  console.log(values.json ? JSON.stringify(figures, undefined, 2) : formatFigures(figures))
  return 0
}
