/**
 * Enforces this entry's share of each customer's rate limit and concurrency limit.
 */
import { err, ok } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { createError } from '../../errors.ts'
import type { CustomerId } from '../../types.ts'
import type { Contract } from '../../version/contract.ts'
import type { CustomerLimiter } from './customer-limiter.ts'
import { createRateWindow } from './rate-window.ts'
import type { RateWindow } from './rate-window.ts'

/** The part of a contract's limits that an entry may use at this moment. */
export interface EntryShare {
  /** Requests a second. */
  requestsPerSecond: number
  /** Requests at once. */
  concurrentRequests: number
}

/** Outcome of an arriving request, and the customer's requests in progress after it. */
export interface Arrival { outcome: 'admitted' | 'over-rate' | 'over-concurrency', inProgress: number }

/** Options of a limiter. */
export interface CustomerLimiterOptions {
  clock: Clock
  /** Returns the entry's share. Default: `computeStaticShare`. */
  getShare?: (contract: Contract) => EntryShare
  /** Called for every request that arrives, rejected ones included. */
  handleArrival?: (contract: Contract, arrival: Arrival) => void
}

interface CustomerUse { window: RateWindow, inProgress: number, rejectedCount: number, share: EntryShare }

/** Splits a contract evenly over its maximum number of entry processes, rounded down so that the sum stays within the limits. */
export function computeStaticShare (contract: Contract): EntryShare {
  const { largestCount } = contract.entries
  return {
    requestsPerSecond: Math.floor(contract.limits.requestsPerSecond / largestCount),
    concurrentRequests: Math.floor(contract.limits.concurrentRequests / largestCount)
  }
}

/** Creates the limiter of one entry process. */
export function createCustomerLimiter (options: CustomerLimiterOptions): CustomerLimiter {
  const getShare = options.getShare ?? computeStaticShare
  const uses = new Map<CustomerId, CustomerUse>()
  const getUse = (contract: Contract): CustomerUse => {
    const share = getShare(contract)
    const known = uses.get(contract.customer)
    if (known) {
      known.share = share
      return known
    }
    const created = { window: createRateWindow(options.clock), inProgress: 0, rejectedCount: 0, share }
    uses.set(contract.customer, created)
    return created
  }
  const rejectArrival = (contract: Contract, use: CustomerUse, outcome: Arrival['outcome']): void => {
    use.rejectedCount += 1
    options.handleArrival?.(contract, { outcome, inProgress: use.inProgress })
  }
  return {
    acquirePermit (contract) {
      const use = getUse(contract)
      if (use.inProgress >= use.share.concurrentRequests) {
        rejectArrival(contract, use, 'over-concurrency')
        return err(createError('over-concurrency', `${contract.customer} has ${use.inProgress} requests in progress at this entry and has reached its concurrency limit; wait for one to end`))
      }
      if (!use.window.tryAcquire(use.share.requestsPerSecond)) {
        rejectArrival(contract, use, 'over-rate')
        return err(createError('over-rate', `${contract.customer} is over its rate limit of ${use.share.requestsPerSecond} requests a second at this entry; retry later`))
      }
      use.inProgress += 1
      options.handleArrival?.(contract, { outcome: 'admitted', inProgress: use.inProgress })
      let isReleased = false
      return ok({
        release () {
          if (isReleased) return
          isReleased = true
          use.inProgress -= 1
        }
      })
    },
    report: () => [...uses].map(([customer, use]) => ({
      customer, inProgress: use.inProgress, refused: use.rejectedCount, shareOfRate: use.share.requestsPerSecond
    })),
    close: () => uses.clear()
  }
}
