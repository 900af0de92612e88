/**
 * The contract version in effect for each customer in this process. It goes back to an older version only when a state
 * reloaded from the log shows that the newer one was never accepted.
 */
import type { Clock } from '../../clock.ts'
import type { Cancel, ContractVersion, CustomerId } from '../../types.ts'
import { findVersionInEffect } from '../../version/contract-fold.ts'
import type { AcceptedVersion, FoldState } from '../../version/contract-fold.ts'
import type { Contract } from '../../version/contract.ts'

/** The contract versions in effect. */
export interface ContractsInEffect {
  /** Returns the version in effect now, after applying a due version. */
  getVersion(customer: CustomerId): AcceptedVersion | undefined
  /** Applies the due version of one customer. */
  updateCustomer(customer: CustomerId): void
  /** Applies the due versions of all customers that have a scheduled version. */
  updateScheduled(): void
  /** Returns the number of the version in effect, 0 when there is none. */
  getVersionNumber(customer: CustomerId): ContractVersion
  /** Drops versions in effect that the reloaded state shows were never accepted, and applies the due ones. */
  dropUnknown(): void
  /** Calls `action` with each contract that takes effect; returns a function that ends the calls. */
  watchContracts(action: (contract: Contract) => void): Cancel
}

/** Options for the contracts in effect. */
export interface ContractsInEffectOptions {
  /** Returns the accepted versions; a reload may replace the object. */
  getState: () => FoldState
  clock: Clock
  /** Called once for each version that takes effect. */
  recordInEffect: (version: AcceptedVersion) => void
}

/** Creates the contracts in effect, initially none. */
export function createContractsInEffect (options: ContractsInEffectOptions): ContractsInEffect {
  const { clock, getState, recordInEffect } = options
  const inEffect = new Map<CustomerId, AcceptedVersion>()
  const scheduled = new Set<CustomerId>()
  const watchers = new Set<(contract: Contract) => void>()

  const updateCustomer = (customer: CustomerId): void => {
    const schedule = getState().get(customer) ?? []
    const due = findVersionInEffect(schedule, clock.wallMs())
    const current = inEffect.get(customer)
    const hasScheduled = schedule.at(-1) !== due && schedule.length > 0
    if (hasScheduled) scheduled.add(customer)
    else scheduled.delete(customer)
    // After a clock that jumps back an older version is due; the newer one stays in effect.
    if (!due || (current && current.contract.version >= due.contract.version)) return
    inEffect.set(customer, due)
    recordInEffect(due)
    for (const notify of watchers) notify(due.contract)
  }

  return {
    getVersion (customer) {
      if (scheduled.has(customer)) updateCustomer(customer)
      return inEffect.get(customer)
    },
    updateCustomer,
    updateScheduled () {
      for (const customer of [...scheduled]) updateCustomer(customer)
    },
    getVersionNumber: (customer) => inEffect.get(customer)?.contract.version ?? 0 as ContractVersion,
    dropUnknown () {
      for (const [customer, { contract, nonce }] of inEffect) {
        const schedule = getState().get(customer) ?? []
        const newest = schedule.at(-1)?.contract.version ?? 0
        const accepted = schedule.find((version) => version.contract.version === contract.version)
        // A version at or below the newest that is not in the schedule was accepted and has been replaced.
        if (contract.version > newest || (accepted && accepted.nonce !== nonce)) inEffect.delete(customer)
        updateCustomer(customer)
      }
    },
    watchContracts (action) {
      watchers.add(action)
      return () => watchers.delete(action)
    }
  }
}
