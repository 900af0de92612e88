/**
 * Appends the waiting entries of a claim stream in batches, one append at a time (group commit).
 */
import type { AppError } from '../../errors.ts'
import { createAppendBreaker } from './append-breaker.ts'
import type { AppendBreaker } from './append-breaker.ts'
import { encodeClaimRecord } from './claim-record.ts'
import type { ClaimEntry } from './claim-record.ts'
import { createEntryBuffer } from './entry-buffer.ts'
import type { NewClaim, EntryBuffer, Notice } from './entry-buffer.ts'
import type { ClaimStreamOptions } from './claim-stream.ts'

/** Options for a queue. */
export interface ClaimQueueOptions extends ClaimStreamOptions {
  /** How long tombstones wait for claims to share an append with, in ms. */
  tombstoneLingerMs: number
  /** How long responses wait for claims to share an append with, in ms. */
  responseLingerMs: number
  /** Maximum number of entries in one append. */
  maxBatchEntries: number
  /** Called with the claims of a failed append that were certainly not written. */
  handleUnwritten: (seqs: number[], error: AppError) => void
  /** Called with the claims of a failed append that may have been written. */
  handleUnknown: (seqs: number[]) => void
}

/** Entries that wait to be appended. */
export interface ClaimQueue {
  /** Queues a claim; it is appended at most once. */
  addClaim(entry: NewClaim): void
  /** Queues a tombstone or a response; it is appended until the log confirms it, possibly more than once. */
  addNotice(entry: Notice): void
  /** Removes a claim; returns false when it may already have been sent to the log. */
  removeClaim(seq: number): boolean
  /** Returns whether a claim may be queued now: appends work, or a trial after failures is due. */
  canTryClaim(): boolean
  /** Counts tombstones and responses that are not confirmed yet. */
  countNotices(): number
  countAppends(): number
  /** Counts tombstones and responses that were dropped because the buffer was full. */
  countLostNotices(): number
  /** Resolves when no tombstone or response waits; until then none waits for claims to share an append with. */
  waitForNotices(): Promise<void>
  /** Stops appending; entries that still wait are not written. */
  close(): void
}

/** Appends a batch as one record and reports claims that failed; returns whether the log confirmed the append. */
async function appendBatch (options: ClaimQueueOptions, batch: ClaimEntry[]): Promise<boolean> {
  const { log, clock, stream, writer } = options
  const data = encodeClaimRecord({ type: 'claims', v: 1, writer, atMs: Math.floor(clock.wallMs()), entries: batch })
  const result = await log.append(stream, data)
  if (result.isOk()) return true
  const seqs = batch.flatMap((entry) => (entry.kind === 'claim' ? [entry.seq] : []))
  if (result.error.kind === 'log-unavailable') options.handleUnwritten(seqs, result.error)
  else options.handleUnknown(seqs)
  return false
}

/** Returns how long to wait before an append without claims, in ms: for claims to share it with, or after a failed append. */
function computeLingerMs (options: ClaimQueueOptions, breaker: AppendBreaker, buffer: EntryBuffer, isFlushing: boolean): number {
  if (breaker.hasFailures()) return breaker.getBackoffMs()
  if (isFlushing) return 0
  return buffer.hasTombstones() ? options.tombstoneLingerMs : options.responseLingerMs
}

/** Creates a queue; its task runs while entries wait. */
export function createClaimQueue (options: ClaimQueueOptions): ClaimQueue {
  const { clock, pacer, random, maxBatchEntries } = options
  const buffer = createEntryBuffer()
  const breaker = createAppendBreaker(clock, random)
  const stop = new AbortController()
  const state = { isFlushing: false, appends: 0, linger: new AbortController(), running: undefined as Promise<void> | undefined }
  const flushWaiters: (() => void)[] = []

  const appendNext = async (): Promise<void> => {
    const batch = stop.signal.aborted ? [] : buffer.takeBatch(maxBatchEntries)
    if (batch.length === 0) return
    state.appends += 1
    const isConfirmed = await appendBatch(options, batch)
    buffer.settleBatch(isConfirmed)
    breaker.addResult(isConfirmed)
  }
  const appendUntilEmpty = async (): Promise<void> => {
    while (!buffer.isEmpty() && !stop.signal.aborted) {
      state.linger = new AbortController()
      if (!buffer.hasClaims()) await clock.wait(computeLingerMs(options, breaker, buffer, state.isFlushing), state.linger.signal)
      await pacer.takeTurn()
      await appendNext()
    }
    state.running = undefined
    state.isFlushing = false
    for (const resolve of flushWaiters.splice(0)) resolve()
  }
  const start = (): void => { state.running ??= appendUntilEmpty() }
  return {
    addClaim (entry) {
      breaker.markTrial()
      buffer.addClaim(entry)
      state.linger.abort()
      start()
    },
    addNotice (entry) {
      buffer.addNotice(entry)
      // A tombstone releases its key, so it ends the longer wait of responses.
      if (entry.kind === 'void' && state.running && !breaker.hasFailures()) state.linger.abort()
      start()
    },
    removeClaim (seq) {
      const wasWaiting = buffer.removeClaim(seq)
      if (wasWaiting && !buffer.hasClaims()) breaker.unmarkTrial()
      return wasWaiting
    },
    canTryClaim: () => breaker.canTry(),
    countNotices: () => buffer.countNotices(),
    countAppends: () => state.appends,
    countLostNotices: () => buffer.countLostNotices(),
    waitForNotices () {
      if (buffer.countNotices() === 0) return Promise.resolve()
      state.isFlushing = true
      state.linger.abort()
      return new Promise((resolve) => flushWaiters.push(resolve))
    },
    close () {
      stop.abort()
      state.linger.abort()
    }
  }
}
