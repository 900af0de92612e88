/**
 * The operator: writes configurations and evacuations to the store, and writes them again when the store has been restored from a copy.
 */
import type { PlatformStore } from '../stand-ins/platform-store.ts'
import type { SoakPlan } from './plan.ts'
import { describeConfiguration } from './system.ts'

/** The operator of a run. */
export interface Operator {
  /** Asks the entries to send nothing to a zone. Resolves when the store has acknowledged it. */
  evacuate(zone: string): Promise<void>
  /** Ends one evacuation of a zone; the zone is used again when no other is in force. */
  endEvacuation(zone: string): Promise<void>
  /** Replaces the key of a customer by one that its callers do not have. Resolves when the store has acknowledged it. */
  revokeKey(customer: number): Promise<void>
  /** Handles that the store is away until `back` resolves; what is written meanwhile waits. */
  handleStoreAway(back: Promise<void>): void
  /** Writes everything again, for a store that may have lost it. */
  writeAgain(): void
}

/** Creates the operator of a run whose first configuration has been written. */
export function createOperator (plan: SoakPlan, store: PlatformStore): Operator {
  const revoked = new Set<number>()
  /** How many of the evacuations in force are of each zone. */
  const evacuated = new Map<string, number>()
  let version = 1
  let storeBack: Promise<void> = Promise.resolve()
  const writeConfiguration = (): void => store.put('keyed.op', 'config', describeConfiguration(plan, version, revoked))
  const writeEvacuation = (zone: string): void => store.put('keyed.op', `evacuate/${zone}`, {})
  const addEvacuations = (zone: string, count: number): number => {
    const sum = (evacuated.get(zone) ?? 0) + count
    evacuated.set(zone, sum)
    return sum
  }
  return {
    async evacuate (zone) {
      await storeBack
      addEvacuations(zone, 1)
      writeEvacuation(zone)
    },
    async endEvacuation (zone) {
      await storeBack
      if (addEvacuations(zone, -1) === 0) store.put('keyed.op', `evacuate/${zone}`)
    },
    async revokeKey (customer) {
      await storeBack
      revoked.add(customer)
      version += 1
      writeConfiguration()
    },
    handleStoreAway (back) { storeBack = back },
    writeAgain () {
      writeConfiguration()
      for (const [zone, count] of evacuated) if (count > 0) writeEvacuation(zone)
    }
  }
}
