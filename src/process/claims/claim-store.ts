/**
 * The interface of the claim store, which admits each idempotency key at most once per claim window.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { CustomerId, KeyHash, ServiceId } from '../../types.ts'

/** One attempt to run a non-idempotent request. */
export interface ClaimAttempt {
  customer: CustomerId
  service: ServiceId
  keyHash: KeyHash
  /** Hash of method, path and body; the same key with another digest is a different request. */
  requestDigest: string
  /** Claim window: how long the key stays claimed after the deadline, in ms. */
  claimWindowMs: number
  /** Deadline of the request, in ms of the monotonic clock. */
  deadlineMs: number
}

/** The response to a request that ran, as stored for later attempts with the same key. */
export interface StoredResponse {
  status: number
  headers: Record<string, string>
  /** Absent when the body was too large to store. */
  body?: Uint8Array
}

/** The right to send the request once. */
export interface Claim {
  /**
   * Returns whether the request may still be sent: the deadline has not passed and the claim was neither released nor
   * given a response. Call it right before the first byte is written, without any `await` in between.
   */
  canSend?(): boolean
  /** Releases the key of a request that was not sent and will not be. The tombstone is written to the log later. */
  releaseClaim(): void
  /** Stores the response for later attempts; it is written to the log in batches. */
  recordResponse(response: StoredResponse): void
}

/** The result of an attempt. */
export type ClaimResult =
  | { kind: 'admitted', claim: Claim }
  /** The same request already ran; `outcome` is its stored response. */
  | { kind: 'repeated', outcome: StoredResponse }
  /** Another attempt was admitted and its response is not known. */
  | { kind: 'elsewhere' }

/** Admits each key at most once per claim window. */
export interface ClaimStore {
  /**
   * Claims a key. Errors: `platform-down`, `deadline-passed`, `key-reused`; after any of them the request of this
   * attempt is never sent.
   */
  claimKey(attempt: ClaimAttempt): Promise<Result<ClaimResult, AppError>>
  /** Writes the tombstones and responses that still wait. Resolves when they are written or at `deadlineMs` of the monotonic clock. */
  flush(deadlineMs: number): Promise<void>
  /** Returns the figures shown on the status page. */
  report(): { keys: number, appends: number, unsettled: number }
}
