/**
 * The interface of the limits of customers, which hold over all entries together.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { Contract } from '../../version/contract.ts'

/** The right to have one request in progress. It must be released exactly once. */
export interface RequestPermit { release(): void }

/** Holds each customer to the rate and concurrency of its contract. */
export interface CustomerLimiter {
  /** Takes one request's worth. Errors: `over-rate`, `over-concurrency`. */
  takePermit(contract: Contract): Result<RequestPermit, AppError>
  /** Figures for the status page. */
  report(): { customer: string, inProgress: number, refused: number, shareOfRate: number }[]
  close(): void
}
