/**
 * The quantile of the most recent values, at a cost that does not depend on how many there were.
 */

/** Recent values. */
export interface RecentQuantile {
  add(value: number): void
  /** Returns the value that this share, 0 to 1, of the recent values does not exceed; undefined while fewer than `minCount` are known. */
  compute(share: number): number | undefined
}

/** Options of `createRecentQuantile`. */
export interface RecentQuantileOptions {
  /** Number of values that are kept; a new one replaces the oldest. */
  maxCount: number
  /** Number of values without which nothing is known. */
  minCount: number
}

/** Values are sorted again after this many new ones. */
const SORT_INTERVAL = 8

/** Creates a quantile without values. */
export function createRecentQuantile ({ maxCount, minCount }: RecentQuantileOptions): RecentQuantile {
  const recent: number[] = []
  let addedCount = 0
  let sorted: number[] = []
  let sortedAtCount = 0
  const sortRecent = (): void => {
    sorted = [...recent].sort((a, b) => a - b)
    sortedAtCount = addedCount
  }
  return {
    add (value) {
      recent[addedCount % maxCount] = value
      addedCount += 1
    },
    compute (share) {
      if (addedCount < minCount) return undefined
      if (sorted.length === 0 || addedCount - sortedAtCount >= SORT_INTERVAL) sortRecent()
      return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]
    }
  }
}
