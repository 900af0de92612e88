/**
 * A budget of target time for measurements: a token bucket in ms that refills at a steady rate and is charged in advance.
 */

/** Options of a spend budget. */
export interface SpendBudgetOptions {
  /** Refill rate, in ms of target time per second. */
  refillMsPerSecond: number
  /** Maximum balance, in ms of target time. */
  maxBalanceMs: number
  /** The instant of creation, by the monotonic clock in ms; the budget is empty then. */
  nowMs: number
}

/** A budget of target time. */
export interface SpendBudget {
  /** Charges a cost; returns false and charges nothing when the balance is lower. */
  charge(costMs: number, nowMs: number): boolean
  /** Changes the refill rate from `nowMs` on, and cuts the balance to the new maximum. */
  update(refillMsPerSecond: number, maxBalanceMs: number, nowMs: number): void
  /** Returns the sum charged since the start, in ms of target time. */
  getSpentMs(): number
}

const MS_PER_SECOND = 1000

/** Creates an empty budget, so that a restart grants no measurements. */
export function createSpendBudget (options: SpendBudgetOptions): SpendBudget {
  let { refillMsPerSecond, maxBalanceMs } = options
  let balanceMs = 0
  let refilledAtMs = options.nowMs
  let spentMs = 0

  const updateBalance = (nowMs: number): void => {
    balanceMs = Math.min(maxBalanceMs, balanceMs + Math.max(0, nowMs - refilledAtMs) * refillMsPerSecond / MS_PER_SECOND)
    refilledAtMs = Math.max(refilledAtMs, nowMs)
  }
  return {
    charge (costMs, nowMs) {
      updateBalance(nowMs)
      if (balanceMs < costMs) return false
      balanceMs -= costMs
      spentMs += costMs
      return true
    },
    update (nextRefillMsPerSecond, nextMaxBalanceMs, nowMs) {
      updateBalance(nowMs)
      refillMsPerSecond = nextRefillMsPerSecond
      maxBalanceMs = nextMaxBalanceMs
      balanceMs = Math.min(balanceMs, maxBalanceMs)
    },
    getSpentMs: () => spentMs
  }
}
