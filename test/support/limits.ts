import { contractSchema } from '../../src/version/contract.ts'
import type { Contract } from '../../src/version/contract.ts'

/** Creates a contract of which only the limits matter. */
export function createLimitsContract (limits: { customer?: string, requestsPerSecond: number, concurrentRequests: number, largestCount: number }): Contract {
  const { customer = 'millers', largestCount, ...rates } = limits
  const parsed = contractSchema.parse({
    customer,
    version: 1,
    basedOn: 0,
    effectiveAt: '2027-01-15T00:00:00+09:00',
    limits: rates,
    entries: { largestCount, addressLifetimeMs: 10_000 },
    onceWindowMs: 60_000,
    services: {}
  })
  return parsed as Contract
}
