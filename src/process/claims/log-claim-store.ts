/**
 * Claim store on the platform's log: the order of the log decides which claim of a key is granted.
 * docs/design-claims.md shows why each key is admitted at most once.
 */
import type { Clock } from '../../clock.ts'
import { toBrand } from '../../types.ts'
import type { EntryId, Incarnation, Offset, StreamName } from '../../types.ts'
import type { LogClient } from '../log-client.ts'
import type { ClaimStore } from './claim-store.ts'
import { computePartition } from './claim-keys.ts'
import { createClaimPartition } from './claim-partition.ts'
import type { ClaimPartition, ClaimPartitionReport } from './claim-partition.ts'
import { createTurnPacer } from './turn-pacer.ts'

/** Options for a claim store on the log. */
export interface LogClaimStoreOptions {
  log: LogClient
  clock: Clock
  /** The entry of this process; used in messages only. */
  entry: EntryId
  /** Identifies this run of the process; never reused. */
  incarnation: Incarnation
  /** Number of claim streams; must be the same in all processes and never change. */
  partitions: number
  /** Maximum appends a second of this process. Default 30. */
  appendsPerSecond?: number
  /** Maximum number of entries in one append; 1 disables group commit. Default 500. */
  maxBatchEntries?: number
  /** Maximum time that an attempt waits for its result, in ms. Default 2,000. */
  claimWaitMs?: number
  /** Maximum time that a duplicate attempt waits for the response to the admitted one, in ms. Default 1,000. */
  responseWaitMs?: number
  /** Long-poll time of a read of the log, in ms. Default 10,000. */
  pollMs?: number
  /** How long tombstones wait for claims to share an append with, in ms. Default 50. */
  tombstoneLingerMs?: number
  /** How long responses wait for claims to share an append with, in ms; this process returns them at once. Default 500. */
  responseLingerMs?: number
  /** Maximum number of keys in memory; claims beyond it are rejected. Default 1,000,000. */
  maxKeyCount?: number
  /** Upper bound of every contract's claim window, in ms. Default seven days. */
  maxWindowMs?: number
  /** How long the log keeps records, in ms; four checkpoints are written in that time. Default one day. */
  retentionMs?: number
  /** Returns a number from 0 to below 1, for jitter. Default Math.random. */
  random?: () => number
  /** Called for each record that is malformed, oversized or unknown; every reader skips it. */
  handleSkipped?: (stream: StreamName, offset: Offset) => void
}

/** Figures of a claim store, shown on the status page. */
export interface ClaimStoreReport extends ClaimPartitionReport {
  /** Streams that have been read to their end, but whose claims may be incomplete. */
  unproven: number
}

/** A claim store on the log. */
export interface LogClaimStore extends ClaimStore {
  report(): ClaimStoreReport
  /** Returns whether the state of every stream is complete and caught up. */
  isReady(): boolean
  /** Resolves when the state of every stream is complete and caught up, or the store is closed. */
  waitUntilReady(): Promise<void>
  /** Stops; waiting attempts are rejected. Call `flush` first. */
  close(): Promise<void>
}

const DEFAULTS = {
  appendsPerSecond: 30,
  maxBatchEntries: 500,
  claimWaitMs: 2_000,
  responseWaitMs: 1_000,
  pollMs: 10_000,
  tombstoneLingerMs: 50,
  responseLingerMs: 500,
  maxKeyCount: 1_000_000,
  maxWindowMs: 604_800_000,
  retentionMs: 86_400_000,
  random: Math.random
} satisfies Partial<LogClaimStoreOptions>
const CHECKPOINTS_PER_RETENTION = 4
const PACER_BURST = 10

/** Returns the name of a claim stream. */
export function formatClaimStream (partition: number): StreamName {
  return toBrand<StreamName>(`claims-${partition}`)
}

function addReports (partitions: readonly ClaimPartition[]): ClaimStoreReport {
  const reports = partitions.map((partition) => partition.report())
  const add = (field: keyof ClaimPartitionReport): number => reports.reduce((sum, report) => sum + report[field], 0)
  return {
    keys: add('keys'),
    appends: add('appends'),
    unsettled: add('unsettled'),
    notices: add('notices'),
    lostNotices: add('lostNotices'),
    skipped: add('skipped'),
    checkpoints: add('checkpoints'),
    unproven: partitions.filter((partition) => partition.getState() === 'unproven').length
  }
}

/** Creates a claim store and starts reading its streams. */
export function createLogClaimStore (options: LogClaimStoreOptions): LogClaimStore {
  const { log, clock, incarnation, partitions: count, handleSkipped, ...given } = options
  const settings = { ...DEFAULTS, ...given }
  const pacer = createTurnPacer({ clock, perSecond: settings.appendsPerSecond, burst: Math.min(PACER_BURST, settings.appendsPerSecond) })
  let lastSeq = 0
  const buildSeq = (): number => ++lastSeq
  const checkpointIntervalMs = settings.retentionMs / CHECKPOINTS_PER_RETENTION
  const maxKeyCount = Math.ceil(settings.maxKeyCount / count)
  const partitions = Array.from({ length: count }, (_, number) => {
    const stream = formatClaimStream(number)
    return createClaimPartition({
      ...settings,
      log,
      clock,
      stream,
      writer: incarnation,
      pacer,
      buildSeq,
      checkpointIntervalMs,
      maxKeyCount,
      handleSkipped: (offset) => handleSkipped?.(stream, offset)
    })
  })
  const waitForNotices = async (): Promise<void> => {
    await Promise.all(partitions.map((partition) => partition.waitForNotices()))
  }
  return {
    claimKey: (attempt) => partitions[computePartition(attempt.keyHash, count)]!.claimKey(attempt),
    async flush (deadlineMs) {
      const stop = new AbortController()
      await Promise.race([waitForNotices(), clock.wait(Math.max(0, deadlineMs - clock.monotonicMs()), stop.signal)])
      stop.abort()
    },
    report: () => addReports(partitions),
    isReady: () => partitions.every((partition) => partition.getState() === 'ready'),
    async waitUntilReady () {
      await Promise.all(partitions.map((partition) => partition.waitUntilReady()))
    },
    async close () {
      pacer.close()
      await Promise.all(partitions.map((partition) => partition.close()))
    }
  }
}
