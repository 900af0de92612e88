/**
 * Bench of the latency, processor time and memory that one entry adds to a small request, compared with the same requests
 * sent directly to the target and through bare relays.
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
import { RELAY_METHODS } from './relay-programs.ts'

const CONCURRENCY = 64
const WARM_UP_MS = 3_000
const SLICE_COUNT = 10
const REQUESTS_PER_SLICE = 200
const IDLE_CONNECTION_COUNT = 2_000
const SETTLE_MS = 2_000
const MS_PER_SECOND = 1000
const UNLIMITED = 1_000_000
const LONG_MS = 60_000
const KB_PER_MB = 1000
const BARE_RELAY_PORT = 8100
const NAME_WIDTH = 24
const NUMBER_WIDTH = 10

/** Latencies of one path to the target, in ms. Added times and ratios are relative to the direct path in the same run. */
export interface PathLatencies {
  name: string
  medianMs: number
  p99Ms: number
  addedMedianMs: number
  addedP99Ms: number
  medianRatio: number
  p99Ratio: number
}

/** Maximum throughput of one path. */
export interface PathThroughput {
  name: string
  requestsPerSecond: number
  /** Processor time per request of the process that receives it, in ms. */
  cpuMsPerRequest: number
  /** Requests per second that one fully used core could serve. */
  requestsPerCore: number
}

/** All figures of the bench; `--json` prints them under these names. */
export interface RelayFigures {
  throughput: PathThroughput[]
  /** Latencies with one request at a time. */
  idle: PathLatencies[]
  /** Latencies at the request rate that uses about half a core at the entry; `coreShare` is the share measured. */
  halfLoad: { perSecond: number, coreShare: number, ways: PathLatencies[] }
  /** Resident memory of the entry before any load, in MB. */
  residentAtRestMb: number
  /** Resident memory of the entry for each idle caller connection, in KB. */
  residentPerConnectionKb: number
}

/** Options for the bench. */
export interface RelayOptions {
  /** Folder of the project, with the bundled programs in `dist`. */
  root: string
  /** First three bytes of loopback addresses that nothing else uses. */
  network: string
  /** Duration of each measurement, in ms. */
  lengthMs: number
  /** File of the executable to measure. Default: the bundle in `dist`. */
  binary?: string
}

/** A path to the target: its load generator, and the process that receives the requests. */
interface RequestPath { name: string, load: RequestLoad, pid: number }

interface MeasuredPath { name: string, histogram: Histogram }

function comparePaths (measured: readonly MeasuredPath[]): PathLatencies[] {
  const latencies = measured.map(({ name, histogram }) => ({ name, medianMs: getPercentileMs(histogram, 50), p99Ms: getPercentileMs(histogram, 99) }))
  const direct = latencies[0]!
  return latencies.map((latency) => ({
    ...latency,
    addedMedianMs: latency.medianMs - direct.medianMs,
    addedP99Ms: latency.p99Ms - direct.p99Ms,
    medianRatio: latency.medianMs / direct.medianMs,
    p99Ratio: latency.p99Ms / direct.p99Ms
  }))
}

/** Measures all paths in alternating slices, so that other activity on the machine affects all of them alike. */
async function measureSlices (requestPaths: readonly RequestPath[], runSlice: (requestPath: RequestPath, histogram: Histogram) => Promise<void>): Promise<PathLatencies[]> {
  const measured = requestPaths.map((requestPath) => ({ name: requestPath.name, requestPath, histogram: createLatencyHistogram() }))
  for (let slice = 0; slice < SLICE_COUNT; slice++) {
    for (const { requestPath, histogram } of measured) await runSlice(requestPath, histogram)
  }
  return comparePaths(measured)
}

async function measureThroughput ({ name, load, pid }: RequestPath, lengthMs: number): Promise<PathThroughput> {
  const histogram = createLatencyHistogram()
  await load.sendClosed(createLatencyHistogram(), CONCURRENCY, WARM_UP_MS)
  const cpuBeforeMs = readCpuMs(pid)
  const requestsPerSecond = await load.sendClosed(histogram, CONCURRENCY, lengthMs)
  const cpuMsPerRequest = (readCpuMs(pid) - cpuBeforeMs) / histogram.totalCount
  return { name, requestsPerSecond, cpuMsPerRequest, requestsPerCore: MS_PER_SECOND / cpuMsPerRequest }
}

/**
 * Returns the requests per second that use half a core. The processor time of a request is measured at about that rate,
 * since it is higher there than at the maximum rate.
 */
async function findHalfLoad ({ load, pid }: RequestPath, requestsPerCore: number): Promise<number> {
  const trialPerSecond = requestsPerCore / 2
  const histogram = createLatencyHistogram()
  const cpuBeforeMs = readCpuMs(pid)
  await load.sendOpen(histogram, trialPerSecond, WARM_UP_MS)
  const cpuMsPerRequest = (readCpuMs(pid) - cpuBeforeMs) / histogram.totalCount
  return MS_PER_SECOND / 2 / cpuMsPerRequest
}

/** Measures every path: throughput, one request at a time, and at the rate that uses half a core on the last path. */
async function measurePaths (requestPaths: readonly RequestPath[], lengthMs: number): Promise<Pick<RelayFigures, 'throughput' | 'idle' | 'halfLoad'>> {
  const throughput: PathThroughput[] = []
  for (const requestPath of requestPaths) throughput.push(await measureThroughput(requestPath, lengthMs))
  const idle = await measureSlices(requestPaths, async ({ load }, histogram) => {
    for (let sent = 0; sent < REQUESTS_PER_SLICE; sent++) await load.sendOne(histogram)
  })
  const lastPath = requestPaths.at(-1)!
  const perSecond = await findHalfLoad(lastPath, throughput.at(-1)!.requestsPerCore)
  const { pid } = lastPath
  let cpuMs = 0
  const halfLoad = await measureSlices(requestPaths, async (requestPath, histogram) => {
    const cpuBeforeMs = readCpuMs(requestPath.pid)
    await requestPath.load.sendOpen(histogram, perSecond, lengthMs / SLICE_COUNT)
    if (requestPath.pid === pid) cpuMs += readCpuMs(pid) - cpuBeforeMs
  })
  return { throughput, idle, halfLoad: { perSecond, coreShare: cpuMs / lengthMs, ways: halfLoad } }
}

/** Opens connections that send one request each and then stay idle; returns the resident memory for one of them, in KB. */
async function measureConnections (url: LoadTarget, pid: number): Promise<number> {
  const beforeKb = readResidentKb(pid)
  const load = createRequestLoad(url, IDLE_CONNECTION_COUNT)
  await Promise.all(Array.from({ length: IDLE_CONNECTION_COUNT }, () => load.sendOne(createLatencyHistogram())))
  const perConnectionKb = (readResidentKb(pid) - beforeKb) / IDLE_CONNECTION_COUNT
  await load.close()
  return perConnectionKb
}

/** Creates a deployment of one entry and one target, with limits too high to take effect. */
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
      booking.slotsPerTarget = CONCURRENCY * 2
      booking.connectionsPerTarget = CONCURRENCY * 4
      booking.queue = { longest: IDLE_CONNECTION_COUNT * 2, longestWaitMs: LONG_MS }
      booking.hedging.budgetShare = 0
      for (const operation of booking.operations) operation.deadlineMs = LONG_MS
      for (const operation of booking.operations) operation.longestMs = LONG_MS
    }
  })
}

/** Starts one of the bench's own programs and waits until it listens. */
function startOwnProgram (name: string, args: string[]): Promise<Program> {
  return startProgram({ name, file: process.execPath, args: [process.argv[1] ?? '', ...args], readyText: 'listens' })
}

/** Measures the direct path, two bare relays and one entry process. */
export async function measureRelay (options: RelayOptions): Promise<RelayFigures> {
  const deployment = createBenchDeployment(options)
  const [target, entryHost] = [deployment.targets[0]!, deployment.entries[0]!]
  const system = await startSystem({ deployment, hasTargets: false, files: { dist: path.join(options.root, 'dist'), binary: options.binary } })
  const targetUrl = `http://${target.address}:${target.port}`
  const programs = [await startOwnProgram('target', ['relay-target', '--address', target.address, '--port', String(target.port)])]
  try {
    const requestPaths: RequestPath[] = [{ name: 'direct', load: createRequestLoad({ origin: targetUrl, path: '/slots/1' }, CONCURRENCY), pid: programs[0]!.pid }]
    for (const [index, method] of RELAY_METHODS.entries()) {
      const port = String(BARE_RELAY_PORT + index)
      const program = await startOwnProgram(method, ['bare-relay', '--address', target.address, '--port', port, '--to', targetUrl, '--way', method])
      programs.push(program)
      requestPaths.push({ name: `bare relay by ${method}`, load: createRequestLoad({ origin: `http://${target.address}:${port}`, path: '/slots/1' }, CONCURRENCY), pid: program.pid })
    }
    await system.startEntries()
    await system.publishContract()
    const pid = system.getProgram(entryHost.id)?.pid ?? 0
    const residentAtRestMb = readResidentKb(pid) / KB_PER_MB
    const entryUrl: LoadTarget = { origin: `http://${entryHost.address}:${entryHost.callerPort}`, path: '/kyushu/booking/slots/1' }
    requestPaths.push({ name: 'entry', load: createRequestLoad(entryUrl, CONCURRENCY), pid })
    const figures = await measurePaths(requestPaths, options.lengthMs)
    await Promise.all(requestPaths.map(({ load }) => load.close()))
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    const residentPerConnectionKb = await measureConnections(entryUrl, pid)
    return { ...figures, residentAtRestMb, residentPerConnectionKb }
  } finally {
    await Promise.all(programs.map((program) => program.stop()))
    await system.stop()
  }
}

const HELP = `Usage: npm run bench -- relay [--length-ms N] [--network A.B.C] [--binary FILE] [--root FOLDER] [--json]

Measures the latency that one entry adds to a small request, the requests per second on one core, and memory.`

function formatLatencies (title: string, latencies: readonly PathLatencies[]): string[] {
  const format = (value: number): string => value.toFixed(3).padStart(NUMBER_WIDTH)
  const rows = latencies.map((latency) => `  ${latency.name.padEnd(NAME_WIDTH)}${[latency.medianMs, latency.p99Ms, latency.addedMedianMs, latency.addedP99Ms, latency.medianRatio, latency.p99Ratio].map(format).join('')}`)
  return [title, `  ${''.padEnd(NAME_WIDTH)}${['p50', 'p99', 'added p50', 'added p99', 'p50 ratio', 'p99 ratio'].map((name) => name.padStart(NUMBER_WIDTH)).join('')}`, ...rows]
}

function formatFigures (figures: RelayFigures): string {
  const { throughput, idle, halfLoad } = figures
  return [
    'Maximum throughput:',
    ...throughput.map((figures) => `  ${figures.name.padEnd(NAME_WIDTH)}${figures.requestsPerSecond.toFixed(0)} requests per second, ${figures.cpuMsPerRequest.toFixed(3)} ms of processor time per request, ${figures.requestsPerCore.toFixed(0)} requests per second on one full core`),
    ...formatLatencies('One request at a time, latency in ms:', idle),
    ...formatLatencies(`At about half a core of the entry (${halfLoad.perSecond.toFixed(0)} requests per second, ${(halfLoad.coreShare * 100).toFixed(0)}% of a core used), latency in ms:`, halfLoad.ways),
    `Memory of the entry: ${figures.residentAtRestMb.toFixed(0)} MB at rest, ${figures.residentPerConnectionKb.toFixed(1)} KB for each caller connection`
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
