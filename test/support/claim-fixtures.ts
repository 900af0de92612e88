/**
 * What tests of claims share: books over a fake log, and attempts.
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

export const WINDOW_MS = 3_600_000
const CUSTOMER = 'millers' as CustomerId
const SERVICE = 'slots' as ServiceId

/** Creates a book with one stream and no random delays. */
export function createTestBook (log: LogClient, clock: Clock, incarnation: string, options: Partial<LogClaimStoreOptions> = {}): LogClaimStore {
  return createLogClaimStore({
    log, clock, entry: 'e' as EntryId, incarnation: incarnation as Incarnation, partitions: 1, random: () => 0.5, appendsPerSecond: 10_000, ...options
  })
}

/** Creates an attempt at a key; the body tells requests with the same key apart. */
export function createAttempt (clock: Clock, key: string, body = 'same', waitMs = 5_000, onceWindowMs = WINDOW_MS): ClaimAttempt {
  const keyHash = hashKey(CUSTOMER, SERVICE, 'charge', key)
  const requestDigest = hashRequest('POST', '/charge', Buffer.from(body))
  return { customer: CUSTOMER, service: SERVICE, keyHash, requestDigest, claimWindowMs: onceWindowMs, deadlineMs: clock.monotonicMs() + waitMs }
}

/** Names a verdict in one word. */
export function describeVerdict (verdict: Result<ClaimResult, AppError>): string {
  return verdict.match((value) => value.kind, (error) => error.kind)
}

/** Finds a key that belongs to a partition. */
export function findKeyOf (partition: number, partitions: number): string {
  for (let number = 0; ; number++) {
    if (computePartition(hashKey(CUSTOMER, SERVICE, 'charge', `k${number}`), partitions) === partition) return `k${number}`
  }
}
