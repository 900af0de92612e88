/**
 * Follows the contract stream: reads and folds its records, and applies contract versions when they are due.
 */
import { randomUUID } from 'node:crypto'
import type { Clock } from '../../clock.ts'
import type { Offset } from '../../types.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import type { LogBounds, LogClient } from '../log-client.ts'
import { createCheckpointWriter } from './checkpoint-writer.ts'
import type { CheckpointWriter } from './checkpoint-writer.ts'
import { CONTRACT_STREAM, createContractStore } from './contract-store.ts'
import type { ContractStore } from './contract-store.ts'
import { createContractIntake, hasAllVersions } from './contract-intake.ts'
import type { ContractIntake } from './contract-intake.ts'
import { loadContracts } from './contract-loader.ts'
import type { ContractState } from './contract-state.ts'

/** Options for a follower. */
export interface ContractFollowerOptions {
  log: LogClient
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  /** Identifies this process in checkpoints and votes; unique for each run. Default: a random name. */
  writer?: string
  /** Long-poll time of a read, in ms. Default 1,500; a short time detects a stalled read early. */
  pollMs?: number
  /** Maximum wait after a failed read, in ms; half of it is random. Default 500. */
  retryMs?: number
  /** Maximum time between checkpoints, in ms; must be below a quarter of the log's retention. Default one hour. */
  checkpointEveryMs?: number
  /** Maximum number of records between checkpoints. Default 1,000. */
  checkpointEveryRecords?: number
  /** Maximum random wait before writing a checkpoint or a vote, in ms. Default 5,000. */
  checkpointJitterMs?: number
  /** Number of offsets before the end of the stream that are searched first for a checkpoint. Default 2,000. */
  scanLength?: number
  /** Returns a number from 0 to below 1, for jitter. Default Math.random. */
  random?: () => number
}

/** A contract state that follows the log. */
export interface ContractFollower extends ContractState {
  /** Starts following; later calls have no effect. */
  start(): void
  /** Resolves when the follower has caught up with the log, or has applied records from a peer. */
  waitUntilReady(): Promise<void>
  /** Returns the offset below which every record has been read from the log and not only received from peers. */
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
/** Interval between checks for due versions, in ms; requests check for their own customer. */
const VERSION_CHECK_INTERVAL_MS = 500

interface FollowerParts {
  options: ContractFollowerOptions & typeof DEFAULTS & { random: () => number }
  store: ContractStore
  intake: ContractIntake
  checkpointWriter: CheckpointWriter
  signal: AbortSignal
  markReady: () => void
  isReady: () => boolean
}

async function applyDueVersions ({ store, options, signal }: FollowerParts): Promise<void> {
  while (!signal.aborted) {
    await options.clock.wait(VERSION_CHECK_INTERVAL_MS, signal)
    store.inEffect.updateScheduled()
  }
}

async function waitForRetry ({ options, signal }: FollowerParts): Promise<void> {
  await options.clock.wait(options.retryMs * (0.5 + options.random() / 2), signal)
}

/** Reloads the state from the log; returns false when that is not possible now. `canGoBack` allows an older state. */
async function reloadState (parts: FollowerParts, reason: string, canGoBack: boolean): Promise<boolean> {
  const { options, store, intake, signal } = parts
  const before = store.getNextOffset()
  const loaded = await loadContracts(options.log, {
    scanLength: options.scanLength,
    canUse: (_checkpoint, state) => canGoBack || hasAllVersions(store, state)
  })
  // Peers may have sent newer records meanwhile; reading then continues at the verified offset.
  if (signal.aborted || loaded.isErr() || (before !== store.getNextOffset() && !canGoBack)) return false
  if (!loaded.value) return false
  if (loaded.value.nextOffset < before && !canGoBack) return false
  intake.replaceState(loaded.value, canGoBack)
  if (parts.isReady()) options.audit.record({ type: 'contracts-reloaded', offset: loaded.value.nextOffset, reason })
  return true
}

async function reloadUntilDone (parts: FollowerParts, reason: string, canGoBack: boolean): Promise<void> {
  while (!parts.signal.aborted && !await reloadState(parts, reason, canGoBack)) await waitForRetry(parts)
}

/** Continues after retention has removed records that were not read. */
async function handleGap (parts: FollowerParts): Promise<void> {
  const { options, store, intake, signal } = parts
  const bounds = await options.log.readBounds(CONTRACT_STREAM)
  if (bounds.isErr()) return waitForRetry(parts)
  // Peers have sent the removed records; only their verification against the log is no longer possible.
  if (store.getNextOffset() >= bounds.value.earliest) return intake.skipVerifying()
  if (!signal.aborted && !await reloadState(parts, 'records had aged out before they were read', false)) await waitForRetry(parts)
}

/** Waits for an initial state, from the log or from a peer. */
async function findStart (parts: FollowerParts): Promise<void> {
  const { store, signal } = parts
  while (!signal.aborted && store.getNextOffset() === 0) {
    if (await reloadState(parts, 'started', false)) return
    await waitForRetry(parts)
  }
}

async function readStream (parts: FollowerParts): Promise<void> {
  const { options, store, intake, checkpointWriter, signal } = parts
  await findStart(parts)
  let writing: Promise<void> | undefined
  const writeCheckpoint = (bounds: LogBounds): void => {
    writing ??= checkpointWriter.writeWhenDue(bounds).catch(() => {}).finally(() => { writing = undefined })
  }
  while (!signal.aborted) {
    // Until the follower has caught up, an empty page must return at once, because it shows the end of the stream.
    const waitMs = parts.isReady() ? options.pollMs : 0
    const page = await options.log.read(CONTRACT_STREAM, intake.getReadOffset(), { limit: READ_LIMIT, waitMs, signal })
    if (signal.aborted) break
    if (page.isErr()) {
      if (page.error.kind === 'log-gap') await handleGap(parts)
      else await waitForRetry(parts)
    } else if (!intake.addPage(page.value)) {
      await reloadUntilDone(parts, 'a peer had passed on what the log does not hold', true)
    } else if (intake.isStartRejected()) {
      await reloadUntilDone(parts, 'other entries found the checkpoint wrong that this one started from', true)
    } else if (store.getNextOffset() >= page.value.bounds.next) {
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
  const store = createContractStore({ clock, audit })
  const intake = createContractIntake({ store, clock, audit })
  const checkpointWriter = createCheckpointWriter({
    ...options,
    store,
    intake,
    writer: options.writer ?? randomUUID(),
    everyMs: options.checkpointEveryMs,
    everyRecords: options.checkpointEveryRecords,
    maxJitterMs: options.checkpointJitterMs
  })
  const readiness = createReadiness(store.startAudit)
  const parts: FollowerParts = { options, store, intake, checkpointWriter, signal: stop.signal, ...readiness }
  let running: Promise<unknown> | undefined
  intake.watchFindings((finding) => {
    if (readiness.isReady()) checkpointWriter.voteOn(finding, stop.signal).catch(() => {})
  })

  return {
    start () {
      running ??= Promise.all([readStream(parts), applyDueVersions(parts)])
    },
    waitUntilReady: () => readiness.whenReady,
    getVerifiedOffset: intake.getReadOffset,
    async close () {
      stop.abort()
      await running
    },
    getContract: store.getContract,
    listContracts: store.listContracts,
    getNextOffset: store.getNextOffset,
    listRecords: intake.listRecords,
    addPeerRecords (previousOffset, records) {
      const added = intake.addPeerRecords(previousOffset, records)
      if (added > 0) readiness.markReady()
      return added
    },
    watchContracts: store.inEffect.watchContracts
  }
}
