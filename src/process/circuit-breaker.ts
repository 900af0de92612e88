/**
 * A circuit breaker. After several consecutive failures it opens and rejects calls; at growing intervals it allows one trial call.
 */
import type { Clock } from '../clock.ts'

/** Options of a circuit breaker. */
export interface BreakerOptions {
  clock: Clock
  /** The number of consecutive failures that opens it. Default 3. */
  failuresToOpen?: number
  /** How long it rejects calls after it opens, in ms; doubled after each failed trial. Default 200. */
  firstOpenMs?: number
  /** The upper bound of that time, in ms. Default 2,000. */
  maxOpenMs?: number
  /** Returns numbers from 0 up to 1. It adds jitter, so that several processes do not make their trials at the same time. */
  random?: () => number
}

/** A permit to make one call. The holder calls exactly one of its functions when the call ends. */
export interface BreakerPermit {
  /** Closes the breaker and resets the count of failures. */
  markSucceeded(): void
  /** Counts a failure; may open the breaker. */
  markFailed(): void
  /** Ends the call without a result, for instance when it was cancelled. */
  release(): void
}

/** A circuit breaker. */
export interface CircuitBreaker {
  /** Returns a permit, or undefined when the call is rejected. */
  tryAcquire(): BreakerPermit | undefined
  /** Returns whether the breaker is open; an open breaker may still allow a trial. */
  isOpen(): boolean
  /** Returns whether a call would be rejected now. */
  isRefusing(): boolean
}

const DEFAULTS = { failuresToOpen: 3, firstOpenMs: 200, maxOpenMs: 2_000 }
/** The smallest share of the open time that remains after jitter. */
const MIN_JITTER_SHARE = 0.5

/** Creates a closed breaker. */
export function createCircuitBreaker (options: BreakerOptions): CircuitBreaker {
  const { clock } = options
  const { failuresToOpen, firstOpenMs, maxOpenMs } = { ...DEFAULTS, ...options }
  const random = options.random ?? Math.random
  let failures = 0
  let openMs = firstOpenMs
  let openUntilMs: number | undefined
  let isTrialRunning = false

  const open = (): void => {
    openUntilMs = clock.monotonicMs() + openMs * (MIN_JITTER_SHARE + (1 - MIN_JITTER_SHARE) * random())
    openMs = Math.min(maxOpenMs, openMs * 2)
  }

  const createPermit = (isTrial: boolean): BreakerPermit => {
    let isSettled = false
    const settle = (action: () => void): void => {
      if (isSettled) return
      isSettled = true
      if (isTrial) isTrialRunning = false
      action()
    }
    return {
      markSucceeded: () => settle(() => {
        failures = 0
        openMs = firstOpenMs
        openUntilMs = undefined
      }),
      markFailed: () => settle(() => {
        failures += 1
        // Failures of calls that began before the breaker opened must not extend the open time.
        if (isTrial || (openUntilMs === undefined && failures >= failuresToOpen)) open()
      }),
      release: () => settle(() => {})
    }
  }

  const isRefusing = (): boolean => openUntilMs !== undefined && (isTrialRunning || clock.monotonicMs() < openUntilMs)

  return {
    isRefusing,
    tryAcquire () {
      if (isRefusing()) return undefined
      const isTrial = openUntilMs !== undefined
      isTrialRunning ||= isTrial
      return createPermit(isTrial)
    },
    isOpen: () => openUntilMs !== undefined
  }
}
