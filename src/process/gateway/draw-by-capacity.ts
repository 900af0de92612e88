/**
 * Draws entries so that each is named to callers in proportion to its capacity. Callers choose among the entries that they are
 * told with equal chances, so an entry's share of them is its chance to be named.
 */

/** An entry that can be named; entries that state no capacity have `DEFAULT_CAPACITY`. */
export interface CapacityHolder { capacity?: number | undefined }

/** Capacity of an entry that states none, in cores. */
const DEFAULT_CAPACITY = 1
/** However small an entry is, its weight is this share of the mean, so that callers still come to it. */
const MIN_WEIGHT_SHARE = 0.25
/** At least this share of the entries is named, and at least this number, so that a caller whose first choice fails has others. */
const MIN_NAMED_SHARE = 0.5
const MIN_NAMED_ENTRIES = 4

function computeWeights (entries: readonly CapacityHolder[]): number[] {
  const capacities = entries.map(({ capacity = DEFAULT_CAPACITY }) => capacity)
  const mean = capacities.reduce((sum, capacity) => sum + capacity, 0) / capacities.length
  return capacities.map((capacity) => Math.max(capacity, mean * MIN_WEIGHT_SHARE))
}

function isEven (weights: readonly number[]): boolean {
  return weights.every((weight) => weight === weights[0])
}

/**
 * Returns how many of these entries are named, at most `limit`: as many as can be while each is named in proportion to its
 * weight, and all of them when their weights are equal. Below the least number the largest entries get less than their share.
 */
export function computeNamedCount (entries: readonly CapacityHolder[], limit: number): number {
  const most = Math.min(limit, entries.length)
  const weights = computeWeights(entries)
  if (isEven(weights)) return most
  const proportionalCount = Math.floor(weights.reduce((sum, weight) => sum + weight, 0) / Math.max(...weights))
  const least = Math.max(MIN_NAMED_ENTRIES, Math.ceil(most * MIN_NAMED_SHARE))
  return Math.min(most, Math.max(least, proportionalCount))
}

/** Computes the chance of each weight to be drawn, in proportion to it but at most 1, so that the chances sum up to `count`. */
function computeChances (weights: readonly number[], count: number): number[] {
  let certain = new Set<number>()
  for (;;) {
    const rest = weights.reduce((sum, weight, index) => certain.has(index) ? sum : sum + weight, 0)
    const factor = rest > 0 ? (count - certain.size) / rest : 0
    const next = new Set(weights.flatMap((weight, index) => certain.has(index) || weight * factor >= 1 ? index : []))
    if (next.size === certain.size) return weights.map((weight, index) => certain.has(index) ? 1 : weight * factor)
    certain = next
  }
}

/** Draws `count` of the entries, which come in random order, without drawing one twice (systematic sampling: Madow, 1949). */
export function drawByCapacity<T extends CapacityHolder> (shuffled: readonly T[], count: number, random: () => number): T[] {
  const weights = computeWeights(shuffled)
  if (count >= shuffled.length || isEven(weights)) return shuffled.slice(0, count)
  const chances = computeChances(weights, count)
  // The chances lie one after the other on a line; marks at distance 1 hit each with its chance, and none twice.
  let passed = random()
  return shuffled.filter((_, index) => {
    const before = Math.floor(passed)
    passed += chances[index]!
    return Math.floor(passed) > before
  })
}
