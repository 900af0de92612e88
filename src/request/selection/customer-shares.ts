/**
 * Measures what customers and priorities ask for and get at this entry, to share targets when there are too few: the usual
 * demand of each customer is its weight, and a priority that gets far less of its demand than all is neglected.
 */
import type { CustomerId } from '../../types.ts'
import { addToDecayed, createDecayed, readDecayed } from './decayed-sum.ts'
import type { DecayedSum } from './decayed-sum.ts'
import type { QueuedRequest } from './request-queue.ts'

/** What is asked for and served at this entry. Of requests without a customer only the demand is counted, as their weight. */
export interface CustomerShares {
  /** Counts a request that arrived; returns whether it is beyond the share of its customer, which is demand far above the usual. */
  recordAsked(request: QueuedRequest, nowMs: number): boolean
  /** Counts a request for which a target was selected. */
  recordServed(request: QueuedRequest, nowMs: number): void
  /** Counts a request that was rejected. */
  recordRejected(request: QueuedRequest, nowMs: number): void
  /** Returns the weight of a customer: 1, plus its usual demand divided by the mean of all customers. */
  getWeight(customer: CustomerId | undefined, nowMs: number): number
  /** Returns whether the requests of a priority are served much less often than all. */
  isNeglected(priority: number, nowMs: number): boolean
  /** Counts customers by what they got lately. */
  report(nowMs: number): CustomerCounts
}

/** Customers by what they got in the last seconds. */
export interface CustomerCounts {
  /** Customers with requests for which a target was selected. */
  served: number
  /** Customers with requests that were rejected. */
  rejected: number
  /** Share of the rejections that fell on the customer with most of them; 0 without rejections. */
  largestRejectedShare: number
}

/** Time constant of the usual demand, in ms: long beside a burst, so that a flood raises its customer's weight slowly. */
const USUAL_DEMAND_MS = 30_000
/** Time constant of the recent demand, in ms. */
const RECENT_DEMAND_MS = 2_000
/** A customer may ask this many times its usual demand before what exceeds it comes last. */
const SHARE_TOLERANCE = 1.6
/** What a customer asks counts as usual up to this many times its usual demand, or a flood would soon raise its share. */
const GROWTH_TOLERANCE = 1.25
/** Recent requests that are always usual, for customers that rarely ask. */
const MIN_USUAL_COUNT = 4
/** Time constant of what is served and rejected, in ms. */
const SERVED_SHARE_MS = 5_000
/** A priority is neglected below this part of the served share of all: a margin above a quarter, below which no kind of request may fall. */
const NEGLECTED_PART = 1 / 3
/** Fewer requests than this say nothing about a share. */
const MIN_ASKED = 4
/** Decayed sums below this, in requests, count as nothing. */
const NOTABLE_SUM = 0.05
/** Customers known before the first sweep of forgotten ones; later sweeps follow when their number has doubled. */
const INITIAL_SWEEP_SIZE = 64

interface CustomerDemand {
  usual: DecayedSum
  recent: DecayedSum
  /** Recent requests within the customer's share. */
  within: DecayedSum
  served: DecayedSum
  rejected: DecayedSum
}
interface ServedShare { asked: DecayedSum, served: DecayedSum }

function isNotable (sum: number): boolean {
  return sum >= NOTABLE_SUM
}

function createShare (): ServedShare {
  return { asked: createDecayed(SERVED_SHARE_MS), served: createDecayed(SERVED_SHARE_MS) }
}

/** Creates a meter without requests. */
export function createCustomerShares (): CustomerShares {
  const demands = new Map<CustomerId, CustomerDemand>()
  const total = { usual: createDecayed(USUAL_DEMAND_MS), recent: createDecayed(RECENT_DEMAND_MS) }
  const all = createShare()
  /** The usual demand of requests without a customer, which share the queue as if they had one. */
  const anonymous = createDecayed(USUAL_DEMAND_MS)
  const shares = new Map<number, ServedShare>()
  let sweepSize = INITIAL_SWEEP_SIZE

  const removeForgotten = (nowMs: number): void => {
    for (const [customer, demand] of demands) if (!isNotable(readDecayed(demand.usual, nowMs))) demands.delete(customer)
    sweepSize = Math.max(INITIAL_SWEEP_SIZE, 2 * demands.size)
  }
  const getDemand = (customer: CustomerId, nowMs: number): CustomerDemand => {
    const known = demands.get(customer)
    if (known) return known
    if (demands.size >= sweepSize) removeForgotten(nowMs)
    const demand = { usual: createDecayed(USUAL_DEMAND_MS), recent: createDecayed(RECENT_DEMAND_MS), within: createDecayed(RECENT_DEMAND_MS), served: createDecayed(SERVED_SHARE_MS), rejected: createDecayed(SERVED_SHARE_MS) }
    demands.set(customer, demand)
    return demand
  }
  const getShare = (priority: number): ServedShare => {
    const share = shares.get(priority) ?? createShare()
    shares.set(priority, share)
    return share
  }
  /**
   * Computes how many recent requests are usual for a customer: what it usually asks, times what the others ask beside what
   * they usually ask, so that a rise of all demand takes nobody's share away.
   */
  const computeUsualCount = ({ usual, recent }: CustomerDemand, nowMs: number): number => {
    const usualOfOthers = readDecayed(total.usual, nowMs) - readDecayed(usual, nowMs)
    if (usualOfOthers < MIN_USUAL_COUNT) return Infinity
    const recentOfOthers = readDecayed(total.recent, nowMs) - readDecayed(recent, nowMs)
    const rise = Math.max(RECENT_DEMAND_MS / USUAL_DEMAND_MS, recentOfOthers / usualOfOthers)
    return Math.max(MIN_USUAL_COUNT, readDecayed(usual, nowMs) * rise)
  }
  return {
    recordAsked ({ customer, priority }, nowMs) {
      if (customer === undefined) {
        addToDecayed(anonymous, 1, nowMs)
        return false
      }
      const demand = getDemand(customer, nowMs)
      for (const { recent } of [total, demand]) addToDecayed(recent, 1, nowMs)
      for (const { asked } of [all, getShare(priority)]) addToDecayed(asked, 1, nowMs)
      const usualCount = computeUsualCount(demand, nowMs)
      const growth = Math.min(1, GROWTH_TOLERANCE * usualCount / readDecayed(demand.recent, nowMs))
      for (const { usual } of [total, demand]) addToDecayed(usual, growth, nowMs)
      if (readDecayed(demand.within, nowMs) + 1 > usualCount * SHARE_TOLERANCE) return true
      addToDecayed(demand.within, 1, nowMs)
      return false
    },
    recordServed ({ customer, priority }, nowMs) {
      if (customer === undefined) return
      for (const { served } of [all, getShare(priority), getDemand(customer, nowMs)]) addToDecayed(served, 1, nowMs)
    },
    recordRejected ({ customer }, nowMs) {
      if (customer !== undefined) addToDecayed(getDemand(customer, nowMs).rejected, 1, nowMs)
    },
    getWeight (customer, nowMs) {
      const usual = customer === undefined ? anonymous : demands.get(customer)?.usual
      const usualOfAll = readDecayed(total.usual, nowMs)
      return usual && usualOfAll > 0 ? 1 + readDecayed(usual, nowMs) * demands.size / usualOfAll : 1
    },
    isNeglected (priority, nowMs) {
      const share = shares.get(priority)
      const asked = share ? readDecayed(share.asked, nowMs) : 0
      if (!share || asked < MIN_ASKED) return false
      const servedOfAll = readDecayed(all.served, nowMs) / readDecayed(all.asked, nowMs)
      return readDecayed(share.served, nowMs) < NEGLECTED_PART * servedOfAll * asked
    },
    report (nowMs) {
      const rejected = [...demands.values()].map((demand) => readDecayed(demand.rejected, nowMs)).filter(isNotable)
      return {
        served: [...demands.values()].filter((demand) => isNotable(readDecayed(demand.served, nowMs))).length,
        rejected: rejected.length,
        largestRejectedShare: rejected.length === 0 ? 0 : Math.max(...rejected) / rejected.reduce((sum, value) => sum + value, 0)
      }
    }
  }
}
