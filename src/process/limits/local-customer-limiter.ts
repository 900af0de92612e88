/**
 * Holds each customer to the entry's own share of the contract's rate and concurrency.
 */
import { err, ok } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { createError } from '../../errors.ts'
import type { CustomerId } from '../../types.ts'
import type { Contract } from '../../version/contract.ts'
import type { CustomerLimiter } from './customer-limiter.ts'
import { createRateWindow } from './rate-window.ts'
import type { RateWindow } from './rate-window.ts'

/** What an entry may use of a contract at this moment. */
export interface EntryShare {
  /** Requests a second. */
  requestsPerSecond: number
  /** Requests at once. */
  concurrentRequests: number
}

/** What became of a request that arrived. */
export interface Arrival { verdict: 'admitted' | 'over-rate' | 'over-concurrency', inProgress: number }

/** How to create a limiter. */
export interface CustomerLimiterOptions {
  clock: Clock
  /** The entry's share; the even static split unless another is given. */
  getShare?: (contract: Contract) => EntryShare
  /** Told of every request that arrives. */
  handleArrival?: (contract: Contract, arrival: Arrival) => void
}

interface CustomerUse { window: RateWindow, inProgress: number, rejectedCount: number, share: EntryShare }

/** Splits a contract evenly over its largest number of entry processes, rounded down so that the sum holds. */
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
  const rejectArrival = (contract: Contract, use: CustomerUse, verdict: Arrival['verdict']): void => {
    use.rejectedCount += 1
    options.handleArrival?.(contract, { verdict, inProgress: use.inProgress })
  }
  return {
    takePermit (contract) {
      const use = getUse(contract)
      if (use.inProgress >= use.share.concurrentRequests) {
        rejectArrival(contract, use, 'over-concurrency')
        return err(createError('over-concurrency', `${contract.customer} has ${use.inProgress} requests in progress at this entry`))
      }
      if (!use.window.takeOne(use.share.requestsPerSecond)) {
        rejectArrival(contract, use, 'over-rate')
        return err(createError('over-rate', `${contract.customer} may send ${use.share.requestsPerSecond} requests a second to this entry`))
      }
      use.inProgress += 1
      options.handleArrival?.(contract, { verdict: 'admitted', inProgress: use.inProgress })
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
