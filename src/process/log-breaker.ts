/**
 * A circuit breaker: after several failures in a row it refuses calls, and lets one trial through now and then.
 */
import type { Clock } from '../clock.ts'

/** How a breaker behaves. */
export interface BreakerOptions {
  clock: Clock
  /** Failures in a row that open it. Default 3. */
  failuresToOpen?: number
  /** How long it first refuses, in ms; doubled after each failed trial. Default 200. */
  firstOpenMs?: number
  /** The longest that it refuses, in ms. Default 2,000. */
  longestOpenMs?: number
  /** Gives numbers from 0 up to 1; spreads the trials of several processes. */
  random?: () => number
}

/** A permit to make one call; exactly one of its ends is called. */
export interface BreakerPermit {
  markSucceeded(): void
  markFailed(): void
  /** The call was given up for reasons that say nothing about the other side. */
  release(): void
}

/** A circuit breaker. */
export interface Breaker {
  /** Returns a permit, or undefined when the call is refused. */
  tryEnter(): BreakerPermit | undefined
  isOpen(): boolean
  /** Whether a call would be refused now. */
  isRefusing(): boolean
}

const DEFAULTS = { failuresToOpen: 3, firstOpenMs: 200, longestOpenMs: 2_000 }
/** The smallest part of a pause that jitter leaves. */
const JITTER_FLOOR = 0.5

/** Creates a closed breaker. */
export function createBreaker (options: BreakerOptions): Breaker {
  const { clock } = options
  const { failuresToOpen, firstOpenMs, longestOpenMs } = { ...DEFAULTS, ...options }
  const random = options.random ?? Math.random
  let failures = 0
  let openMs = firstOpenMs
  let openUntilMs: number | undefined
  let hasTrial = false

  const open = (): void => {
    openUntilMs = clock.monotonicMs() + openMs * (JITTER_FLOOR + (1 - JITTER_FLOOR) * random())
    openMs = Math.min(longestOpenMs, openMs * 2)
  }

  const createPermit = (isTrial: boolean): BreakerPermit => {
    let isOver = false
    const settle = (action: () => void): void => {
      if (isOver) return
      isOver = true
      if (isTrial) hasTrial = false
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
        // Late failures of calls that began before it opened do not lengthen the pause.
        if (isTrial || (openUntilMs === undefined && failures >= failuresToOpen)) open()
      }),
      release: () => settle(() => {})
    }
  }

  const isRefusing = (): boolean => openUntilMs !== undefined && (hasTrial || clock.monotonicMs() < openUntilMs)

  return {
    isRefusing,
    tryEnter () {
      if (isRefusing()) return undefined
      const isTrial = openUntilMs !== undefined
      hasTrial ||= isTrial
      return createPermit(isTrial)
    },
    isOpen: () => openUntilMs !== undefined
  }
}
