/**
 * What this process knows of each target by its own contact: connections, requests under way, load and failures.
 */
import type { Clock } from '../../clock.ts'
import { createTargetPool } from '../../connection/target-pool.ts'
import type { TargetPool } from '../../connection/target-pool.ts'
import type { TokenBucket } from '../../request/balancing/token-bucket.ts'
import type { LoadReport } from '../../request/placement/load-report.ts'
import type { TargetId } from '../../types.ts'
import type { RegisteredTarget } from '../discovery/target-registry.ts'

/** A target as this process sees it. */
export interface TargetState {
  registered: RegisteredTarget
  pool: TargetPool
  /** Requests of this process at the target. */
  inFlight: number
  /** Looks of this process under way. */
  looking: number
  /** Requests sent since the start, and their number when the latest report was asked for. */
  sent: number
  sentAtReport: number
  report: LoadReport | undefined
  reportAtMs: number
  /** Whether the latest report found it slow or full. */
  isReportBad: boolean
  failuresInRow: number
  /** The share of its latest requests that it failed, as a decaying mean. */
  failedShare: number
  /** Until when it gets nothing, by the monotonic clock in ms. */
  avoidUntilMs: number
  /** Looks that may still be taken. */
  looks: TokenBucket
}

/** The states of all targets that the registry holds. */
export interface TargetStates {
  /** Returns the state of a target, after creating it when it is new. */
  get(registered: RegisteredTarget): TargetState
  /** Drops the states of targets that are gone; requests under way end by themselves. */
  removeGone(isKnown: (registered: RegisteredTarget) => boolean): void
  close(): void
}

/** How to create the states. */
export interface TargetStatesOptions {
  clock: Clock
  /** The most connections of this process to one target. */
  largestConnections: number
  /** Creates the connections to a target; tests pass one that needs no network. */
  createPool?: typeof createTargetPool
}

/** Creates the states. */
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
    removeGone (isKnown) {
      for (const [id, state] of states) {
        if (isKnown(state.registered)) continue
        state.pool.close()
        states.delete(id)
      }
    },
    close () {
      for (const state of states.values()) state.pool.close()
    }
  }
}
