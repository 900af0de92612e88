/**
 * The attempts of this process that wait until their claims are read back from one claim stream.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { Clock } from '../../clock.ts'
import type { Cancel, KeyHash } from '../../types.ts'
import type { Claim, ClaimAttempt, ClaimResult } from './claim-store.ts'
import type { ClaimDecision, ActiveClaim } from './claim-index.ts'
import type { ClaimQueue } from './claim-queue.ts'
import { buildStoredResponse } from './claim-record.ts'
import type { ResponseWatch } from './response-watch.ts'

type AttemptResult = Result<ClaimResult, AppError>
type QueuePart = Pick<ClaimQueue, 'addClaim' | 'addNotice' | 'removeClaim'>

/** Options for waiting attempts. */
export interface WaitingAttemptsOptions {
  clock: Clock
  /** Returns the next sequence number of this process; a claim's nonce is the writer with this number. */
  buildSeq: () => number
  /** Maximum time that an attempt waits for its result, in ms. */
  claimWaitMs: number
  queue: QueuePart
  watch: ResponseWatch
}

/** Attempts that wait for their result. */
export interface WaitingAttempts {
  /** Queues a claim and waits for its result. Errors: `platform-down`, `deadline-passed`, `key-reused`. */
  claimKey(attempt: ClaimAttempt): Promise<AttemptResult>
  /** Settles an attempt by the decision on its claim, made at the claim's offset in the stream. */
  handleDecision(decision: ClaimDecision): void
  /** Rejects attempts whose claims were certainly not written to the log. */
  rejectUnwritten(seqs: readonly number[], message: string): void
  /** Rejects all attempts; claims that may have been written get a tombstone. */
  rejectAll(message: string): void
}

interface WaitingAttempt {
  attempt: ClaimAttempt
  startedMs: number
  resolve: (result: AttemptResult) => void
  cancelTimer: Cancel
}

/** Creates the error for an attempt whose request will never be sent. */
export function rejectAttempt (kind: 'platform-down' | 'deadline-passed' | 'key-reused', message: string): Result<never, AppError> {
  return err(createError(kind, message))
}

/** Returns the result of an attempt whose key is already claimed. Errors: `key-reused` when the request differs. */
export function buildLostResult (attempt: ClaimAttempt, holder: ActiveClaim): AttemptResult {
  if (holder.digest !== attempt.requestDigest) return rejectAttempt('key-reused', 'The idempotency key was already used for a different request.')
  return ok(holder.outcome ? { kind: 'repeated', outcome: holder.outcome } : { kind: 'elsewhere' })
}

/** Returns how long the claim must stay in effect, in ms: its window counts from the deadline, after which the request is never sent. */
function computeWindowMs (attempt: ClaimAttempt, startedMs: number): number {
  return Math.ceil(attempt.claimWindowMs + attempt.deadlineMs - startedMs)
}

interface GrantedClaim { seq: number, key: KeyHash, windowMs: number, sendBeforeMs: number }

function buildClaim (granted: GrantedClaim, { clock, queue, watch }: WaitingAttemptsOptions): Claim {
  const { seq, key, windowMs, sendBeforeMs } = granted
  let state: 'open' | 'void' | 'answered' = 'open'
  return {
    canSend: () => state === 'open' && clock.monotonicMs() < sendBeforeMs,
    releaseClaim () {
      if (state !== 'open') return
      state = 'void'
      queue.addNotice({ kind: 'void', seq, key, windowMs })
      watch.handleRelease(key)
    },
    recordResponse (response) {
      if (state !== 'open') return
      state = 'answered'
      const stored = buildStoredResponse(response)
      queue.addNotice({ kind: 'outcome', seq, key, outcome: stored })
      watch.addResponse(key, seq, stored)
    }
  }
}

/** Creates the attempts of one stream, initially none. */
export function createWaitingAttempts (options: WaitingAttemptsOptions): WaitingAttempts {
  const { clock, buildSeq, claimWaitMs, queue } = options
  const waiting = new Map<number, WaitingAttempt>()

  const settle = (seq: number, result: AttemptResult): void => {
    const found = waiting.get(seq)
    if (!found) return
    waiting.delete(seq)
    found.cancelTimer()
    found.resolve(result)
  }
  /** Removes the attempt first, so that it is never sent, and then queues a tombstone if its claim may have been written. */
  const reject = (seq: number, kind: 'platform-down' | 'deadline-passed', message: string): void => {
    const found = waiting.get(seq)
    if (!found) return
    settle(seq, rejectAttempt(kind, message))
    if (queue.removeClaim(seq)) return
    const { attempt, startedMs } = found
    queue.addNotice({ kind: 'void', seq, key: attempt.keyHash, windowMs: computeWindowMs(attempt, startedMs) })
  }
  const stopWaiting = (seq: number): void => {
    const deadlineMs = waiting.get(seq)?.attempt.deadlineMs ?? 0
    const kind = clock.monotonicMs() >= deadlineMs ? 'deadline-passed' : 'platform-down'
    reject(seq, kind, 'The log did not confirm the claim in time.')
  }
  const handleGranted = (decision: ClaimDecision & { kind: 'granted' }): void => {
    const { seq, key, windowMs } = decision
    const found = waiting.get(seq)
    // The attempt was already rejected, so its request will never be sent.
    if (!found) return queue.addNotice({ kind: 'void', seq, key, windowMs })
    const sendBeforeMs = found.attempt.deadlineMs
    if (clock.monotonicMs() >= sendBeforeMs) return reject(seq, 'deadline-passed', 'The deadline passed before the claim was granted.')
    settle(seq, ok({ kind: 'admitted', claim: buildClaim({ seq, key, windowMs, sendBeforeMs }, options) }))
  }
  const handleLost = (seq: number, holder: ActiveClaim): void => {
    const found = waiting.get(seq)
    if (found) settle(seq, buildLostResult(found.attempt, holder))
  }
  return {
    claimKey: (attempt) => new Promise((resolve) => {
      const seq = buildSeq()
      const startedMs = clock.monotonicMs()
      const waitMs = Math.min(claimWaitMs, attempt.deadlineMs - startedMs)
      waiting.set(seq, { attempt, startedMs, resolve, cancelTimer: clock.startTimer(waitMs, () => stopWaiting(seq)) })
      const { keyHash: key, requestDigest: digest } = attempt
      queue.addClaim({ kind: 'claim', seq, key, digest, windowMs: computeWindowMs(attempt, startedMs) })
    }),
    handleDecision (decision) {
      switch (decision.kind) {
        case 'granted': return handleGranted(decision)
        case 'lost': return handleLost(decision.seq, decision.holder)
        case 'uncertain': return reject(decision.seq, 'platform-down', 'Claims were removed from the log before they were read; the key may still be claimed.')
        case 'void': return settle(decision.seq, rejectAttempt('platform-down', 'The claim was cancelled before it reached the log.'))
      }
    },
    rejectUnwritten (seqs, message) {
      for (const seq of seqs) settle(seq, rejectAttempt('platform-down', message))
    },
    rejectAll (message) {
      for (const seq of [...waiting.keys()]) reject(seq, 'platform-down', message)
    }
  }
}
