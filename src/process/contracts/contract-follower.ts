/**
 * Follows the contract stream: reads its records, folds them and puts contracts into force when they are due.
 */
import { randomUUID } from 'node:crypto'
import type { Clock } from '../../clock.ts'
import type { Offset } from '../../types.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import type { LogBounds, LogClient } from '../log-client.ts'
import { createCheckpointWriter } from './checkpoint-writer.ts'
import type { CheckpointWriter } from './checkpoint-writer.ts'
import { CONTRACT_STREAM, createContractBook } from './contract-book.ts'
import type { ContractBook } from './contract-book.ts'
import { createContractIntake, hasAllVersions } from './contract-intake.ts'
import type { ContractIntake } from './contract-intake.ts'
import { loadContracts } from './contract-loader.ts'
import type { ContractState } from './contract-state.ts'

/** What a follower needs. */
export interface ContractFollowerOptions {
  log: LogClient
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  /** Names this process on checkpoints; unique for each run. Default: a random name. */
  writer?: string
  /** How long one read waits for news, in ms. Default 1,500: a read that went silent is noticed in time. */
  pollMs?: number
  /** The longest pause after a failed read, in ms; half of it is random. Default 500. */
  retryMs?: number
  /** The longest time between two checkpoints, in ms; below a quarter of the log's retention. Default one hour. */
  checkpointEveryMs?: number
  /** The most records between two checkpoints. Default 1,000. */
  checkpointEveryRecords?: number
  /** The longest random pause before a checkpoint or a vote on one, in ms. Default 5,000. */
  checkpointJitterMs?: number
  /** Offsets that are first searched for a checkpoint, from the end of the stream. Default 2,000. */
  scanLength?: number
  /** Gives numbers from 0 up to 1. */
  random?: () => number
}

/** A contract state that follows the log by itself. */
export interface ContractFollower extends ContractState {
  /** Begins to follow; calling it again does nothing. */
  start(): void
  /** Resolves when every record that the log held at the start has been folded, or a peer has passed its records on. */
  waitUntilReady(): Promise<void>
  /** Everything below this offset has been read from the log itself, not only from peers. */
  getVerifiedOffset(): Offset
  close(): Promise<void>
}

const DEFAULTS = {
  pollMs: 1_500,
  retryMs: 500,
  checkpointEveryMs: 3_600_000,
  checkpointEveryRecords: 1_000,
  checkpointJitterMs: 5_000
}
const READ_LIMIT = 500
/** How often dates are looked at, in ms; a request looks at its customer's own. */
const DATE_CHECK_MS = 500

interface FollowerParts {
  options: ContractFollowerOptions & typeof DEFAULTS & { random: () => number }
  book: ContractBook
  intake: ContractIntake
  checkpointWriter: CheckpointWriter
  signal: AbortSignal
  markReady: () => void
  isReady: () => boolean
}

async function watchDates ({ book, options, signal }: FollowerParts): Promise<void> {
  while (!signal.aborted) {
    await options.clock.wait(DATE_CHECK_MS, signal)
    book.inForce.updateWaiting()
  }
}

async function waitForRetry ({ options, signal }: FollowerParts): Promise<void> {
  await options.clock.wait(options.retryMs * (0.5 + options.random() / 2), signal)
}

/** Begins anew from what the log holds; false when that could not be done now. */
async function loadAnew (parts: FollowerParts, reason: string, canGoBack: boolean): Promise<boolean> {
  const { options, book, intake, signal } = parts
  const before = book.getNextOffset()
  const loaded = await loadContracts(options.log, {
    scanLength: options.scanLength,
    canUse: (_checkpoint, state) => canGoBack || hasAllVersions(book, state)
  })
  // Peers may have passed on newer records meanwhile; then the log is read from where they are verified.
  if (signal.aborted || loaded.isErr() || (before !== book.getNextOffset() && !canGoBack)) return false
  if (!loaded.value) return false
  if (loaded.value.nextOffset < before && !canGoBack) return false
  intake.replaceState(loaded.value, canGoBack)
  if (parts.isReady()) options.audit.record({ type: 'contracts-reloaded', offset: loaded.value.nextOffset, reason })
  return true
}

async function loadUntilDone (parts: FollowerParts, reason: string, canGoBack: boolean): Promise<void> {
  while (!parts.signal.aborted && !await loadAnew(parts, reason, canGoBack)) await waitForRetry(parts)
}

/** Goes on after records have aged out unread. */
async function handleGap (parts: FollowerParts): Promise<void> {
  const { options, book, intake, signal } = parts
  const bounds = await options.log.readBounds(CONTRACT_STREAM)
  if (bounds.isErr()) return waitForRetry(parts)
  // Peers have passed on what aged out; only its check against the log is lost.
  if (book.getNextOffset() >= bounds.value.earliest) return intake.skipVerifying()
  if (!signal.aborted && !await loadAnew(parts, 'records had aged out before they were read', false)) await waitForRetry(parts)
}

/** Waits until there is a place to begin: in the log, or in what a peer has passed on. */
async function findStart (parts: FollowerParts): Promise<void> {
  const { book, signal } = parts
  while (!signal.aborted && book.getNextOffset() === 0) {
    if (await loadAnew(parts, 'started', false)) return
    await waitForRetry(parts)
  }
}

async function watchStream (parts: FollowerParts): Promise<void> {
  const { options, book, intake, checkpointWriter, signal } = parts
  await findStart(parts)
  let writing: Promise<void> | undefined
  const writeCheckpoint = (bounds: LogBounds): void => {
    writing ??= checkpointWriter.writeWhenDue(bounds).catch(() => {}).finally(() => { writing = undefined })
  }
  while (!signal.aborted) {
    // Until the end of the stream has been seen, an empty answer is news as well.
    const waitMs = parts.isReady() ? options.pollMs : 0
    const page = await options.log.read(CONTRACT_STREAM, intake.getReadOffset(), { limit: READ_LIMIT, waitMs, signal })
    if (signal.aborted) break
    if (page.isErr()) {
      if (page.error.kind === 'log-gap') await handleGap(parts)
      else await waitForRetry(parts)
    } else if (!intake.addPage(page.value)) {
      await loadUntilDone(parts, 'a peer had passed on what the log does not hold', true)
    } else if (intake.isStartRefused()) {
      await loadUntilDone(parts, 'other entries found the checkpoint wrong that this one started from', true)
    } else if (book.getNextOffset() >= page.value.bounds.next) {
      parts.markReady()
      writeCheckpoint(page.value.bounds)
    }
  }
  await writing
}

function createReadiness (onReady: () => void) {
  let isReady = false
  let resolveReady: () => void = () => {}
  const whenReady = new Promise<void>((resolve) => { resolveReady = resolve })
  return {
    whenReady,
    isReady: () => isReady,
    markReady (): void {
      if (isReady) return
      isReady = true
      onReady()
      resolveReady()
    }
  }
}

/** Creates a follower of the contract stream; it reads nothing before `start`. */
export function createContractFollower (given: ContractFollowerOptions): ContractFollower {
  const options = { ...DEFAULTS, ...given, random: given.random ?? Math.random }
  const { clock, audit } = options
  const stop = new AbortController()
  const book = createContractBook({ clock, audit })
  const intake = createContractIntake({ book, clock, audit })
  const checkpointWriter = createCheckpointWriter({
    ...options,
    book,
    intake,
    writer: options.writer ?? randomUUID(),
    everyMs: options.checkpointEveryMs,
    everyRecords: options.checkpointEveryRecords,
    jitterMs: options.checkpointJitterMs
  })
  const readiness = createReadiness(book.startAudit)
  const parts: FollowerParts = { options, book, intake, checkpointWriter, signal: stop.signal, ...readiness }
  let running: Promise<unknown> | undefined
  intake.watchFindings((finding) => {
    if (readiness.isReady()) checkpointWriter.voteOn(finding, stop.signal).catch(() => {})
  })

  return {
    start () {
      running ??= Promise.all([watchStream(parts), watchDates(parts)])
    },
    waitUntilReady: () => readiness.whenReady,
    getVerifiedOffset: intake.getReadOffset,
    async close () {
      stop.abort()
      await running
    },
    getContract: book.getContract,
    listContracts: book.listContracts,
    getNextOffset: book.getNextOffset,
    listRecords: intake.listRecords,
    addPeerRecords (previousOffset, records) {
      const added = intake.addPeerRecords(previousOffset, records)
      if (added > 0) readiness.markReady()
      return added
    },
    watchContracts: book.inForce.watchContracts
  }
}
