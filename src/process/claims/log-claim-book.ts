/**
 * Admits each key at most once by the order of the platform's log. See docs/design-claims.md for the argument.
 */
import type { Clock } from '../../clock.ts'
import { toBrand } from '../../types.ts'
import type { EntryId, Incarnation, Offset, StreamName } from '../../types.ts'
import type { LogClient } from '../log-client.ts'
import type { ClaimBook } from './claim-book.ts'
import { computePartition } from './claim-keys.ts'
import { createClaimPartition } from './claim-partition.ts'
import type { ClaimPartition, ClaimPartitionReport } from './claim-partition.ts'
import { createTurnPacer } from './turn-pacer.ts'

/** Options of a claim book. */
export interface LogClaimBookOptions {
  log: LogClient
  clock: Clock
  /** The entry that this process runs for; told in messages only. */
  entry: EntryId
  /** Names this run of the process, unique for all time. */
  incarnation: Incarnation
  /** Number of claim streams; all processes must use the same number for ever. */
  partitions: number
  /** Appends a second that this process may use. Default 30. */
  appendsPerSecond?: number
  /** Entries that one append may hold. 1 turns group commit off. Default 500. */
  largestBatch?: number
  /** The longest that an attempt waits for its verdict, in ms. Default 2,000. */
  claimWaitMs?: number
  /** The longest that a repeated attempt waits for the answer of the one that was admitted, in ms. Default 1,000. */
  outcomeWaitMs?: number
  /** How long a read of the log waits for new records, in ms. Default 10,000. */
  pollMs?: number
  /** How long voids wait for claims to travel with, in ms. Default 50. */
  voidLingerMs?: number
  /** How long outcomes wait for claims to travel with, in ms; this process gives them out at once. Default 500. */
  outcomeLingerMs?: number
  /** Keys that this process remembers before it refuses claims. Default 1,000,000. */
  largestKeyCount?: number
  /** The longest once-window of any contract, in ms; an upper bound does. Default seven days. */
  largestWindowMs?: number
  /** How long the log keeps records, in ms; the state is written again four times within. Default one day. */
  retentionMs?: number
  /** Returns a number from 0 to below 1, for jitter. Default Math.random. */
  random?: () => number
  /** Tells of a record that every reader skips. */
  handleSkipped?: (stream: StreamName, offset: Offset) => void
}

/** Figures of a claim book. */
export interface ClaimBookReport extends ClaimPartitionReport {
  /** Streams whose keys cannot be proved to be complete. */
  unproven: number
}

/** A claim book on the log. */
export interface LogClaimBook extends ClaimBook {
  report(): ClaimBookReport
  isReady(): boolean
  /** Resolves when every stream has been read as far as it went at the start. */
  waitUntilReady(): Promise<void>
  /** Stops; waiting attempts are refused. Call `flush` first. */
  close(): Promise<void>
}

const DEFAULTS = {
  appendsPerSecond: 30,
  largestBatch: 500,
  claimWaitMs: 2_000,
  outcomeWaitMs: 1_000,
  pollMs: 10_000,
  voidLingerMs: 50,
  outcomeLingerMs: 500,
  largestKeyCount: 1_000_000,
  largestWindowMs: 604_800_000,
  retentionMs: 86_400_000,
  random: Math.random
}
const CHECKPOINTS_PER_RETENTION = 4
const PACER_BURST = 10

/** Returns the name of a claim stream. */
export function formatClaimStream (partition: number): StreamName {
  return toBrand<StreamName>(`claims-${partition}`)
}

function addReports (partitions: readonly ClaimPartition[]): ClaimBookReport {
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

/** Creates a claim book and starts reading its streams. */
export function createLogClaimBook (options: LogClaimBookOptions): LogClaimBook {
  const { log, clock, incarnation, partitions: count, handleSkipped, ...given } = options
  const settings = { ...DEFAULTS, ...given }
  const pacer = createTurnPacer({ clock, perSecond: settings.appendsPerSecond, burst: Math.min(PACER_BURST, settings.appendsPerSecond) })
  let lastSeq = 0
  const buildSeq = (): number => ++lastSeq
  const checkpointIntervalMs = settings.retentionMs / CHECKPOINTS_PER_RETENTION
  const largestKeyCount = Math.ceil(settings.largestKeyCount / count)
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
      largestKeyCount,
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
