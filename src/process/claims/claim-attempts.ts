/**
 * The attempts of this process that wait for their place in one claim stream.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { Clock } from '../../clock.ts'
import type { Cancel, KeyHash } from '../../types.ts'
import type { Claim, ClaimAttempt, ClaimVerdict } from './claim-book.ts'
import type { ClaimDecision, HeldClaim } from './claim-index.ts'
import type { ClaimQueue } from './claim-queue.ts'
import { buildKeptOutcome } from './claim-record.ts'
import type { OutcomeWatch } from './outcome-watch.ts'

type Verdict = Result<ClaimVerdict, AppError>
type QueuePart = Pick<ClaimQueue, 'addClaim' | 'addNotice' | 'removeClaim'>

/** Options of waiting attempts. */
export interface WaitingAttemptsOptions {
  clock: Clock
  /** Numbers the nonces of this process; never the same twice. */
  buildSeq: () => number
  /** The longest that an attempt waits for its verdict, in ms. */
  claimWaitMs: number
  queue: QueuePart
  watch: OutcomeWatch
}

/** Attempts that wait for their verdict. */
export interface WaitingAttempts {
  /** Puts a claim into the queue and waits for its verdict. */
  claimKey(attempt: ClaimAttempt): Promise<Verdict>
  /** Takes what a claim of this process came to at its place in the stream. */
  handleDecision(decision: ClaimDecision): void
  /** Ends attempts whose claims the log certainly did not take. */
  refuseUntaken(seqs: readonly number[], message: string): void
  /** Ends all attempts; what may stand on the log is made void. */
  refuseAll(message: string): void
}

interface WaitingAttempt {
  attempt: ClaimAttempt
  startedMs: number
  resolve: (verdict: Verdict) => void
  cancelTimer: Cancel
}

/** Creates a verdict that means that the attempt will never be sent. */
export function refuseAttempt (kind: 'platform-down' | 'deadline-passed' | 'key-reused', message: string): Result<never, AppError> {
  return err(createError(kind, message))
}

/** Judges an attempt against the claim that is in force for its key. */
export function buildLostVerdict (attempt: ClaimAttempt, holder: HeldClaim): Verdict {
  if (holder.digest !== attempt.requestDigest) return refuseAttempt('key-reused', 'The key belongs to a different request.')
  return ok(holder.outcome ? { kind: 'repeated', outcome: holder.outcome } : { kind: 'elsewhere' })
}

/** Returns how long the log must remember the claim: the window of the key from the last instant at which it may be sent. */
function computeWindowMs (attempt: ClaimAttempt, startedMs: number): number {
  return Math.ceil(attempt.onceWindowMs + attempt.deadlineMs - startedMs)
}

interface GrantedClaim { seq: number, key: KeyHash, windowMs: number, sendBeforeMs: number }

function buildClaim (granted: GrantedClaim, { clock, queue, watch }: WaitingAttemptsOptions): Claim {
  const { seq, key, windowMs, sendBeforeMs } = granted
  let state: 'open' | 'void' | 'answered' = 'open'
  return {
    canSend: () => state === 'open' && clock.monotonicMs() < sendBeforeMs,
    voidClaim () {
      if (state !== 'open') return
      state = 'void'
      queue.addNotice({ kind: 'void', seq, key, windowMs })
      watch.handleVoid(key)
    },
    recordOutcome (outcome) {
      if (state !== 'open') return
      state = 'answered'
      const kept = buildKeptOutcome(outcome)
      queue.addNotice({ kind: 'outcome', seq, key, outcome: kept })
      watch.addOutcome(key, seq, kept)
    }
  }
}

/** Creates the attempts of one stream, none yet. */
export function createWaitingAttempts (options: WaitingAttemptsOptions): WaitingAttempts {
  const { clock, buildSeq, claimWaitMs, queue } = options
  const waiting = new Map<number, WaitingAttempt>()

  const settle = (seq: number, verdict: Verdict): void => {
    const found = waiting.get(seq)
    if (!found) return
    waiting.delete(seq)
    found.cancelTimer()
    found.resolve(verdict)
  }
  /** Forgets the attempt first, so that it is never sent, and then tells the log if the claim may stand there. */
  const refuse = (seq: number, kind: 'platform-down' | 'deadline-passed', message: string): void => {
    const found = waiting.get(seq)
    if (!found) return
    settle(seq, refuseAttempt(kind, message))
    if (queue.removeClaim(seq)) return
    const { attempt, startedMs } = found
    queue.addNotice({ kind: 'void', seq, key: attempt.keyHash, windowMs: computeWindowMs(attempt, startedMs) })
  }
  const stopWaiting = (seq: number): void => {
    const deadlineMs = waiting.get(seq)?.attempt.deadlineMs ?? 0
    const kind = clock.monotonicMs() >= deadlineMs ? 'deadline-passed' : 'platform-down'
    refuse(seq, kind, 'The log did not confirm the claim in time.')
  }
  const handleGranted = (decision: ClaimDecision & { kind: 'granted' }): void => {
    const { seq, key, windowMs } = decision
    const found = waiting.get(seq)
    // Its attempt was answered long ago and will never be sent.
    if (!found) return queue.addNotice({ kind: 'void', seq, key, windowMs })
    const sendBeforeMs = found.attempt.deadlineMs
    if (clock.monotonicMs() >= sendBeforeMs) return refuse(seq, 'deadline-passed', 'The deadline passed before the claim was granted.')
    settle(seq, ok({ kind: 'admitted', claim: buildClaim({ seq, key, windowMs, sendBeforeMs }, options) }))
  }
  const handleLost = (seq: number, holder: HeldClaim): void => {
    const found = waiting.get(seq)
    if (found) settle(seq, buildLostVerdict(found.attempt, holder))
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
        case 'uncertain': return refuse(decision.seq, 'platform-down', 'Claims have aged out unread; the once-window cannot be proved yet.')
        case 'void': return settle(decision.seq, refuseAttempt('platform-down', 'The claim was void before it came.'))
      }
    },
    refuseUntaken (seqs, message) {
      for (const seq of seqs) settle(seq, refuseAttempt('platform-down', message))
    },
    refuseAll (message) {
      for (const seq of [...waiting.keys()]) refuse(seq, 'platform-down', message)
    }
  }
}
