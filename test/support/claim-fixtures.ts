/**
 * Creates claim stores over a fake log, and attempts, for the tests of claims.
 */
import type { Clock } from '../../src/clock.ts'
import { computePartition, hashKey, hashRequest } from '../../src/process/claims/claim-keys.ts'
import type { ClaimAttempt, ClaimResult } from '../../src/process/claims/claim-store.ts'
import { createLogClaimStore } from '../../src/process/claims/log-claim-store.ts'
import type { LogClaimStore, LogClaimStoreOptions } from '../../src/process/claims/log-claim-store.ts'
import type { AppError } from '../../src/errors.ts'
import type { LogClient } from '../../src/process/log-client.ts'
import type { CustomerId, EntryId, Incarnation, ServiceId } from '../../src/types.ts'
import type { Result } from 'neverthrow'

/** Claim window of an attempt, in ms. */
export const CLAIM_WINDOW_MS = 3_600_000
const CUSTOMER = 'millers' as CustomerId
const SERVICE = 'slots' as ServiceId

/** Creates a claim store with one partition, hence one stream, and with constant values in place of random ones. */
export function createTestStore (log: LogClient, clock: Clock, incarnation: string, options: Partial<LogClaimStoreOptions> = {}): LogClaimStore {
  return createLogClaimStore({
    log, clock, entry: 'e' as EntryId, incarnation: incarnation as Incarnation, partitions: 1, random: () => 0.5, appendsPerSecond: 10_000, ...options
  })
}

/** Creates an attempt to run a request with a key; another `body` with the same key makes a different request. */
export function createAttempt (clock: Clock, key: string, body = 'same', waitMs = 5_000, windowMs = CLAIM_WINDOW_MS): ClaimAttempt {
  const keyHash = hashKey(CUSTOMER, SERVICE, 'charge', key)
  const requestDigest = hashRequest('POST', '/charge', Buffer.from(body))
  return { customer: CUSTOMER, service: SERVICE, keyHash, requestDigest, claimWindowMs: windowMs, deadlineMs: clock.monotonicMs() + waitMs }
}

/** Returns the kind of a claim result, or of its error. */
export function describeResult (result: Result<ClaimResult, AppError>): string {
  return result.match((value) => value.kind, (error) => error.kind)
}

/** Finds an idempotency key that belongs to a partition. */
export function findKeyInPartition (partition: number, partitions: number): string {
  for (let number = 0; ; number++) {
    if (computePartition(hashKey(CUSTOMER, SERVICE, 'charge', `k${number}`), partitions) === partition) return `k${number}`
  }
}
