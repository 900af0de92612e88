/**
 * What one entry knows of a customer that has a quota: how often its requests come here, and how many of them wait for a token.
 */
import type { TokenDemand } from './lease-bucket.ts'

/** The demand of one customer at one entry. Instants by the monotonic clock in ms. */
export interface CustomerDemand {
  /** Requests per second, averaged. */
  perSecond: number
  arrivedAtMs: number
  /** Requests that wait for a token. */
  waitingCount: number
  /** No token is available before. */
  deniedUntilMs: number
  /** The request for tokens that is on its way. */
  asking: Promise<void> | undefined
  /** Rejected requests since the last log line, and when it was written. */
  rejectedCount: number
  writtenAtMs: number
}

const MS_PER_SECOND = 1_000
/** Time over which the rate of requests is averaged, in ms. */
const AVERAGING_MS = 1_000
/** Share of a lease for which tokens are asked in advance; those for its end would often expire. */
const ADVANCE_SHARE = 0.8

/** Creates the demand of a customer that has sent nothing yet. */
export function createCustomerDemand (): CustomerDemand {
  return { perSecond: 0, arrivedAtMs: 0, waitingCount: 0, deniedUntilMs: 0, asking: undefined, rejectedCount: 0, writtenAtMs: -Infinity }
}

/** Records the arrival of a request. */
export function recordArrival (demand: CustomerDemand, nowMs: number): void {
  const decay = Math.exp((demand.arrivedAtMs - nowMs) / AVERAGING_MS)
  demand.perSecond = demand.perSecond * decay + MS_PER_SECOND / AVERAGING_MS
  demand.arrivedAtMs = nowMs
}

/** Computes how many tokens to ask for: those of the waiting requests, and those of requests that are likely during a lease. */
export function computeTokenDemand ({ perSecond, waitingCount }: CustomerDemand, leaseMs: number): TokenDemand {
  return { required: waitingCount, expected: Math.floor(perSecond * ADVANCE_SHARE * leaseMs / MS_PER_SECOND) }
}
