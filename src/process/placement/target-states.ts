/**
 * The local view of each target: its connections, in-flight requests, latest load report and failures.
 */
import type { Clock } from '../../clock.ts'
import { createTargetPool } from '../../connection/target-pool.ts'
import type { TargetPool } from '../../connection/target-pool.ts'
import type { TokenBucket } from '../../request/balancing/token-bucket.ts'
import type { LoadReport } from '../../request/placement/load-report.ts'
import type { TargetId } from '../../types.ts'
import type { RegisteredTarget } from '../discovery/target-registry.ts'

/** The local view of a target. Instants by the monotonic clock in ms. */
export interface TargetState {
  registered: RegisteredTarget
  pool: TargetPool
  /** In-flight requests of this process at the target. */
  inFlight: number
  /** Load probes of this process in flight. */
  looking: number
  /** Requests sent since the start. */
  sent: number
  /** Value of that count when the latest load report was requested by a probe, or received with a response. */
  sentAtReport: number
  /** The latest load report; undefined before the first. */
  report: LoadReport | undefined
  reportAtMs: number
  /** Whether the latest load probe found the target unsuitable: slow, crowded or warming up. */
  isReportBad: boolean
  failuresInRow: number
  /** Exponential moving average of the share of requests that failed. */
  failedShare: number
  /** End of the ejection; the target gets no requests before it. */
  avoidUntilMs: number
  /** Rate limit of the load probes. */
  looks: TokenBucket
}

/** The local views of all registered targets. */
export interface TargetStates {
  /** Returns the state of a target; creates it for a new registration. */
  get(registered: RegisteredTarget): TargetState
  /** Removes the states of targets that are no longer registered; their in-flight requests may finish. */
  removeGone(isRegistered: (registered: RegisteredTarget) => boolean): void
  /** Closes the connections to all targets. */
  close(): void
}

/** Options of `createTargetStates`. */
export interface TargetStatesOptions {
  clock: Clock
  /** Maximum number of connections of this process to one target. */
  largestConnections: number
  /** Creates the connection pool of a target; tests replace it to need no network. */
  createPool?: typeof createTargetPool
}

/** Creates an empty set of target states. */
export function createTargetStates (options: TargetStatesOptions): TargetStates {
  const { clock, largestConnections, createPool = createTargetPool } = options
  const states = new Map<TargetId, TargetState>()
  const create = (registered: RegisteredTarget): TargetState => ({
    registered,
    pool: createPool({ target: registered.report, largestConnections, clock }),
    inFlight: 0,
    looking: 0,
    sent: 0,
    sentAtReport: 0,
    report: undefined,
    reportAtMs: -Infinity,
    isReportBad: false,
    failuresInRow: 0,
    failedShare: 0,
    avoidUntilMs: -Infinity,
    looks: { tokens: 0, filledAtMs: -Infinity }
  })
  return {
    get (registered) {
      const known = states.get(registered.report.id)
      if (known?.registered === registered) return known
      known?.pool.close()
      const created = create(registered)
      states.set(registered.report.id, created)
      return created
    },
    removeGone (isRegistered) {
      for (const [id, state] of states) {
        if (isRegistered(state.registered)) continue
        state.pool.close()
        states.delete(id)
      }
    },
    close () {
      for (const state of states.values()) state.pool.close()
    }
  }
}
