/**
 * The shutdown of a gateway as its requests see it: by when each of them must have its response.
 */
import type { Clock } from '../../clock.ts'
import type { Cancel } from '../../types.ts'

/** A shutdown that has started or may start. */
export interface Shutdown {
  /** Starts the shutdown of a process that closes its connections at `endAtMs`, by the monotonic clock in ms. */
  start(endAtMs: number): void
  /** Returns the instant by which responses must be sent, by the monotonic clock in ms; `Infinity` until the shutdown starts. */
  getResponseByMs(): number
  /** Calls `action` once at that instant, or at once when it has passed. The returned function removes the action. */
  watchResponseBy(action: () => void): Cancel
  close(): void
}

/** Time to send the last responses before the connections are closed, in ms. */
const SEND_MARGIN_MS = 100

/** Creates a shutdown that has not started. */
export function createShutdown (clock: Clock): Shutdown {
  const actions = new Set<() => void>()
  let responseByMs = Infinity
  let cancelTimer: Cancel = () => undefined
  const runActions = (): void => {
    for (const action of actions) action()
    actions.clear()
  }
  return {
    start (endAtMs) {
      responseByMs = endAtMs - SEND_MARGIN_MS
      cancelTimer = clock.startTimer(Math.max(0, responseByMs - clock.monotonicMs()), runActions)
    },
    getResponseByMs: () => responseByMs,
    watchResponseBy (action) {
      if (clock.monotonicMs() >= responseByMs) action()
      else actions.add(action)
      return () => actions.delete(action)
    },
    close: () => cancelTimer()
  }
}
