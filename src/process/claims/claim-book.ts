/**
 * The interface of claims: it admits each key of an operation that may not be repeated at most once.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { CustomerId, KeyHash, ServiceId } from '../../types.ts'

/** One attempt to run a request that may not be repeated. */
export interface ClaimAttempt {
  customer: CustomerId
  service: ServiceId
  keyHash: KeyHash
  /** A hash over method, path and body; the same key with another digest is a different request. */
  requestDigest: string
  /** How long the key is remembered, in ms. */
  onceWindowMs: number
  /** When the caller stops waiting, by the monotonic clock in ms. */
  deadlineMs: number
}

/** The answer of a request that ran, as kept for repeated attempts. */
export interface RecordedOutcome {
  status: number
  headers: Record<string, string>
  /** Left out when the body was too large to keep. */
  body?: Uint8Array
}

/** The right to send the request once. */
export interface Claim {
  /**
   * Whether the request may still be sent: the deadline has not passed and the claim is not void.
   * Ask right before the first byte is handed over, without waiting for anything in between.
   */
  canSend?(): boolean
  /** Tells that the request will not be sent and never was; the key becomes free. Resolves once noted in memory. */
  voidClaim(): void
  /** Keeps the answer for repeated attempts; written to the log in batches. */
  recordOutcome(outcome: RecordedOutcome): void
}

/** What came of an attempt. */
export type ClaimVerdict =
  | { kind: 'admitted', claim: Claim }
  /** The same request ran before; here is its answer. */
  | { kind: 'repeated', outcome: RecordedOutcome }
  /** Another attempt was admitted and its answer is not known. */
  | { kind: 'elsewhere' }

/** Admits each key at most once. */
export interface ClaimBook {
  /**
   * Claims a key. Errors, all of which mean that this attempt will never be sent:
   * `platform-down`, `deadline-passed`, `key-reused`.
   */
  claimKey(attempt: ClaimAttempt): Promise<Result<ClaimVerdict, AppError>>
  /** Writes outcomes and voids that are still waiting. Resolves when they are written or `deadlineMs` has passed. */
  flush(deadlineMs: number): Promise<void>
  /** Figures for the status page. */
  report(): { keys: number, appends: number, unsettled: number }
}
