/**
 * Smooth weighted round robin: selects items in proportion to their weights, evenly also over few selections.
 */

/** An item to select; weights are relative to each other. */
export interface WeightedItem { weight: number }

/** Selects items in turn. */
export interface WeightedRoundRobin<P extends WeightedItem> {
  /** Selects the next item. */
  select(): P
}

/** Creates a smooth weighted round robin. `random`, in [0, 1), sets where it begins, so that processes differ. Throws if `items` is empty. */
export function createWeightedRoundRobin<P extends WeightedItem> (items: readonly P[], random: () => number): WeightedRoundRobin<P> {
  const first = items[0]
  if (!first) throw new Error('a weighted round robin needs at least one item')
  const sum = items.reduce((total, item) => total + item.weight, 0)
  const credits = items.map((item) => random() * item.weight)
  return {
    select () {
      if (items.length === 1 || sum <= 0) return first
      let best = 0
      for (let index = 0; index < items.length; index++) {
        credits[index] = (credits[index] ?? 0) + (items[index]?.weight ?? 0)
        if ((credits[index] ?? 0) > (credits[best] ?? 0)) best = index
      }
      credits[best] = (credits[best] ?? 0) - sum
      return items[best] ?? first
    }
  }
}
