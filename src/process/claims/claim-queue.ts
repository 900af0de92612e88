/**
 * The one task that appends the waiting entries of a claim stream in batches, one append at a time.
 */
import type { AppError } from '../../errors.ts'
import { createAppendBreaker } from './append-breaker.ts'
import type { AppendBreaker } from './append-breaker.ts'
import { encodeClaimRecord } from './claim-record.ts'
import type { ClaimEntry } from './claim-record.ts'
import { createEntryBuffer } from './entry-buffer.ts'
import type { ClaimOnly, EntryBuffer, Notice } from './entry-buffer.ts'
import type { ClaimStreamOptions } from './claim-stream.ts'

/** Options of a queue. */
export interface ClaimQueueOptions extends ClaimStreamOptions {
  /** How long voids wait for company before they start an append of their own, in ms. */
  voidLingerMs: number
  /** How long outcomes do, in ms. */
  outcomeLingerMs: number
  /** Entries that one append may hold. */
  largestBatch: number
  /** Tells that the log certainly took none of these claims. */
  handleRefused: (seqs: number[], error: AppError) => void
  /** Tells that the log may have taken these claims. */
  handleUnknown: (seqs: number[]) => void
}

/** Entries that wait to be appended. */
export interface ClaimQueue {
  addClaim(entry: ClaimOnly): void
  /** Adds a void or an outcome; it is appended again until the log has surely taken it. */
  addNotice(entry: Notice): void
  /** Takes a claim back; false when it may already be on its way to the log. */
  removeClaim(seq: number): boolean
  /** Whether a claim may be added now: the log works, or it is time for a single trial. */
  canTryClaim(): boolean
  countNotices(): number
  countAppends(): number
  countLostNotices(): number
  /** Resolves when no notice waits any more. */
  waitForNotices(): Promise<void>
  close(): void
}

/** Appends what fits into one record and tells what came of it. */
async function appendBatch (options: ClaimQueueOptions, batch: ClaimEntry[]): Promise<boolean> {
  const { log, clock, stream, writer } = options
  const data = encodeClaimRecord({ type: 'claims', v: 1, writer, atMs: Math.floor(clock.wallMs()), entries: batch })
  const result = await log.append(stream, data)
  if (result.isOk()) return true
  const seqs = batch.flatMap((entry) => (entry.kind === 'claim' ? [entry.seq] : []))
  if (result.error.kind === 'log-unavailable') options.handleRefused(seqs, result.error)
  else options.handleUnknown(seqs)
  return false
}

/** Returns how long voids and outcomes wait for claims to travel with, or for the log to come back, in ms. */
function computeLingerMs (options: ClaimQueueOptions, breaker: AppendBreaker, buffer: EntryBuffer, isFlushing: boolean): number {
  if (breaker.hasFailures()) return breaker.getBackoffMs()
  if (isFlushing) return 0
  return buffer.hasVoids() ? options.voidLingerMs : options.outcomeLingerMs
}

/** Creates a queue; its task runs while there is work. */
export function createClaimQueue (options: ClaimQueueOptions): ClaimQueue {
  const { clock, pacer, random, largestBatch } = options
  const buffer = createEntryBuffer()
  const breaker = createAppendBreaker(clock, random)
  const stop = new AbortController()
  const mode = { isFlushing: false, appends: 0, linger: new AbortController(), running: undefined as Promise<void> | undefined }
  const flushWaiters: (() => void)[] = []

  const appendNext = async (): Promise<void> => {
    const batch = stop.signal.aborted ? [] : buffer.takeBatch(largestBatch)
    if (batch.length === 0) return
    mode.appends += 1
    const isTaken = await appendBatch(options, batch)
    buffer.settleBatch(isTaken)
    breaker.addResult(isTaken)
  }
  const runWhileWork = async (): Promise<void> => {
    while (!buffer.isEmpty() && !stop.signal.aborted) {
      mode.linger = new AbortController()
      if (!buffer.hasClaims()) await clock.wait(computeLingerMs(options, breaker, buffer, mode.isFlushing), mode.linger.signal)
      await pacer.takeTurn()
      await appendNext()
    }
    mode.running = undefined
    mode.isFlushing = false
    for (const resolve of flushWaiters.splice(0)) resolve()
  }
  const start = (): void => { mode.running ??= runWhileWork() }
  return {
    addClaim (entry) {
      breaker.markTrial()
      buffer.addClaim(entry)
      mode.linger.abort()
      start()
    },
    addNotice (entry) {
      buffer.addNotice(entry)
      // A void frees its key, so it does not wait as long as outcomes may.
      if (entry.kind === 'void' && mode.running && !breaker.hasFailures()) mode.linger.abort()
      start()
    },
    removeClaim (seq) {
      const wasWaiting = buffer.removeClaim(seq)
      if (wasWaiting && !buffer.hasClaims()) breaker.unmarkTrial()
      return wasWaiting
    },
    canTryClaim: () => breaker.canTry(),
    countNotices: () => buffer.countNotices(),
    countAppends: () => mode.appends,
    countLostNotices: () => buffer.countLostNotices(),
    waitForNotices () {
      if (buffer.countNotices() === 0) return Promise.resolve()
      mode.isFlushing = true
      mode.linger.abort()
      return new Promise((resolve) => flushWaiters.push(resolve))
    },
    close () {
      stop.abort()
      mode.linger.abort()
    }
  }
}
