/**
 * The interface of the rate and concurrency limits of customers, which apply to all entries together.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { Contract } from '../../version/contract.ts'

/** Permits one request in progress. It must be released exactly once. */
export interface RequestPermit { release(): void }

/** Enforces the rate limit and the concurrency limit of each customer's contract. */
export interface CustomerLimiter {
  /** Acquires a permit for one request. Errors: `over-rate`, `over-concurrency`. */
  acquirePermit(contract: Contract): Result<RequestPermit, AppError>
  /** Returns the figures for the status page; rates in requests a second. */
  report(): { customer: string, inProgress: number, refused: number, shareOfRate: number }[]
  close(): void
}
