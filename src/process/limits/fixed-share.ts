/**
 * Splits a contract's limits into a fixed share for each entry process and a pool that is granted by need.
 */
import type { Contract } from '../../version/contract.ts'
import type { PoolTerms } from './demand-record.ts'
import type { EntryShare } from './local-customer-limiter.ts'

const DEFAULT_MAX_REQUEST_MS = 30_000
/** Windows added to the longest request before the slots of an incarnation that stopped writing are free. */
const SPARE_WINDOWS = 2

/** Returns half of an even split, but at least one if the limit allows one for each entry. */
function computeFixedPart (limit: number, largestCount: number): number {
  const half = Math.floor(limit / (2 * largestCount))
  return Math.max(half, Math.min(1, Math.floor(limit / largestCount)))
}

/** Computes the share that each entry process always has. */
export function computeFixedShare (contract: Contract): EntryShare {
  const { limits, entries } = contract
  return {
    requestsPerSecond: computeFixedPart(limits.requestsPerSecond, entries.largestCount),
    concurrentRequests: computeFixedPart(limits.concurrentRequests, entries.largestCount)
  }
}

/** Returns the maximum duration of a request under the contract, in ms; at least `DEFAULT_MAX_REQUEST_MS`. */
function computeMaxRequestMs (contract: Contract): number {
  const operations = Object.values(contract.services).flatMap((service) => service.operations)
  return operations.reduce((maxMs, operation) => Math.max(maxMs, operation.longestMs), DEFAULT_MAX_REQUEST_MS)
}

/** Computes the terms of the pool that is left to be granted, for windows of `windowMs`. */
export function computePoolTerms (contract: Contract, windowMs: number): PoolTerms {
  const { customer, version, limits, entries } = contract
  const fixed = computeFixedShare(contract)
  return {
    customer,
    contractVersion: version,
    ratePool: limits.requestsPerSecond - entries.largestCount * fixed.requestsPerSecond,
    slotPool: limits.concurrentRequests - entries.largestCount * fixed.concurrentRequests,
    keptWindows: Math.ceil(computeMaxRequestMs(contract) / windowMs) + SPARE_WINDOWS
  }
}
