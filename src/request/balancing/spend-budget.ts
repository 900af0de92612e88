/**
 * A budget of server time that fills steadily and is charged before it is spent.
 */

/** Options of a spend budget. */
export interface SpendBudgetOptions {
  /** What comes in, in ms of server time a second. */
  perSecondMs: number
  /** The most that may be saved up, in ms of server time. */
  largestMs: number
  /** The instant of creation, by the monotonic clock in ms; the budget is empty then. */
  nowMs: number
}

/** A budget of server time. */
export interface SpendBudget {
  /** Charges a cost; false, and nothing charged, when less than it is there. */
  charge(costMs: number, nowMs: number): boolean
  /** Changes what comes in from now on; what stands in it is cut to the new bound. */
  update(perSecondMs: number, largestMs: number, nowMs: number): void
  /** Everything charged so far, in ms of server time. */
  getSpentMs(): number
}

const MS_PER_SECOND = 1000

/** Creates an empty budget: a restart earns nothing. */
export function createSpendBudget (options: SpendBudgetOptions): SpendBudget {
  let { perSecondMs, largestMs } = options
  let savedMs = 0
  let filledAtMs = options.nowMs
  let spentMs = 0

  const addIncome = (nowMs: number): void => {
    savedMs = Math.min(largestMs, savedMs + Math.max(0, nowMs - filledAtMs) * perSecondMs / MS_PER_SECOND)
    filledAtMs = Math.max(filledAtMs, nowMs)
  }
  return {
    charge (costMs, nowMs) {
      addIncome(nowMs)
      if (savedMs < costMs) return false
      savedMs -= costMs
      spentMs += costMs
      return true
    },
    update (nextPerSecondMs, nextLargestMs, nowMs) {
      addIncome(nowMs)
      perSecondMs = nextPerSecondMs
      largestMs = nextLargestMs
      savedMs = Math.min(savedMs, largestMs)
    },
    getSpentMs: () => spentMs
  }
}
