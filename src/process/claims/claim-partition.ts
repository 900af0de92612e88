/**
 * One claim stream in one process: its reader, append queue, checkpoint writer and waiting attempts.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { Offset } from '../../types.ts'
import { buildLostResult, createWaitingAttempts, rejectAttempt } from './claim-attempts.ts'
import type { ClaimAttempt, ClaimResult } from './claim-store.ts'
import { createCheckpointWriter } from './claim-checkpoint.ts'
import { createClaimQueue } from './claim-queue.ts'
import { createClaimReader } from './claim-reader.ts'
import type { ClaimReader, ReaderState } from './claim-reader.ts'
import type { ClaimEntry } from './claim-record.ts'
import type { ClaimStreamOptions } from './claim-stream.ts'
import { createResponseWatch } from './response-watch.ts'
import type { ResponseWatch } from './response-watch.ts'

const FAILURES_TO_REJECT = 3

/** Options for a partition. */
export interface ClaimPartitionOptions extends ClaimStreamOptions {
  /** Maximum time that an attempt waits for its result, in ms. */
  claimWaitMs: number
  /** Long-poll time of a read, in ms. */
  pollMs: number
  /** Maximum time that a duplicate attempt waits for the response to the admitted one, in ms. */
  responseWaitMs: number
  /** How long tombstones wait for other entries to share an append with, in ms. */
  tombstoneLingerMs: number
  /** How long responses wait for other entries to share an append with, in ms. */
  responseLingerMs: number
  /** Maximum number of entries in one append. */
  maxBatchEntries: number
  /** Maximum number of keys in this stream; claims beyond it are rejected. */
  maxKeyCount: number
  /** Upper bound of every contract's claim window, in ms. */
  maxWindowMs: number
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
  claimKey(attempt: ClaimAttempt): Promise<Result<ClaimResult, AppError>>
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
function describeRejection (reader: ClaimReader, attempt: ClaimAttempt, maxKeyCount: number): string | undefined {
  const index = reader.getIndex()
  if (reader.getState() === 'loading' || !index) return 'The claims are still being read from the log.'
  if (!index.canGrant(attempt.keyHash, attempt.claimWindowMs)) return 'Claims were removed from the log before they were read; the key may still be claimed.'
  if (reader.countFailures() >= FAILURES_TO_REJECT) return 'The log cannot be read.'
  if (index.countKeys() >= maxKeyCount) return 'The maximum number of claimed keys is reached; raise maxKeyCount or shorten the onceWindowMs of the contracts.'
  return undefined
}

function isElsewhere (result: Result<ClaimResult, AppError>): boolean {
  return result.isOk() && result.value.kind === 'elsewhere'
}

/** Wakes up the duplicate attempts that wait for these entries. */
function releaseDuplicates (entries: readonly ClaimEntry[], watch: ResponseWatch): void {
  for (const entry of entries) if (entry.kind !== 'claim') watch.handleRead(entry.key)
}

/** Creates a partition and starts reading. */
export function createClaimPartition (options: ClaimPartitionOptions): ClaimPartition {
  const { clock, writer, maxKeyCount, responseWaitMs } = options
  let unsettled = 0
  let isClosed = false

  const queue = createClaimQueue({
    ...options,
    handleUnwritten: (seqs, error) => attempts.rejectUnwritten(seqs, error.message),
    handleUnknown: (seqs) => { unsettled += seqs.length }
  })
  const watch = createResponseWatch(clock)
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
      attempts.rejectAll('The claims are being reloaded from the log.')
      watch.reset()
    },
    requestCheckpoint: () => checkpoints.requestCheckpoint()
  })
  const checkAdmission = (attempt: ClaimAttempt): Result<ClaimResult, AppError> | undefined => {
    if (isClosed) return rejectAttempt('platform-down', 'This process is stopping.')
    if (clock.monotonicMs() >= attempt.deadlineMs) return rejectAttempt('deadline-passed', 'The deadline has passed.')
    const holder = reader.getIndex()?.findHolder(attempt.keyHash)
    if (holder && holder.untilMs > clock.wallMs()) {
      const unread = holder.writer === writer ? watch.findResponse(attempt.keyHash, holder.seq) : undefined
      return buildLostResult(attempt, { ...holder, outcome: holder.outcome ?? unread })
    }
    const rejection = describeRejection(reader, attempt, maxKeyCount)
    if (rejection) return rejectAttempt('platform-down', rejection)
    if (!queue.canTryClaim()) return rejectAttempt('platform-down', 'Appends to the log fail.')
    return undefined
  }
  const claimKey = async (attempt: ClaimAttempt): Promise<Result<ClaimResult, AppError>> => {
    const waitUntilMs = Math.min(attempt.deadlineMs, clock.monotonicMs() + responseWaitMs)
    for (;;) {
      const result = checkAdmission(attempt) ?? await attempts.claimKey(attempt)
      const waitMs = waitUntilMs - clock.monotonicMs()
      if (!isElsewhere(result) || waitMs <= 0) return result
      const latest = checkAdmission(attempt)
      if (latest && !isElsewhere(latest)) return latest
      if (!await watch.waitForChange(attempt.keyHash, waitMs)) return result
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
      attempts.rejectAll('This process is stopping.')
      watch.reset()
      queue.close()
      checkpoints.close()
      await reader.close()
    }
  }
}
