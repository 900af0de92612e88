/**
 * Which version of each customer's contract is in force on this process. It never goes back to an older one.
 */
import type { Clock } from '../../clock.ts'
import type { Cancel, ContractVersion, CustomerId } from '../../types.ts'
import { findVersionInForce } from '../../version/contract-fold.ts'
import type { AcceptedVersion, FoldState } from '../../version/contract-fold.ts'
import type { Contract } from '../../version/contract.ts'

/** The versions in force. */
export interface InForce {
  /** Returns the version in force, after putting into force whatever is due by now. */
  getVersion(customer: CustomerId): AcceptedVersion | undefined
  /** Puts into force what is due of one customer. */
  updateCustomer(customer: CustomerId): void
  /** Puts into force what is due of every customer that has a version waiting for its date. */
  updateWaiting(): void
  /** Returns the version number in force, 0 when none is. */
  getVersionNumber(customer: CustomerId): ContractVersion
  /** Forgets versions that turned out never to have been on the log, and puts into force what is due. */
  dropUnknown(): void
  watchContracts(action: (contract: Contract) => void): Cancel
}

/** What putting contracts into force needs. */
export interface InForceOptions {
  /** The accepted versions; it may be another object after a reload. */
  getState: () => FoldState
  clock: Clock
  /** Called once for each version that comes into force. */
  recordInForce: (version: AcceptedVersion) => void
}

/** Creates the record of what is in force. */
export function createInForce (options: InForceOptions): InForce {
  const { clock, getState, recordInForce } = options
  const inForce = new Map<CustomerId, AcceptedVersion>()
  const waiting = new Set<CustomerId>()
  const watchers = new Set<(contract: Contract) => void>()

  const updateCustomer = (customer: CustomerId): void => {
    const schedule = getState().get(customer) ?? []
    const due = findVersionInForce(schedule, clock.wallMs())
    const current = inForce.get(customer)
    const hasWaiting = schedule.at(-1) !== due && schedule.length > 0
    if (hasWaiting) waiting.add(customer)
    else waiting.delete(customer)
    // A clock that jumps back finds an older version due; the newer one stays.
    if (!due || (current && current.contract.version >= due.contract.version)) return
    inForce.set(customer, due)
    recordInForce(due)
    for (const notify of watchers) notify(due.contract)
  }

  return {
    getVersion (customer) {
      if (waiting.has(customer)) updateCustomer(customer)
      return inForce.get(customer)
    },
    updateCustomer,
    updateWaiting () {
      for (const customer of [...waiting]) updateCustomer(customer)
    },
    getVersionNumber: (customer) => inForce.get(customer)?.contract.version ?? 0 as ContractVersion,
    dropUnknown () {
      for (const [customer, { contract, nonce }] of inForce) {
        const schedule = getState().get(customer) ?? []
        const head = schedule.at(-1)?.contract.version ?? 0
        const same = schedule.find((version) => version.contract.version === contract.version)
        // A version that is no longer in the schedule was replaced since.
        if (contract.version > head || (same && same.nonce !== nonce)) inForce.delete(customer)
        updateCustomer(customer)
      }
    },
    watchContracts (action) {
      watchers.add(action)
      return () => watchers.delete(action)
    }
  }
}
