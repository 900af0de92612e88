/**
 * Bench of claims: latency and appends at several rates, memory, the start of a claim store without state, and two
 * alternative designs for comparison.
 */
import path from 'node:path'
import { request } from 'undici'
import { createHostClock } from '../src/clock.ts'
import { createClaimIndex } from '../src/process/claims/claim-index.ts'
import { computePartition, hashKey, hashRequest } from '../src/process/claims/claim-keys.ts'
import { encodeClaimRecord } from '../src/process/claims/claim-record.ts'
import type { ClaimEntry } from '../src/process/claims/claim-record.ts'
import { createLogClaimStore, formatClaimStream } from '../src/process/claims/log-claim-store.ts'
import type { LogClaimStore } from '../src/process/claims/log-claim-store.ts'
import { createHttpLogClient } from '../src/process/log-http-client.ts'
import type { LogHttpClient } from '../src/process/log-http-client.ts'
import type { CustomerId, EntryId, Incarnation, KeyHash, Offset, ServiceId, StreamName } from '../src/types.ts'
import { startProgram } from '../replay/programs.ts'
import type { Program } from '../replay/programs.ts'
import { getLoopbackAddress } from '../test/support/addresses.ts'

const ENTRY_COUNT = 6
const WINDOW_MS = 86_400_000
const WARM_UP_MS = 1_000
const TICK_MS = 2
const LOG_PORT = 7_000
const LOG_APPENDS_PER_SECOND = 400
const CLAIMS_PER_BATCH = 500
const UNLIMITED_APPENDS = 100_000
const CUSTOMER = 'bench' as CustomerId
const SERVICE = 'service' as ServiceId
const STORED_RESPONSE = { status: 201, headers: { 'content-type': 'application/json' }, body: Buffer.alloc(100, 'x') }
const MS_PER_SECOND = 1_000
const CLAIMS_PER_UNIT = 100_000
const BYTES_PER_MB = 1_000_000

/** Options for the bench. */
export interface ClaimBenchOptions {
  /** The folder with the bundled programs. */
  dist: string
  /** Claims per second, over six entries. */
  rates: readonly number[]
  /** Measured time of each rate, in ms; a warm-up comes before it. */
  durationMs: number
  /** Numbers of claim streams to compare. */
  partitionCounts: readonly number[]
}

/** Figures of one rate, printed as JSON under these names. `groupCommit`: one append may hold several claims. */
export interface RateReport {
  rate: number
  partitions: number
  groupCommit: boolean
  /** Claims attempted in the measured time. */
  asked: number
  /** Attempts that were admitted. */
  admitted: number
  /** Attempts that were not admitted. */
  refused: number
  /** Time from the attempt to its result, of admitted claims, in ms. */
  medianMs: number
  p99Ms: number
  /** Appends to the log per second, those of stored responses included. */
  appendsPerSecond: number
  /** Processor time of the six claim stores together, as a share of one core. */
  coreShare: number
}

/** All figures, printed as JSON under these names. */
export interface ClaimBenchReport {
  rates: RateReport[]
  /** Memory of a claim index by number of claims, with and without stored responses. */
  memory: { claims: number, withOutcome: boolean, megabytes: number }[]
  /** Time until a claim store without state is ready, by what it reads from the log. */
  blankStart: { claims: number, from: string, ms: number }[]
  /** Alternative designs. */
  otherWays: { way: string, claims: number, medianMs: number, p99Ms: number, appendsPerClaim: number }[]
}

/** A log stand-in in a process of its own. */
interface BenchLog { url: string, program: Program, control(faults: unknown): Promise<void>, countAppends(): Promise<number> }

async function startLog (dist: string, index: number): Promise<BenchLog> {
  const address = getLoopbackAddress(index)
  const url = `http://${address}:${LOG_PORT}`
  const program = await startProgram({
    name: 'log', file: process.execPath, args: [path.join(dist, 'stand-in-log.cjs'), '--address', address, '--port', String(LOG_PORT)], readyText: 'ready'
  })
  return {
    url,
    program,
    async control (faults) {
      const response = await request(`${url}/control`, { method: 'POST', body: JSON.stringify(faults), headers: { 'content-type': 'application/json' } })
      await response.body.dump()
    },
    async countAppends () {
      const response = await request(`${url}/control`)
      return (await response.body.json() as { counts: { appends: number } }).counts.appends
    }
  }
}

function findQuantile (sorted: readonly number[], share: number): number {
  return Math.round((sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0) * 100) / 100
}

const clock = createHostClock()

interface EntryStores { claimStores: LogClaimStore[], clients: LogHttpClient[], close(): Promise<void> }

/** Starts a claim store for each entry and waits until all are ready. */
async function startStores (url: string, partitions: number, maxBatchEntries: number): Promise<EntryStores> {
  const clients = Array.from({ length: ENTRY_COUNT }, () => createHttpLogClient({ url, clock }))
  const claimStores = clients.map((log, index) => createLogClaimStore({
    log, clock, entry: `e${index}` as EntryId, incarnation: `bench-${partitions}-${maxBatchEntries}-${index}-${Date.now()}` as Incarnation, partitions, maxBatchEntries
  }))
  await Promise.all(claimStores.map((claimStore) => claimStore.waitUntilReady()))
  return {
    claimStores,
    clients,
    async close () {
      await Promise.all(claimStores.map((claimStore) => claimStore.close()))
      await Promise.all(clients.map((client) => client.close()))
    }
  }
}

let createdKeyCount = 0

function createKey (): KeyHash {
  return hashKey(CUSTOMER, SERVICE, 'operation', `key-${process.pid}-${createdKeyCount++}`)
}

const REQUEST_DIGEST = hashRequest('POST', '/x', Buffer.from('body'))

/** Claims keys at a fixed rate and measures the time until the result, appends and processor time. */
async function measureRate (log: BenchLog, rate: number, partitions: number, groupCommit: boolean, durationMs: number): Promise<RateReport> {
  const { claimStores, close } = await startStores(log.url, partitions, groupCommit ? CLAIMS_PER_BATCH : 1)
  const latencies: number[] = []
  const counts = { asked: 0, refused: 0 }
  const running: Promise<void>[] = []
  const claimOne = async (isMeasured: boolean): Promise<void> => {
    const keyHash = createKey()
    const claimStore = claimStores[computePartition(keyHash, partitions) % ENTRY_COUNT]!
    const requestedAtMs = clock.monotonicMs()
    const result = await claimStore.claimKey({ customer: CUSTOMER, service: SERVICE, keyHash, requestDigest: REQUEST_DIGEST, claimWindowMs: WINDOW_MS, deadlineMs: requestedAtMs + 5_000 })
    if (result.isOk() && result.value.kind === 'admitted') {
      result.value.claim.recordResponse(STORED_RESPONSE)
      if (isMeasured) latencies.push(clock.monotonicMs() - requestedAtMs)
    } else if (isMeasured) {
      counts.refused += 1
    }
  }
  const startMs = clock.monotonicMs()
  let startedCount = 0
  let appendsBefore = 0
  let cpuBefore = process.cpuUsage()
  let isMeasured = false
  for (let elapsedMs = 0; elapsedMs < WARM_UP_MS + durationMs; elapsedMs = clock.monotonicMs() - startMs) {
    if (!isMeasured && elapsedMs >= WARM_UP_MS) {
      isMeasured = true
      appendsBefore = await log.countAppends()
      cpuBefore = process.cpuUsage()
    }
    const dueCount = Math.floor(elapsedMs * rate / MS_PER_SECOND)
    for (; startedCount < dueCount; startedCount++) {
      if (isMeasured) counts.asked += 1
      running.push(claimOne(isMeasured))
    }
    await clock.wait(TICK_MS)
  }
  const { user, system } = process.cpuUsage(cpuBefore)
  const appends = await log.countAppends() - appendsBefore
  await Promise.all(running)
  await close()
  latencies.sort((a, b) => a - b)
  return {
    rate,
    partitions,
    groupCommit,
    ...counts,
    admitted: latencies.length,
    medianMs: findQuantile(latencies, 0.5),
    p99Ms: findQuantile(latencies, 0.99),
    appendsPerSecond: Math.round(appends / durationMs * MS_PER_SECOND),
    coreShare: Math.round((user + system) / durationMs / 10) / 100
  }
}

function createEntries (count: number, firstSeq: number, withOutcome: boolean, keys: readonly KeyHash[]): ClaimEntry[] {
  const entries: ClaimEntry[] = []
  for (let index = 0; index < count; index++) {
    const key = keys[index]!
    entries.push({ kind: 'claim', seq: firstSeq + index, key, digest: REQUEST_DIGEST, windowMs: WINDOW_MS })
    if (withOutcome) entries.push({ kind: 'outcome', seq: firstSeq + index, key, outcome: STORED_RESPONSE })
  }
  return entries
}

function measureHeapBytes (): number {
  global.gc?.()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Measures the memory of a claim index; without `--expose-gc` the figure is rough. */
function measureMemory (claims: number, withOutcome: boolean): { claims: number, withOutcome: boolean, megabytes: number } {
  const before = measureHeapBytes()
  const index = createClaimIndex({ from: 'first-record' })
  const atMs = Date.now()
  for (let done = 0; done < claims; done += CLAIMS_PER_BATCH) {
    const keys = Array.from({ length: CLAIMS_PER_BATCH }, createKey)
    index.applyRecord({ type: 'claims', v: 1, writer: 'bench', atMs, entries: createEntries(CLAIMS_PER_BATCH, done, withOutcome, keys) }, atMs)
  }
  const megabytes = Math.round((measureHeapBytes() - before) / BYTES_PER_MB * 10) / 10
  if (index.countKeys() !== claims) throw new Error(`The claim index holds ${index.countKeys()} claims, expected ${claims}`)
  return { claims, withOutcome, megabytes }
}

/** Writes claims with stored responses to all claim streams. */
async function writeClaims (log: LogHttpClient, claims: number, partitions: number): Promise<void> {
  const keysByPartition = Array.from({ length: partitions }, (): KeyHash[] => [])
  for (let index = 0; index < claims; index++) {
    const key = createKey()
    keysByPartition[computePartition(key, partitions)]!.push(key)
  }
  for (const [partition, keys] of keysByPartition.entries()) {
    for (let done = 0; done < keys.length; done += CLAIMS_PER_BATCH) {
      const part = keys.slice(done, done + CLAIMS_PER_BATCH)
      const record = encodeClaimRecord({ type: 'claims', v: 1, writer: `bench-${partition}`, atMs: Date.now(), entries: createEntries(part.length, done, true, part) })
      const written = await log.append(formatClaimStream(partition), record)
      if (written.isErr()) throw new Error(written.error.message)
    }
  }
}

/** Starts a claim store without state and measures the time until it is ready, in ms. */
async function measureReady (url: string): Promise<{ ms: number, keys: number, close(): Promise<void> }> {
  const log = createHttpLogClient({ url, clock, appendsPerSecond: UNLIMITED_APPENDS })
  const startMs = clock.monotonicMs()
  const claimStore = createLogClaimStore({ log, clock, entry: 'e' as EntryId, incarnation: `blank-${startMs}` as Incarnation, partitions: 16, retentionMs: 40_000, appendsPerSecond: UNLIMITED_APPENDS })
  await claimStore.waitUntilReady()
  return {
    ms: Math.round(clock.monotonicMs() - startMs),
    keys: claimStore.report().keys,
    async close () {
      await claimStore.close()
      await log.close()
    }
  }
}

/** Measures the start of a claim store, first from claims and stored responses, then from checkpoints only. */
async function measureStart (dist: string, claims: number): Promise<ClaimBenchReport['blankStart']> {
  const partitions = 16
  const log = await startLog(dist, 3)
  try {
    const client = createHttpLogClient({ url: log.url, clock, appendsPerSecond: UNLIMITED_APPENDS })
    await writeClaims(client, claims, partitions)
    const streams = Array.from({ length: partitions }, (_, partition) => formatClaimStream(partition))
    const afterClaims = await Promise.all(streams.map(async (stream) => (await client.readBounds(stream))._unsafeUnwrap().next))
    const first = await measureReady(log.url)
    // The claim store writes a checkpoint of each stream at its first check.
    for (let check = 0; check < 100 && !await hasCheckpoints(client, streams, afterClaims); check++) await clock.wait(200)
    await first.close()
    for (const [index, stream] of streams.entries()) await log.control({ dropBefore: { stream, offset: afterClaims[index] } })
    const second = await measureReady(log.url)
    await second.close()
    await client.close()
    if (first.keys !== claims || second.keys !== claims) throw new Error(`The claim stores hold ${first.keys} and ${second.keys} claims after the start, expected ${claims}`)
    return [{ claims, from: 'claims and stored responses', ms: first.ms }, { claims, from: 'checkpoints', ms: second.ms }]
  } finally {
    await log.program.stop()
  }
}

/** Returns whether every stream has grown by the parts of a checkpoint, and waits a second for the parts still to come. */
async function hasCheckpoints (log: LogHttpClient, streams: readonly StreamName[], afterClaims: readonly Offset[]): Promise<boolean> {
  // A stream that grew by 20 x 20 records or more has received something other than a checkpoint.
  const MAX_PARTS_SQRT = 20
  const newRecordCounts = await Promise.all(streams.map(async (stream, index) => (await log.readBounds(stream))._unsafeUnwrap().next - afterClaims[index]!))
  await clock.wait(MS_PER_SECOND)
  return newRecordCounts.every((count) => count > 0 && count < MAX_PARTS_SQRT * MAX_PARTS_SQRT)
}

/**
 * Measures an alternative design, a conditional write with a token: a record is valid only if it names the end of the
 * stream at which it is appended.
 */
async function measureConditionalWrite (log: BenchLog, writers: number, claimsEach: number): Promise<ClaimBenchReport['otherWays'][number]> {
  const stream = 'chained' as StreamName
  const latencies: number[] = []
  let appends = 0
  const claimWithToken = async (client: LogHttpClient, writer: number): Promise<void> => {
    const startMs = clock.monotonicMs()
    for (let isValid = false; !isValid;) {
      const bounds = (await client.readBounds(stream))._unsafeUnwrap()
      const offset = await client.append(stream, Buffer.from(JSON.stringify({ writer, after: bounds.next })))
      appends += 1
      if (offset.isErr()) continue
      // A record of another writer in between makes the token stale.
      isValid = offset.value === bounds.next
    }
    latencies.push(clock.monotonicMs() - startMs)
  }
  await Promise.all(Array.from({ length: writers }, async (_, writer) => {
    const client = createHttpLogClient({ url: log.url, clock, appendsPerSecond: LOG_APPENDS_PER_SECOND / writers })
    for (let claim = 0; claim < claimsEach; claim++) await claimWithToken(client, writer)
    await client.close()
  }))
  latencies.sort((a, b) => a - b)
  const claims = writers * claimsEach
  return { way: `conditional write with a token, ${writers} writers on one stream`, claims, medianMs: findQuantile(latencies, 0.5), p99Ms: findQuantile(latencies, 0.99), appendsPerClaim: Math.round(appends / claims * 100) / 100 }
}

/** Measures an alternative design in which each key belongs to one process, so that nothing is written to the log. */
function measureInProcess (claims: number): ClaimBenchReport['otherWays'][number] {
  const seen = new Map<KeyHash, number>()
  const latencies: number[] = []
  for (let claim = 0; claim < claims; claim++) {
    const startMs = clock.monotonicMs()
    const key = createKey()
    if (!seen.has(key)) seen.set(key, claim)
    latencies.push(clock.monotonicMs() - startMs)
  }
  latencies.sort((a, b) => a - b)
  return { way: 'each key owned by one process, no log', claims, medianMs: findQuantile(latencies, 0.5), p99Ms: findQuantile(latencies, 0.99), appendsPerClaim: 0 }
}

/** Runs all measurements; the figures of each rate are also printed when they are ready. */
export async function measureClaims (options: ClaimBenchOptions): Promise<ClaimBenchReport> {
  const report: ClaimBenchReport = { rates: [], memory: [], blankStart: [], otherWays: [] }
  for (const withOutcome of [false, true]) {
    for (const units of [1, 2, 4]) report.memory.push(measureMemory(units * CLAIMS_PER_UNIT, withOutcome))
  }
  report.otherWays.push(measureInProcess(CLAIMS_PER_UNIT))
  report.blankStart.push(...await measureStart(options.dist, CLAIMS_PER_UNIT))
  let logIndex = 4
  for (const partitions of options.partitionCounts) {
    for (const groupCommit of [true, false]) {
      for (const rate of options.rates) {
        const log = await startLog(options.dist, logIndex++)
        await log.control({ largestAppendsPerSecond: LOG_APPENDS_PER_SECOND })
        const figures = await measureRate(log, rate, partitions, groupCommit, options.durationMs)
        await log.program.stop()
        report.rates.push(figures)
        console.log(JSON.stringify(figures))
      }
    }
  }
  const log = await startLog(options.dist, 100)
  await log.control({ largestAppendsPerSecond: LOG_APPENDS_PER_SECOND })
  for (const writers of [1, ENTRY_COUNT]) report.otherWays.push(await measureConditionalWrite(log, writers, 50))
  await log.program.stop()
  return report
}

/** Runs the bench with its default options and prints the figures as JSON; returns the exit code. */
export async function runClaimsBench (): Promise<number> {
  const report = await measureClaims({ dist: path.resolve('dist'), rates: [10, 100, 1_000, 5_000], durationMs: 4_000, partitionCounts: [6, 16] })
  console.log(JSON.stringify({ memory: report.memory, blankStart: report.blankStart, otherWays: report.otherWays }, undefined, 2))
  return 0
}
