/**
 * Home slots: each slot of a service's targets is assigned to one of the live entries by rendezvous hashing, so that
 * entries prefer different targets without coordination.
 */
import { computeHash, computePairWeight } from './rendezvous.ts'

/** Inputs of `computeHomeSlots`. */
export interface HomeSlotInput<T extends string, E extends string> {
  targets: readonly T[]
  slotsPerTarget: number
  /** The live entries; `self` is added when it is missing. */
  entries: readonly E[]
  self: E
}

/** Counts the home slots of `self` at each target. */
export function computeHomeSlots<T extends string, E extends string> (input: HomeSlotInput<T, E>): Map<T, number> {
  const entries = input.entries.includes(input.self) ? input.entries : [...input.entries, input.self]
  const others = entries.filter((entry) => entry !== input.self).map((entry) => computeHash(entry))
  const own = computeHash(input.self)
  const homeSlots = new Map<T, number>()
  for (const target of input.targets) {
    let count = 0
    for (let slot = 0; slot < input.slotsPerTarget; slot++) {
      if (hasHighestWeight(computeHash(`${target}#${slot}`), own, others)) count += 1
    }
    homeSlots.set(target, count)
  }
  return homeSlots
}

/** Returns whether `own` has the highest weight for a key; of equal weights the smaller hash wins. */
function hasHighestWeight (key: number, own: number, others: readonly number[]): boolean {
  const ownWeight = computePairWeight(key, own)
  return others.every((other) => {
    const weight = computePairWeight(key, other)
    return weight < ownWeight || (weight === ownWeight && own < other)
  })
}
