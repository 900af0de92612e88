/**
 * The local view of each target: its connections, in-flight requests, latest load report and failures.
 */
import type { Clock } from '../../clock.ts'
import { createTargetPool } from '../../connection/target-pool.ts'
import type { TargetPool } from '../../connection/target-pool.ts'
import type { TokenBucket } from '../../request/balancing/token-bucket.ts'
import type { LoadReport } from '../../request/selection/load-report.ts'
import type { TargetId } from '../../types.ts'
import type { RegisteredTarget } from '../discovery/target-registry.ts'

/** The local view of a target. Instants by the monotonic clock in ms. */
export interface TargetState {
  registered: RegisteredTarget
  pool: TargetPool
  /** In-flight requests of this process at the target. */
  inFlight: number
  /** Load probes of this process in flight. */
  probesInFlight: number
  /** Trials of suspected requests of this process in flight at the target. */
  trialCount: number
  /** Requests of this process that the target has answered. */
  answeredCount: number
  /** Requests sent since the start. */
  sentCount: number
  /** Value of that count when the latest load report was requested by a probe, or received with a response. */
  sentCountAtReport: number
  /** The latest load report; undefined before the first. */
  report: LoadReport | undefined
  reportAtMs: number
  /** Whether the latest load probe found the target unsuitable: slow, crowded or warming up. */
  isReportUnsuitable: boolean
  consecutiveFailures: number
  /** Exponential moving average of the share of requests that failed. */
  failureRate: number
  /** End of the ejection; the target gets no requests before it. */
  ejectedUntilMs: number
  /** The target rejects requests of this process until then, by the `Retry-After` of a rejection. */
  pausedUntilMs: number
  /** Rate limit of the load probes. */
  probeBucket: TokenBucket
  /** When a connection was last opened only to find out whether the target can be reached. */
  connectionCheckedAtMs: number
}

/** Whether a target has answered requests and runs no trial, so that a crash during a trial is hardly a coincidence. */
export function isProven ({ answeredCount, trialCount }: TargetState): boolean {
  return answeredCount > 0 && trialCount === 0
}

/** The local views of all registered targets. */
export interface TargetStates {
  /** Returns the state of a target; creates it for a new registration. */
  get(registered: RegisteredTarget): TargetState
  /** Removes the states of targets that are no longer registered; their in-flight requests may finish. */
  removeUnregistered(isRegistered: (registered: RegisteredTarget) => boolean): void
  /** Closes the connections to all targets. */
  close(): void
}

/** Options of `createTargetStates`. */
export interface TargetStatesOptions {
  clock: Clock
  /** Maximum number of connections of this process to one target. */
  maxConnections: number
  /** Called when an idle connection to a target has ended. */
  handleDisconnect?(state: TargetState): void
  /** Creates the connection pool of a target; tests replace it to need no network. */
  createPool?: typeof createTargetPool
}

/** Returns when a target gets requests again, by the monotonic clock in ms. */
function getResumeAtMs ({ pausedUntilMs, ejectedUntilMs }: TargetState): number {
  return Math.max(pausedUntilMs, ejectedUntilMs)
}

function createState (registered: RegisteredTarget, pool: TargetPool): TargetState {
  return {
    registered,
    pool,
    inFlight: 0,
    probesInFlight: 0,
    trialCount: 0,
    answeredCount: 0,
    sentCount: 0,
    sentCountAtReport: 0,
    report: undefined,
    reportAtMs: -Infinity,
    isReportUnsuitable: false,
    consecutiveFailures: 0,
    failureRate: 0,
    ejectedUntilMs: -Infinity,
    pausedUntilMs: -Infinity,
    probeBucket: { tokens: 0, filledAtMs: -Infinity },
    connectionCheckedAtMs: -Infinity
  }
}

/** Creates an empty set of target states. */
export function createTargetStates (options: TargetStatesOptions): TargetStates {
  const { clock, maxConnections, createPool = createTargetPool } = options
  const states = new Map<TargetId, TargetState>()
  /** The states of removed targets that get no requests yet: their records may come back before that time is over. */
  const removed = new Map<TargetId, TargetState>()

  const close = (state: TargetState): void => {
    state.pool.close()
    const { id } = state.registered.report
    if (getResumeAtMs(state) > clock.monotonicMs()) removed.set(id, state)
  }
  const removeExpired = (): void => {
    const nowMs = clock.monotonicMs()
    for (const [id, state] of removed) if (getResumeAtMs(state) <= nowMs) removed.delete(id)
  }
  const create = (registered: RegisteredTarget): TargetState => {
    const handleDisconnect = (): void => options.handleDisconnect?.(state)
    const state = createState(registered, createPool({ target: registered.report, maxConnections, clock, handleDisconnect }))
    const before = removed.get(registered.report.id)
    if (before?.registered.report.bornMs !== registered.report.bornMs) return state
    const { pausedUntilMs, ejectedUntilMs, consecutiveFailures, failureRate } = before
    return Object.assign(state, { pausedUntilMs, ejectedUntilMs, consecutiveFailures, failureRate })
  }
  return {
    get (registered) {
      const known = states.get(registered.report.id)
      if (known?.registered === registered) return known
      if (known) close(known)
      const created = create(registered)
      states.set(registered.report.id, created)
      return created
    },
    removeUnregistered (isRegistered) {
      for (const [id, state] of states) {
        if (isRegistered(state.registered)) continue
        close(state)
        states.delete(id)
      }
      removeExpired()
    },
    close () {
      for (const state of states.values()) state.pool.close()
    }
  }
}
