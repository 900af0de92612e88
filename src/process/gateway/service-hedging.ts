/**
 * The hedge policies of the routes of one service, under the limit of the operator's settings.
 */
import { createHedgePolicy } from '../../request/balancing/hedge-policy.ts'
import type { HedgeCounts, HedgePolicy } from '../../request/balancing/hedge-policy.ts'

/** Hedging of the requests to one service. */
export interface ServiceHedging {
  /** Returns the policy of a route; undefined without a limit in the settings, when hedges come from the retry budget alone. */
  get(route: string): HedgePolicy | undefined
  /** Changes the limit, a share of extra work; undefined when the settings have none. */
  updateMaxExtraShare(share: number | undefined): void
  /** Returns the hedges of all routes since the start. */
  report(): HedgeCounts
}

/** Creates the hedging of a service; policies are created with the first request of their route. */
export function createServiceHedging (initialShare: number | undefined): ServiceHedging {
  const policies = new Map<string, HedgePolicy>()
  let maxExtraShare = initialShare
  const create = (route: string, share: number): HedgePolicy => {
    const policy = createHedgePolicy(share)
    policies.set(route, policy)
    return policy
  }
  return {
    get: (route) => maxExtraShare === undefined ? undefined : policies.get(route) ?? create(route, maxExtraShare),
    updateMaxExtraShare (share) {
      maxExtraShare = share
      for (const policy of policies.values()) policy.updateMaxExtraShare(share ?? 0)
    },
    report () {
      const counts = [...policies.values()].map((policy) => policy.report())
      return { sent: counts.reduce((sum, { sent }) => sum + sent, 0), won: counts.reduce((sum, { won }) => sum + won, 0) }
    }
  }
}
