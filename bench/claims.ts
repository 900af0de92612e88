/**
 * Measures what claims cost: latency and appends at several rates, memory, the start of a blank book, and other ways.
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
const BATCH_CLAIMS = 500
const UNLIMITED_APPENDS = 100_000
const CUSTOMER = 'bench' as CustomerId
const SERVICE = 'service' as ServiceId
const OUTCOME = { status: 201, headers: { 'content-type': 'application/json' }, body: Buffer.alloc(100, 'x') }
const MS_PER_SECOND = 1_000
const CLAIMS_PER_UNIT = 100_000
const BYTES_PER_MB = 1_000_000

/** What to measure. */
export interface ClaimBenchOptions {
  /** The folder with the bundled programs. */
  dist: string
  /** Claims a second, over six entries. */
  rates: readonly number[]
  /** How long each rate is kept up, in ms. */
  durationMs: number
  /** Numbers of claim streams to compare. */
  partitionCounts: readonly number[]
}

/** What one rate cost. */
export interface RateReport {
  rate: number
  partitions: number
  groupCommit: boolean
  /** Claims that were asked for and admitted in the measured time. */
  asked: number
  admitted: number
  refused: number
  /** Time from asking to the verdict of admitted claims, in ms. */
  medianMs: number
  p99Ms: number
  /** Appends a second at the log, outcomes included. */
  appendsPerSecond: number
  /** Processor time of the six books together, as a share of one core. */
  coreShare: number
}

/** All figures. */
export interface ClaimBenchReport {
  rates: RateReport[]
  memory: { claims: number, withOutcome: boolean, megabytes: number }[]
  blankStart: { claims: number, from: string, ms: number }[]
  otherWays: { way: string, claims: number, medianMs: number, p99Ms: number, appendsPerClaim: number }[]
}

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
      const answer = await request(`${url}/control`, { method: 'POST', body: JSON.stringify(faults), headers: { 'content-type': 'application/json' } })
      await answer.body.dump()
    },
    async countAppends () {
      const answer = await request(`${url}/control`)
      return (await answer.body.json() as { counts: { appends: number } }).counts.appends
    }
  }
}

function findQuantile (sorted: readonly number[], share: number): number {
  return Math.round((sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0) * 100) / 100
}

const clock = createHostClock()

interface BenchBooks { books: LogClaimStore[], clients: LogHttpClient[], close(): Promise<void> }

async function startBooks (url: string, partitions: number, largestBatch: number): Promise<BenchBooks> {
  const clients = Array.from({ length: ENTRY_COUNT }, () => createHttpLogClient({ url, clock }))
  const books = clients.map((log, index) => createLogClaimStore({
    log, clock, entry: `e${index}` as EntryId, incarnation: `bench-${partitions}-${largestBatch}-${index}-${Date.now()}` as Incarnation, partitions, maxBatchEntries: largestBatch
  }))
  await Promise.all(books.map((book) => book.waitUntilReady()))
  return {
    books,
    clients,
    async close () {
      await Promise.all(books.map((book) => book.close()))
      await Promise.all(clients.map((client) => client.close()))
    }
  }
}

let keysMade = 0

function createKey (): KeyHash {
  return hashKey(CUSTOMER, SERVICE, 'operation', `key-${process.pid}-${keysMade++}`)
}

const REQUEST_DIGEST = hashRequest('POST', '/x', Buffer.from('body'))

async function measureRate (log: BenchLog, rate: number, partitions: number, groupCommit: boolean, durationMs: number): Promise<RateReport> {
  const { books, close } = await startBooks(log.url, partitions, groupCommit ? BATCH_CLAIMS : 1)
  const latencies: number[] = []
  const counts = { asked: 0, refused: 0 }
  const running: Promise<void>[] = []
  const claimOne = async (isMeasured: boolean): Promise<void> => {
    const keyHash = createKey()
    const book = books[computePartition(keyHash, partitions) % ENTRY_COUNT]!
    const askedMs = clock.monotonicMs()
    const verdict = await book.claimKey({ customer: CUSTOMER, service: SERVICE, keyHash, requestDigest: REQUEST_DIGEST, claimWindowMs: WINDOW_MS, deadlineMs: askedMs + 5_000 })
    if (verdict.isOk() && verdict.value.kind === 'admitted') {
      verdict.value.claim.recordResponse(OUTCOME)
      if (isMeasured) latencies.push(clock.monotonicMs() - askedMs)
    } else if (isMeasured) {
      counts.refused += 1
    }
  }
  const startMs = clock.monotonicMs()
  let issued = 0
  let appendsBefore = 0
  let cpuBefore = process.cpuUsage()
  let isMeasured = false
  for (let passedMs = 0; passedMs < WARM_UP_MS + durationMs; passedMs = clock.monotonicMs() - startMs) {
    if (!isMeasured && passedMs >= WARM_UP_MS) {
      isMeasured = true
      appendsBefore = await log.countAppends()
      cpuBefore = process.cpuUsage()
    }
    const due = Math.floor(passedMs * rate / MS_PER_SECOND)
    for (; issued < due; issued++) {
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
    if (withOutcome) entries.push({ kind: 'outcome', seq: firstSeq + index, key, outcome: OUTCOME })
  }
  return entries
}

function measureHeapBytes (): number {
  global.gc?.()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Measures the memory of an index; start Node with --expose-gc. */
function measureMemory (claims: number, withOutcome: boolean): { claims: number, withOutcome: boolean, megabytes: number } {
  const before = measureHeapBytes()
  const index = createClaimIndex({ from: 'first-record' })
  const atMs = Date.now()
  for (let done = 0; done < claims; done += BATCH_CLAIMS) {
    const keys = Array.from({ length: BATCH_CLAIMS }, createKey)
    index.applyRecord({ type: 'claims', v: 1, writer: 'bench', atMs, entries: createEntries(BATCH_CLAIMS, done, withOutcome, keys) }, atMs)
  }
  const megabytes = Math.round((measureHeapBytes() - before) / BYTES_PER_MB * 10) / 10
  if (index.countKeys() !== claims) throw new Error(`The index holds ${index.countKeys()} claims, not ${claims}.`)
  return { claims, withOutcome, megabytes }
}

/** Writes claims with outcomes to all streams. */
async function writeClaims (log: LogHttpClient, claims: number, partitions: number): Promise<void> {
  const keysOf = Array.from({ length: partitions }, (): KeyHash[] => [])
  for (let index = 0; index < claims; index++) {
    const key = createKey()
    keysOf[computePartition(key, partitions)]!.push(key)
  }
  for (const [partition, keys] of keysOf.entries()) {
    for (let done = 0; done < keys.length; done += BATCH_CLAIMS) {
      const part = keys.slice(done, done + BATCH_CLAIMS)
      const record = encodeClaimRecord({ type: 'claims', v: 1, writer: `bench-${partition}`, atMs: Date.now(), entries: createEntries(part.length, done, true, part) })
      const written = await log.append(formatClaimStream(partition), record)
      if (written.isErr()) throw new Error(written.error.message)
    }
  }
}

async function measureReady (url: string): Promise<{ ms: number, keys: number, close(): Promise<void> }> {
  const log = createHttpLogClient({ url, clock, appendsPerSecond: UNLIMITED_APPENDS })
  const startMs = clock.monotonicMs()
  const book = createLogClaimStore({ log, clock, entry: 'e' as EntryId, incarnation: `blank-${startMs}` as Incarnation, partitions: 16, retentionMs: 40_000, appendsPerSecond: UNLIMITED_APPENDS })
  await book.waitUntilReady()
  return {
    ms: Math.round(clock.monotonicMs() - startMs),
    keys: book.report().keys,
    async close () {
      await book.close()
      await log.close()
    }
  }
}

async function measureBlankStart (dist: string, claims: number): Promise<ClaimBenchReport['blankStart']> {
  const partitions = 16
  const log = await startLog(dist, 3)
  try {
    const client = createHttpLogClient({ url: log.url, clock, appendsPerSecond: UNLIMITED_APPENDS })
    await writeClaims(client, claims, partitions)
    const streams = Array.from({ length: partitions }, (_, partition) => formatClaimStream(partition))
    const afterClaims = await Promise.all(streams.map(async (stream) => (await client.readBounds(stream))._unsafeUnwrap().next))
    const first = await measureReady(log.url)
    // The book writes a checkpoint of each stream at its first check.
    for (let tries = 0; tries < 100 && !await hasCheckpoints(client, streams, afterClaims); tries++) await clock.wait(200)
    await first.close()
    for (const [index, stream] of streams.entries()) await log.control({ dropBefore: { stream, offset: afterClaims[index] } })
    const second = await measureReady(log.url)
    await second.close()
    await client.close()
    if (first.keys !== claims || second.keys !== claims) throw new Error(`Blank books hold ${first.keys} and ${second.keys} claims, not ${claims}.`)
    return [{ claims, from: 'claims and outcomes', ms: first.ms }, { claims, from: 'checkpoints', ms: second.ms }]
  } finally {
    await log.program.stop()
  }
}

async function hasCheckpoints (log: LogHttpClient, streams: readonly StreamName[], afterClaims: readonly Offset[]): Promise<boolean> {
  const PARTS_FOR_SURE = 20
  const grown = await Promise.all(streams.map(async (stream, index) => (await log.readBounds(stream))._unsafeUnwrap().next - afterClaims[index]!))
  await clock.wait(MS_PER_SECOND)
  return grown.every((parts) => parts > 0 && parts < PARTS_FOR_SURE * PARTS_FOR_SURE)
}

/** A conditional write chained by a token: the record counts only if it names the last record that counts. */
async function measureChained (log: BenchLog, writers: number, claimsEach: number): Promise<ClaimBenchReport['otherWays'][number]> {
  const stream = 'chained' as StreamName
  const latencies: number[] = []
  let appends = 0
  const claimChained = async (client: LogHttpClient, writer: number): Promise<void> => {
    const startMs = clock.monotonicMs()
    for (let isWon = false; !isWon;) {
      const bounds = (await client.readBounds(stream))._unsafeUnwrap()
      const offset = await client.append(stream, Buffer.from(JSON.stringify({ writer, after: bounds.next })))
      appends += 1
      if (offset.isErr()) continue
      // Another record that came in between has taken the token.
      isWon = offset.value === bounds.next
    }
    latencies.push(clock.monotonicMs() - startMs)
  }
  await Promise.all(Array.from({ length: writers }, async (_, writer) => {
    const client = createHttpLogClient({ url: log.url, clock, appendsPerSecond: LOG_APPENDS_PER_SECOND / writers })
    for (let claim = 0; claim < claimsEach; claim++) await claimChained(client, writer)
    await client.close()
  }))
  latencies.sort((a, b) => a - b)
  const claims = writers * claimsEach
  return { way: `token-chained conditional write, ${writers} writers on one stream`, claims, medianMs: findQuantile(latencies, 0.5), p99Ms: findQuantile(latencies, 0.99), appendsPerClaim: Math.round(appends / claims * 100) / 100 }
}

/** A key that only one process may ever serve: no write to the log. */
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
  return { way: 'key of one process, no log', claims, medianMs: findQuantile(latencies, 0.5), p99Ms: findQuantile(latencies, 0.99), appendsPerClaim: 0 }
}

/** Runs all measurements. */
export async function measureClaims (options: ClaimBenchOptions): Promise<ClaimBenchReport> {
  const report: ClaimBenchReport = { rates: [], memory: [], blankStart: [], otherWays: [] }
  for (const withOutcome of [false, true]) {
    for (const units of [1, 2, 4]) report.memory.push(measureMemory(units * CLAIMS_PER_UNIT, withOutcome))
  }
  report.otherWays.push(measureInProcess(CLAIMS_PER_UNIT))
  report.blankStart.push(...await measureBlankStart(options.dist, CLAIMS_PER_UNIT))
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
  for (const writers of [1, ENTRY_COUNT]) report.otherWays.push(await measureChained(log, writers, 50))
  await log.program.stop()
  return report
}

/** Runs the bench with its usual options and prints the figures; returns the exit code. */
export async function runClaimsBench (): Promise<number> {
  const report = await measureClaims({ dist: path.resolve('dist'), rates: [10, 100, 1_000, 5_000], durationMs: 4_000, partitionCounts: [6, 16] })
  console.log(JSON.stringify({ memory: report.memory, blankStart: report.blankStart, otherWays: report.otherWays }, undefined, 2))
  return 0
}
