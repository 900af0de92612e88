/**
 * One claim stream as one process works with it: its reader, its queue, its checkpoints and its waiting attempts.
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

const FAILURES_TO_REFUSE = 3

/** Options of a partition. */
export interface ClaimPartitionOptions extends ClaimStreamOptions {
  /** The longest that an attempt waits for its verdict, in ms. */
  claimWaitMs: number
  /** How long a read waits for new records, in ms. */
  pollMs: number
  /** The longest that a repeated attempt waits for the answer of the one that was admitted, in ms. */
  outcomeWaitMs: number
  /** How long voids wait for company, in ms. */
  voidLingerMs: number
  /** How long outcomes wait for company, in ms. */
  outcomeLingerMs: number
  /** Entries that one append may hold. */
  largestBatch: number
  /** Keys that this stream may hold before claims are refused. */
  largestKeyCount: number
  /** The longest once-window of any contract, in ms. */
  largestWindowMs: number
  /** How often the state is written again, in ms. */
  checkpointIntervalMs: number
  /** Tells of a record that all readers skip. */
  handleSkipped: (offset: Offset) => void
}

/** Figures of a partition. */
export interface ClaimPartitionReport {
  keys: number
  appends: number
  /** Claims whose append had no answer. */
  unsettled: number
  /** Voids and outcomes that wait to be appended. */
  notices: number
  lostNotices: number
  skipped: number
  checkpoints: number
}

/** One claim stream. */
export interface ClaimPartition {
  claimKey(attempt: ClaimAttempt): Promise<Result<ClaimVerdict, AppError>>
  getState(): ReaderState
  waitUntilReady(): Promise<void>
  waitForNotices(): Promise<void>
  report(): ClaimPartitionReport
  close(): Promise<void>
}

/** Says why the stream takes no claims now; undefined when it does. */
function describeRefusal (reader: ClaimReader, attempt: ClaimAttempt, largestKeyCount: number): string | undefined {
  const index = reader.getIndex()
  if (reader.getState() === 'loading' || !index) return 'The claims are still being read.'
  if (!index.canGrant(attempt.keyHash, attempt.onceWindowMs)) return 'Claims have aged out unread; the once-window cannot be proved yet.'
  if (reader.countFailures() >= FAILURES_TO_REFUSE) return 'The log cannot be read.'
  if (index.countKeys() >= largestKeyCount) return 'No more keys can be remembered; raise the bound or shorten the once-window.'
  return undefined
}

function isElsewhere (verdict: Result<ClaimVerdict, AppError>): boolean {
  return verdict.isOk() && verdict.value.kind === 'elsewhere'
}

/** Wakes up the repeated attempts that wait for these entries. */
function releaseRepeated (entries: readonly ClaimEntry[], watch: OutcomeWatch): void {
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
      if (record.type === 'claims') releaseRepeated(record.entries, watch)
      else checkpoints.handleRecord(record)
      if (record.writer === writer) for (const decision of decisions) attempts.handleDecision(decision)
    },
    // A later claim could otherwise be judged without records that are gone.
    handleReload () {
      attempts.refuseAll('The claims are being read anew.')
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
    const refusal = describeRefusal(reader, attempt, largestKeyCount)
    if (refusal) return refuseAttempt('platform-down', refusal)
    if (!queue.canTryClaim()) return refuseAttempt('platform-down', 'The log takes no records.')
    return undefined
  }
  const claimKey = async (attempt: ClaimAttempt): Promise<Result<ClaimVerdict, AppError>> => {
    const waitUntilMs = Math.min(attempt.deadlineMs, clock.monotonicMs() + outcomeWaitMs)
    for (;;) {
      const verdict = checkAdmission(attempt) ?? await attempts.claimKey(attempt)
      const waitMs = waitUntilMs - clock.monotonicMs()
      if (!isElsewhere(verdict) || waitMs <= 0) return verdict
      const latest = checkAdmission(attempt)
      if (latest && !isElsewhere(latest)) return latest
      if (!await watch.waitForNews(attempt.keyHash, waitMs)) return verdict
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
