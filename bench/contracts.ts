/**
 * Bench of the contract stream: time until a contract is in effect, start of a follower without state, memory and
 * processor time.
 */
import { createHash } from 'node:crypto'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { parseArgs } from 'node:util'
import { createHostClock } from '../src/clock.ts'
import { buildCheckpoint } from '../src/process/contracts/checkpoint-writer.ts'
import { CONTRACT_STREAM } from '../src/process/contracts/contract-store.ts'
import { createContractFollower } from '../src/process/contracts/contract-follower.ts'
import type { ContractFollower } from '../src/process/contracts/contract-follower.ts'
import { createHttpLogClient } from '../src/process/log-http-client.ts'
import { toBrand } from '../src/types.ts'
import type { Nonce, Offset } from '../src/types.ts'
import { buildState, foldPublish } from '../src/version/contract-fold.ts'
import type { FoldState } from '../src/version/contract-fold.ts'
import { decodeStreamRecord, encodeStreamRecord, encodeText } from '../src/version/contract-record.ts'
import type { PublishRecord } from '../src/version/contract-record.ts'
import { startLogServer } from '../stand-ins/log-server.ts'
import type { LogServer } from '../stand-ins/log-server.ts'
import { SAMPLE_SERVICE_SETTINGS } from './sample-service.ts'

const HELP = `Usage: npm run bench -- contracts [--address ADDRESS]

Prints one JSON value per line: fold time and memory of contracts of several sizes; the time from the append of a
contract until it is in effect at the last of 6 followers, compared with a plain reader of the log; and the start of a
follower without state, with and without a checkpoint.`
const FOLLOWER_COUNT = 6
const VERSION_COUNT = 200
const WARM_UP_VERSIONS = 20
const STREAM_LENGTHS = [1_000, 5_000, 20_000]
const TARGETS_PER_SERVICE = 12
const SERVICE_COUNTS = [1, 10, 100]
const FOLD_COUNT = 200
/** Buffers are freed only some rounds after the objects that referred to them. */
const GC_ROUNDS = 4
const FULL_SIZE = { customers: 100, servicesEach: 28 }
const CHANGES_PER_DAY = 55_000
const DAY_S = 86_400
const clock = createHostClock()

/** Builds a target whose address and port follow no pattern, so that the contract compresses like a real one. */
function buildTarget (name: string): object {
  const [a = 0, b = 0, c = 0, d = 0] = createHash('sha256').update(name).digest()
  return { id: `${a.toString(16)}${b.toString(16)}-${name}`, address: `10.${a}.${b}.${c}`, port: 8_000 + d, zone: `z${d % 4}` }
}

function buildService (name: string): object {
  return {
    targets: Array.from({ length: TARGETS_PER_SERVICE }, (_value, index) => buildTarget(`${name}-${index}`)),
    ...SAMPLE_SERVICE_SETTINGS,
    operations: [
      { name: 'status', method: 'GET', path: '/slots/:slot', deadlineMs: 1000, repeatable: true },
      { name: 'charge', method: 'POST', path: '/slots/:slot/charge', deadlineMs: 1000, repeatable: false, key: { from: 'header' } }
    ]
  }
}

function buildServices (customer: string, count: number): object {
  return Object.fromEntries(Array.from({ length: count }, (_value, index) => [`service-${index}`, buildService(`${customer}-${index}`)]))
}

function createRecord (customer: string, version: number, serviceCount: number): PublishRecord {
  const text = JSON.stringify({
    customer,
    version,
    basedOn: version - 1,
    effectiveAt: '2020-01-01T00:00:00Z',
    limits: { requestsPerSecond: 100 + version, concurrentRequests: 50 },
    entries: { largestCount: 6, addressLifetimeMs: 5000 },
    onceWindowMs: 86_400_000,
    services: buildServices(customer, serviceCount)
  }, undefined, 2)
  return {
    type: 'contract',
    v: 1,
    nonce: toBrand<Nonce>(`${customer}-${version}`),
    basedOnNonce: version === 1 ? '' : toBrand<Nonce>(`${customer}-${version - 1}`),
    operator: 'bench',
    publishedAtMs: clock.wallMs(),
    packed: encodeText(text)
  }
}

function getQuantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** Prints figures as a line of JSON, rounded to 3 decimal places. */
function printFigures (name: string, figures: object): void {
  const rounded = Object.entries(figures).map(([key, value]) => [key, typeof value === 'number' ? Math.round(value * 1_000) / 1_000 : value])
  console.log(JSON.stringify({ name, ...Object.fromEntries(rounded) }))
}

/** Resolves when the follower has this version of a contract, or a later one, in effect. */
function waitForVersion (follower: ContractFollower, version: number): Promise<void> {
  return new Promise((resolve) => {
    const stop = follower.watchContracts((contract) => {
      if (contract.version < version) return
      stop()
      resolve()
    })
  })
}

/** Measures the time from the append of a contract until the last follower has it in effect, and until a plain reader receives it. */
async function measureTimeToEffect (server: LogServer): Promise<void> {
  const logs = Array.from({ length: FOLLOWER_COUNT + 1 }, () => createHttpLogClient({ url: server.url, clock, appendsPerSecond: 1_000 }))
  const [readerLog, ...followerLogs] = logs
  if (!readerLog) return
  const followers = followerLogs.map((log) => createContractFollower({ log, clock, audit: { record: () => {} } }))
  for (const follower of followers) follower.start()
  await Promise.all(followers.map((follower) => follower.waitUntilReady()))
  const lastFollowerMs: number[] = []
  const readerMs: number[] = []
  for (let version = 1; version <= VERSION_COUNT; version++) {
    const reading = readerLog.read(CONTRACT_STREAM, toBrand<Offset>(version - 1), { waitMs: 2_000 })
    const inEffect = followers.map((follower) => waitForVersion(follower, version))
    await clock.wait(5)
    const startMs = clock.monotonicMs()
    const readerDone = reading.then(() => clock.monotonicMs() - startMs)
    await readerLog.append(CONTRACT_STREAM, encodeStreamRecord(createRecord('c', version, 1)))
    await Promise.all(inEffect)
    if (version <= WARM_UP_VERSIONS) continue
    lastFollowerMs.push(clock.monotonicMs() - startMs)
    readerMs.push(await readerDone)
  }
  printFigures('append to in effect at the last of 6 followers, ms', {
    median: getQuantile(lastFollowerMs, 0.5),
    p99: getQuantile(lastFollowerMs, 0.99),
    bareReaderMedian: getQuantile(readerMs, 0.5),
    ratioOfMedians: getQuantile(lastFollowerMs, 0.5) / getQuantile(readerMs, 0.5)
  })
  await Promise.all(followers.map((follower) => follower.close()))
  await Promise.all(logs.map((log) => log.close()))
}

/** Measures the start of a follower without state, by number of versions, with and without a checkpoint. */
async function measureStart (address: string): Promise<void> {
  for (const hasCheckpoint of [false, true]) {
    for (const length of STREAM_LENGTHS) {
      const server = await startLogServer({ address, port: 0 })
      for (let version = 1; version <= length; version++) server.store.appendRecord(CONTRACT_STREAM, encodeStreamRecord(createRecord('c', version, 1)))
      const log = createHttpLogClient({ url: server.url, clock })
      if (hasCheckpoint) await appendCheckpoint(server, log)
      const follower = createContractFollower({ log, clock, audit: { record: () => {} }, scanLength: hasCheckpoint ? 500 : length + 1 })
      const startMs = clock.monotonicMs()
      follower.start()
      await follower.waitUntilReady()
      printFigures('follower without state ready, ms', { versions: length, hasCheckpoint, ms: clock.monotonicMs() - startMs })
      await follower.close()
      await log.close()
      await server.close()
    }
  }
}

/** Appends a checkpoint, written by a follower that has read the complete stream. */
async function appendCheckpoint (server: LogServer, log: ReturnType<typeof createHttpLogClient>): Promise<void> {
  const before = server.store.readBounds(CONTRACT_STREAM).next
  const writer = createContractFollower({ log, clock, audit: { record: () => {} }, scanLength: before + 1, checkpointEveryRecords: 1, checkpointJitterMs: 0 })
  writer.start()
  while (server.store.readBounds(CONTRACT_STREAM).next === before) await clock.wait(20)
  await writer.close()
}

function measureHeap (): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc')
  for (let round = 0; round < GC_ROUNDS; round++) collect()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Measures fold time and memory of one contract, by number of targets. */
function measureSizes (): void {
  // The first fold also initializes the libraries; it is not measured.
  foldPublish(new Map(), createRecord('warm-up', 1, 1), toBrand<Offset>(0))
  for (const services of SERVICE_COUNTS) {
    const data = Array.from({ length: FOLD_COUNT }, (_value, index) => encodeStreamRecord(createRecord(`c${index}`, 1, services)))
    const state: FoldState = new Map()
    const beforeBytes = measureHeap()
    const times = data.map((bytes, index) => {
      const startMs = clock.monotonicMs()
      const record = decodeStreamRecord(bytes)._unsafeUnwrap()
      if (record.type === 'contract') foldPublish(state, record, toBrand<Offset>(index))
      return clock.monotonicMs() - startMs
    })
    const bytes = (measureHeap() - beforeBytes) / FOLD_COUNT
    printFigures('one contract', { targets: services * TARGETS_PER_SERVICE, foldMedianMs: getQuantile(times, 0.5), foldP99Ms: getQuantile(times, 0.99), memoryKb: bytes / 1_024, recordBytes: data[0]?.length, held: state.size })
  }
}

/** Measures memory, checkpoint and cost of changes with the contracts of 100 customers with 28 services each. */
function measureFullSize (): void {
  const { customers, servicesEach } = FULL_SIZE
  const state: FoldState = new Map()
  const beforeBytes = measureHeap()
  let recordBytes = 0
  const startMs = clock.monotonicMs()
  for (let index = 0; index < customers; index++) {
    const record = createRecord(`c${index}`, 1, servicesEach)
    recordBytes += record.packed.length
    foldPublish(state, record, toBrand<Offset>(index))
  }
  const foldMs = clock.monotonicMs() - startMs
  const memoryBytes = measureHeap() - beforeBytes
  const parts = buildCheckpoint(state, toBrand<Offset>(customers), 'bench', 'x')
  const encoded = parts.map(encodeStreamRecord)
  const buildStartMs = clock.monotonicMs()
  buildState(parts.flatMap((part) => part.schedules), parts[0]?.digest ?? '')._unsafeUnwrap()
  const changesPerSecond = CHANGES_PER_DAY / DAY_S
  printFigures('full size', {
    services: customers * servicesEach,
    targets: customers * servicesEach * TARGETS_PER_SERVICE,
    memoryMb: memoryBytes / 1_048_576,
    checkpointParts: parts.length,
    checkpointKb: encoded.reduce((sum, { length }) => sum + length, 0) / 1_024,
    loadCheckpointMs: clock.monotonicMs() - buildStartMs,
    coreShareOfChanges: changesPerSecond * foldMs / customers / 1_000,
    bytesPerSecondOfChanges: changesPerSecond * recordBytes / customers
  })
}

/** Runs the bench from the command line; returns the exit code. */
export async function runContractsBench (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { address: { type: 'string', default: '127.0.0.1' }, help: { type: 'boolean', default: false } } })
  if (values.help) {
    console.log(HELP)
    return 0
  }
  // Memory is measured first, while the process holds no other data.
  measureSizes()
  measureFullSize()
  const server = await startLogServer({ address: values.address, port: 0 })
  await measureTimeToEffect(server)
  await server.close()
  await measureStart(values.address)
  return 0
}
