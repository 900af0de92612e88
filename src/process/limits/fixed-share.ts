/**
 * How a contract's limits are split between a fixed share for each entry process and a pool that is granted.
 */
import type { Contract } from '../../version/contract.ts'
import type { PoolTerms } from './demand-record.ts'
import type { EntryShare } from './local-customer-limiter.ts'

const DEFAULT_MAX_REQUEST_MS = 30_000
/** Windows beyond the longest request after which a silent run's slots are free. */
const SPARE_WINDOWS = 2

/** Half of an even split, but at least one where the limit allows one for each. */
function computeFixedPart (limit: number, largestCount: number): number {
  const half = Math.floor(limit / (2 * largestCount))
  return Math.max(half, Math.min(1, Math.floor(limit / largestCount)))
}

/** The share that each entry process always has. */
export function computeFixedShare (contract: Contract): EntryShare {
  const { limits, entries } = contract
  return {
    requestsPerSecond: computeFixedPart(limits.requestsPerSecond, entries.largestCount),
    concurrentRequests: computeFixedPart(limits.concurrentRequests, entries.largestCount)
  }
}

/** The longest that one request of the contract may take, in ms. */
function computeMaxRequestMs (contract: Contract): number {
  const operations = Object.values(contract.services).flatMap((service) => service.operations)
  return operations.reduce((maxMs, operation) => Math.max(maxMs, operation.longestMs), DEFAULT_MAX_REQUEST_MS)
}

/** What is left to be granted; windows last `windowMs`. */
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
