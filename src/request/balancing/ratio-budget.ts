/**
 * A budget for hedged requests and retries: a token bucket that ordinary requests refill, so that the extra requests
 * stay within a share of the ordinary ones.
 */

/** Options of a ratio budget. */
export interface RatioBudgetOptions {
  /** Tokens added by each ordinary request, 0 to 1. */
  share: number
  /** Maximum number of tokens in the bucket. Default 20. */
  maxTokens?: number
  /** Tokens at the start. Default 0, so that a restart grants no extra requests. */
  initialTokens?: number
}

/** A budget of extra requests; each costs one token. */
export interface RatioBudget {
  /** Adds the tokens for one ordinary request. */
  addShare(): void
  /** Whether there is a token for one extra request. */
  canAcquire(): boolean
  /** Takes the token for one extra request; false when there is less than one token. */
  tryAcquire(): boolean
  /** Changes the tokens added by each ordinary request. */
  updateShare(share: number): void
  /** Changes the maximum number of tokens and drops those beyond it. */
  updateMaxTokens(maxTokens: number): void
  /** Returns the number of tokens taken since the start. */
  countAcquired(): number
}

const DEFAULT_MAX_TOKENS = 20
/** Tolerance in tokens, since shares such as 0.02 do not add up to exactly 1 in binary. */
const ROUNDING_TOLERANCE = 1e-9

/** Creates a ratio budget. */
export function createRatioBudget (options: RatioBudgetOptions): RatioBudget {
  const { initialTokens = 0 } = options
  let { maxTokens = DEFAULT_MAX_TOKENS } = options
  let share = options.share
  let tokens = initialTokens
  let taken = 0
  const canAcquire = (): boolean => tokens + ROUNDING_TOLERANCE >= 1
  return {
    addShare () {
      tokens = Math.min(maxTokens, tokens + share)
    },
    canAcquire,
    tryAcquire () {
      if (!canAcquire()) return false
      tokens = Math.max(0, tokens - 1)
      taken += 1
      return true
    },
    updateShare (next) {
      share = next
    },
    updateMaxTokens (next) {
      maxTokens = next
      tokens = Math.min(maxTokens, tokens)
    },
    countAcquired: () => taken
  }
}
