/**
 * Detects that this entry has lost its network to the targets of a service: most of those that it tried lately cannot be
 * reached.
 */
import type { Clock } from '../../clock.ts'
import type { TargetId } from '../../types.ts'

/** Whether the targets of one service can be reached. */
export interface Reachability {
  /** Records that a target has responded. */
  recordReached(target: TargetId): void
  /** Records that a target could not be connected to, or did not respond to a load probe. */
  recordUnreached(target: TargetId): void
  /** Whether no target can be reached. */
  hasLostAll(): boolean
  /** Whether most targets cannot be reached, so that callers are better served by other entries. */
  hasLostMost(): boolean
}

/** This many targets must be unreachable: a few that crash are no sign of a lost network. */
const MIN_UNREACHED_TARGETS = 4
/** Share of unreachable targets from which most are lost, and below which that is over. */
const LOST_SHARE = { from: 0.75, until: 0.5 }
/** Results that are older do not count, in ms. */
const MAX_RESULT_AGE_MS = 3_000
/** The state is checked at this interval at most, in ms. */
const CHECK_INTERVAL_MS = 100

/** Creates the detection for one service. */
export function createReachability (clock: Clock): Reachability {
  /** The latest result of each target that was tried. */
  const results = new Map<TargetId, { isReached: boolean, atMs: number }>()
  const state = { hasLostAll: false, hasLostMost: false }
  let checkedAtMs = -Infinity

  const record = (target: TargetId, isReached: boolean): void => {
    results.set(target, { isReached, atMs: clock.monotonicMs() })
    if (isReached) state.hasLostAll = false
  }
  const check = (): typeof state => {
    const nowMs = clock.monotonicMs()
    if (nowMs - checkedAtMs < CHECK_INTERVAL_MS) return state
    checkedAtMs = nowMs
    for (const [target, { atMs }] of results) if (nowMs - atMs > MAX_RESULT_AGE_MS) results.delete(target)
    const unreachedCount = [...results.values()].filter(({ isReached }) => !isReached).length
    const share = results.size > 0 ? unreachedCount / results.size : 0
    const isEnough = unreachedCount >= MIN_UNREACHED_TARGETS
    state.hasLostAll = isEnough && share === 1
    state.hasLostMost = isEnough && share >= (state.hasLostMost ? LOST_SHARE.until : LOST_SHARE.from)
    return state
  }
  return {
    recordReached: (target) => record(target, true),
    recordUnreached: (target) => record(target, false),
    hasLostAll: () => check().hasLostAll,
    hasLostMost: () => check().hasLostMost
  }
}
