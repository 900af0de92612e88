/**
 * Measures the rate and concurrency that each customer demands of this entry.
 */
import type { Clock } from '../../clock.ts'
import type { CustomerId } from '../../types.ts'
import type { Contract } from '../../version/contract.ts'
import type { Arrival } from './local-customer-limiter.ts'

/** A customer's demand since the last reset. */
export interface DemandReading {
  contract: Contract
  /** Requests a second, rejected ones included. */
  requestsPerSecond: number
  /** The largest number of requests in progress at once. */
  maxInProgress: number
  /** Requests rejected by the concurrency limit. */
  rejectedForConcurrency: number
}

/** Counts arrivals between resets. */
export interface DemandMeter {
  addArrival(contract: Contract, arrival: Arrival): void
  /** Returns the time since the last reset, in ms. */
  getAgeMs(): number
  listReadings(): DemandReading[]
  /** Starts a new measuring interval. */
  reset(): void
}

interface CustomerCount {
  contract: Contract
  arrivals: number
  maxInProgress: number
  rejectedForConcurrency: number
  /** Requests a second in the interval before the last reset. */
  previousPerSecond: number
  previousMaxInProgress: number
}

const MS_PER_SECOND = 1_000
/**
 * Minimum interval for a reading of its own, in ms. In a shorter one a single burst would count as a high rate, so the
 * reading then is at least that of the previous interval.
 */
const MIN_SPAN_MS = 1_000

/** Creates a meter without arrivals. */
export function createDemandMeter (clock: Clock): DemandMeter {
  const counts = new Map<CustomerId, CustomerCount>()
  let startedMs = clock.monotonicMs()
  const getAgeMs = () => clock.monotonicMs() - startedMs
  const computePerSecond = (count: CustomerCount): number => count.arrivals * MS_PER_SECOND / Math.max(MIN_SPAN_MS, getAgeMs())
  return {
    addArrival (contract, { outcome, inProgress }) {
      const known = counts.get(contract.customer)
      const count = known ?? { contract, arrivals: 0, maxInProgress: 0, rejectedForConcurrency: 0, previousPerSecond: 0, previousMaxInProgress: 0 }
      if (!known) counts.set(contract.customer, count)
      count.contract = contract
      count.arrivals += 1
      count.maxInProgress = Math.max(count.maxInProgress, inProgress)
      if (outcome === 'over-concurrency') count.rejectedForConcurrency += 1
    },
    getAgeMs,
    listReadings () {
      const isShort = getAgeMs() < MIN_SPAN_MS
      return [...counts.values()].map((count): DemandReading => {
        const { contract, maxInProgress, rejectedForConcurrency } = count
        const perSecond = computePerSecond(count)
        if (!isShort) return { contract, maxInProgress, rejectedForConcurrency, requestsPerSecond: perSecond }
        return {
          contract,
          rejectedForConcurrency,
          maxInProgress: Math.max(maxInProgress, count.previousMaxInProgress),
          requestsPerSecond: Math.max(perSecond, count.previousPerSecond)
        }
      })
    },
    reset () {
      for (const count of counts.values()) {
        const previous = { previousPerSecond: computePerSecond(count), previousMaxInProgress: count.maxInProgress }
        Object.assign(count, { arrivals: 0, maxInProgress: 0, rejectedForConcurrency: 0 }, previous)
      }
      startedMs = clock.monotonicMs()
    }
  }
}
