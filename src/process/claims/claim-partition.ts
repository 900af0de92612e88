/**
 * One claim stream in one process: its reader, append queue, checkpoint writer and waiting attempts.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { Offset } from '../../types.ts'
import { buildLostVerdict, createWaitingAttempts, refuseAttempt } from './claim-attempts.ts'
import type { ClaimAttempt, ClaimVerdict } from './claim-book.ts'
import { createCheckpointWriter } from './claim-checkpoint.ts'
import { createClaimQueue } from './claim-queue.ts'
import { createClaimReader } from './claim-reader.ts'
import type { ClaimReader, ReaderState } from './claim-reader.ts'
import type { ClaimEntry } from './claim-record.ts'
import type { ClaimStreamOptions } from './claim-stream.ts'
import { createOutcomeWatch } from './outcome-watch.ts'
import type { OutcomeWatch } from './outcome-watch.ts'

const FAILURES_TO_REJECT = 3

/** Options for a partition. */
export interface ClaimPartitionOptions extends ClaimStreamOptions {
  /** Maximum time that an attempt waits for its result, in ms. */
  claimWaitMs: number
  /** Long-poll time of a read, in ms. */
  pollMs: number
  /** Maximum time that a duplicate attempt waits for the response to the admitted one, in ms. */
  outcomeWaitMs: number
  /** How long tombstones wait for other entries to share an append with, in ms. */
  voidLingerMs: number
  /** How long responses wait for other entries to share an append with, in ms. */
  outcomeLingerMs: number
  /** Maximum number of entries in one append. */
  largestBatch: number
  /** Maximum number of keys in this stream; claims beyond it are rejected. */
  largestKeyCount: number
  /** Upper bound of every contract's claim window, in ms. */
  largestWindowMs: number
  /** Time between checkpoints, in ms. */
  checkpointIntervalMs: number
  /** Called with the offset of each record that is malformed, oversized or unknown; all readers skip it. */
  handleSkipped: (offset: Offset) => void
}

/** Figures of a partition, shown on the status page. */
export interface ClaimPartitionReport {
  /** Keys in memory. */
  keys: number
  /** Appends attempted. */
  appends: number
  /** Claims in appends that failed and may still have been written. */
  unsettled: number
  /** Tombstones and responses that wait to be appended. */
  notices: number
  /** Tombstones and responses dropped because the buffer was full. */
  lostNotices: number
  /** Records skipped as malformed, oversized or unknown. */
  skipped: number
  /** Checkpoints written by this process. */
  checkpoints: number
}

/** One claim stream. */
export interface ClaimPartition {
  /** Claims a key. Errors: `platform-down`, `deadline-passed`, `key-reused`. */
  claimKey(attempt: ClaimAttempt): Promise<Result<ClaimVerdict, AppError>>
  getState(): ReaderState
  /** Resolves when the state is complete and caught up, or the partition is closed. */
  waitUntilReady(): Promise<void>
  /** Resolves when no tombstone or response waits to be appended. */
  waitForNotices(): Promise<void>
  report(): ClaimPartitionReport
  /** Stops; waiting attempts are rejected. */
  close(): Promise<void>
}

/** Returns why the stream cannot accept the claim now; undefined when it can. */
function describeRejection (reader: ClaimReader, attempt: ClaimAttempt, largestKeyCount: number): string | undefined {
  const index = reader.getIndex()
  if (reader.getState() === 'loading' || !index) return 'The claims are still being read from the log.'
  if (!index.canGrant(attempt.keyHash, attempt.onceWindowMs)) return 'Claims were removed from the log before they were read; the key may still be claimed.'
  if (reader.countFailures() >= FAILURES_TO_REJECT) return 'The log cannot be read.'
  if (index.countKeys() >= largestKeyCount) return 'The maximum number of claimed keys is reached; raise maxKeyCount or shorten the onceWindowMs of the contracts.'
  return undefined
}

function isElsewhere (result: Result<ClaimVerdict, AppError>): boolean {
  return result.isOk() && result.value.kind === 'elsewhere'
}

/** Wakes up the duplicate attempts that wait for these entries. */
function releaseDuplicates (entries: readonly ClaimEntry[], watch: OutcomeWatch): void {
  for (const entry of entries) if (entry.kind !== 'claim') watch.handleRead(entry.key)
}

/** Creates a partition and starts reading. */
export function createClaimPartition (options: ClaimPartitionOptions): ClaimPartition {
  const { clock, writer, largestKeyCount, outcomeWaitMs } = options
  let unsettled = 0
  let isClosed = false

  const queue = createClaimQueue({
    ...options,
    handleRefused: (seqs, error) => attempts.refuseUntaken(seqs, error.message),
    handleUnknown: (seqs) => { unsettled += seqs.length }
  })
  const watch = createOutcomeWatch(clock)
  const attempts = createWaitingAttempts({ ...options, queue, watch })
  const checkpoints = createCheckpointWriter({ ...options, takeSnapshot: () => reader.buildSnapshot() })
  const reader = createClaimReader({
    ...options,
    handleRecord (record, decisions) {
      if (record.type === 'claims') releaseDuplicates(record.entries, watch)
      else checkpoints.handleRecord(record)
      if (record.writer === writer) for (const decision of decisions) attempts.handleDecision(decision)
    },
    // After a reload, claims could otherwise be decided without the records that are missing.
    handleReload () {
      attempts.refuseAll('The claims are being reloaded from the log.')
      watch.reset()
    },
    requestCheckpoint: () => checkpoints.requestCheckpoint()
  })
  const checkAdmission = (attempt: ClaimAttempt): Result<ClaimVerdict, AppError> | undefined => {
    if (isClosed) return refuseAttempt('platform-down', 'This process is stopping.')
    if (clock.monotonicMs() >= attempt.deadlineMs) return refuseAttempt('deadline-passed', 'The deadline has passed.')
    const holder = reader.getIndex()?.findHolder(attempt.keyHash)
    if (holder && holder.untilMs > clock.wallMs()) {
      const unread = holder.writer === writer ? watch.findOutcome(attempt.keyHash, holder.seq) : undefined
      return buildLostVerdict(attempt, { ...holder, outcome: holder.outcome ?? unread })
    }
    const rejection = describeRejection(reader, attempt, largestKeyCount)
    if (rejection) return refuseAttempt('platform-down', rejection)
    if (!queue.canTryClaim()) return refuseAttempt('platform-down', 'Appends to the log fail.')
    return undefined
  }
  const claimKey = async (attempt: ClaimAttempt): Promise<Result<ClaimVerdict, AppError>> => {
    const waitUntilMs = Math.min(attempt.deadlineMs, clock.monotonicMs() + outcomeWaitMs)
    for (;;) {
      const result = checkAdmission(attempt) ?? await attempts.claimKey(attempt)
      const waitMs = waitUntilMs - clock.monotonicMs()
      if (!isElsewhere(result) || waitMs <= 0) return result
      const latest = checkAdmission(attempt)
      if (latest && !isElsewhere(latest)) return latest
      if (!await watch.waitForNews(attempt.keyHash, waitMs)) return result
    }
  }
  return {
    claimKey,
    getState: () => reader.getState(),
    waitUntilReady: () => reader.waitUntilReady(),
    waitForNotices: () => queue.waitForNotices(),
    report: () => ({
      keys: reader.getIndex()?.countKeys() ?? 0,
      appends: queue.countAppends(),
      unsettled,
      notices: queue.countNotices(),
      lostNotices: queue.countLostNotices(),
      skipped: reader.countSkipped(),
      checkpoints: checkpoints.countWritten()
    }),
    async close () {
      isClosed = true
      attempts.refuseAll('This process is stopping.')
      watch.reset()
      queue.close()
      checkpoints.close()
      await reader.close()
    }
  }
}
