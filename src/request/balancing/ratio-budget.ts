/**
 * A budget of extra work that grows with ordinary work, for hedges and retries.
 */

/** Options of a ratio budget. */
export interface RatioBudgetOptions {
  /** Extra requests earned by each ordinary one, 0 to 1. */
  share: number
  /** The most that may be saved up, in requests. Default 20. */
  largest?: number
  /** What stands in it at the start, in requests. Default 0, so that a restart earns nothing. */
  initial?: number
}

/** A budget of extra requests. */
export interface RatioBudget {
  /** Earns the share of one ordinary request. */
  add(): void
  /** Takes one extra request; false when less than one has been earned. */
  take(): boolean
  /** Changes what an ordinary request earns. */
  updateShare(share: number): void
  /** Changes the most that may be saved up; what is over it is dropped. */
  updateLargest(largest: number): void
  /** The number of extra requests taken so far. */
  countTaken(): number
}

const DEFAULT_LARGEST = 20
// Shares such as 0.02 do not add up to exactly 1 in binary.
const ROUNDING = 1e-9

/** Creates a ratio budget. */
export function createRatioBudget (options: RatioBudgetOptions): RatioBudget {
  const { initial = 0 } = options
  let { largest = DEFAULT_LARGEST } = options
  let share = options.share
  let saved = initial
  let taken = 0
  return {
    add () {
      saved = Math.min(largest, saved + share)
    },
    take () {
      if (saved + ROUNDING < 1) return false
      saved = Math.max(0, saved - 1)
      taken += 1
      return true
    },
    updateShare (next) {
      share = next
    },
    updateLargest (next) {
      largest = next
      saved = Math.min(largest, saved)
    },
    countTaken: () => taken
  }
}
