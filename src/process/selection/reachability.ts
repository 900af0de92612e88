/**
 * Detects that this entry has lost its network to the targets of a service.
 *
 * An entry alone cannot tell whether targets have failed or its own network has: in both cases it cannot reach them. The other
 * entries can: a target that this entry fails to reach, that another entry reaches meanwhile, and that this entry then still
 * fails to reach, is sound, and the network of this entry is not.
 */
import type { Clock } from '../../clock.ts'
import type { TargetId } from '../../types.ts'

/** When another entry has reached a target: between two instants of the monotonic clock of this process, in ms. */
export interface ReachedElsewhere { earliestMs: number, latestMs: number }

/** A target that this entry cannot reach, and since when, in ms. */
export interface UnreachedTarget { target: TargetId, unreachedForMs: number }

/** Whether the targets of one service can be reached. */
export interface Reachability {
  /** Records that a target has responded. */
  recordReached(target: TargetId): void
  /**
   * Records that a target could not be connected to, or did not respond to a probe. `startedAtMs` is when that attempt began, by
   * the monotonic clock in ms; now by default.
   */
  recordUnreached(target: TargetId, startedAtMs?: number): void
  /** Records that another entry has reached a target. */
  recordReachedElsewhere(target: TargetId, reached: ReachedElsewhere): void
  /** Returns when a target was last reached, by the monotonic clock in ms; undefined when it could not be reached since, or was not tried lately. */
  getReachedAtMs(target: TargetId): number | undefined
  /** Whether no target can be reached, so that no request can be served here. */
  hasLostAll(): boolean
  /** Whether most targets cannot be reached, for whatever reason. */
  hasLostMost(): boolean
  /** Whether most targets cannot be reached here while other entries reach them, so that callers are better served there. */
  isCutOff(): boolean
  /** Whether some target has been reached lately, and not failed since. */
  hasReached(): boolean
  /** Selects the unreached targets that other entries are asked about; the same ones again as long as they stay unreached. */
  selectForCheck(): UnreachedTarget[]
  /** Whether another entry has reached a target since this entry failed to, and this entry has not tried it again yet. */
  isCheckOpen(target: TargetId): boolean
}

/** Share of unreachable targets from which most are lost, and below which that is over. */
const LOST_SHARE = { from: 0.75, until: 0.5 }
/** This many targets are hardly all paused for a moment. */
const MANY_TARGETS = 4
/** With fewer targets that other entries reach, a cut needs failures of one for this long, in ms: it may be paused for a moment. */
const MIN_FAILURE_MS = 500
/** Share of the targets asked about that other entries must reach; the rest may have failed. */
const MIN_REACHED_ELSEWHERE_SHARE = 0.5
/** Other entries are asked about this many targets. */
const MAX_CHECKED_TARGETS = MANY_TARGETS
/** Results that are older do not count, in ms. */
const MAX_RESULT_AGE_MS = 3_000
/** The state is updated at this interval at most, in ms. */
const CHECK_INTERVAL_MS = 100

/** The latest result of a target; `failure` is set when it could not be reached. Instants by the monotonic clock in ms. */
interface Result {
  atMs: number
  failure: Failure | undefined
}

interface Failure {
  /** When the first failed attempt began. */
  firstStartedAtMs: number
  /** When the last failed attempt began. */
  lastStartedAtMs: number
  isChecked: boolean
  /** The latest time at which another entry may have reached the target; undefined when none has. */
  reachedElsewhereAtMs: number | undefined
  /** Whether this entry has failed again after another one had reached the target. */
  isConfirmed: boolean
}

function createFailure (startedAtMs: number): Failure {
  return { firstStartedAtMs: startedAtMs, lastStartedAtMs: startedAtMs, isChecked: false, reachedElsewhereAtMs: undefined, isConfirmed: false }
}

/** Creates the detection for one service. */
export function createReachability (clock: Clock): Reachability {
  const results = new Map<TargetId, Result>()
  const state = { hasLostAll: false, hasLostMost: false, isCutOff: false }
  let updatedAtMs = -Infinity

  const removeOld = (nowMs: number): void => {
    for (const [target, { atMs }] of results) if (nowMs - atMs > MAX_RESULT_AGE_MS) results.delete(target)
  }
  const listFailures = (): Failure[] => [...results.values()].flatMap(({ failure }) => failure ?? [])
  const hasReached = (): boolean => {
    removeOld(clock.monotonicMs())
    return [...results.values()].some(({ failure }) => failure === undefined)
  }
  const isReachedElsewhere = ({ isConfirmed, reachedElsewhereAtMs }: Failure, nowMs: number): boolean =>
    isConfirmed && reachedElsewhereAtMs !== undefined && nowMs - reachedElsewhereAtMs <= MAX_RESULT_AGE_MS
  const isSoundElsewhere = (failures: readonly Failure[], nowMs: number): boolean => {
    const checked = failures.filter(({ isChecked }) => isChecked)
    const sound = checked.filter((failure) => isReachedElsewhere(failure, nowMs))
    const hasFailedLong = sound.some(({ firstStartedAtMs, lastStartedAtMs }) => lastStartedAtMs - firstStartedAtMs >= MIN_FAILURE_MS)
    return (hasFailedLong || sound.length >= MANY_TARGETS) && sound.length >= checked.length * MIN_REACHED_ELSEWHERE_SHARE
  }
  const updateState = (): typeof state => {
    const nowMs = clock.monotonicMs()
    if (nowMs - updatedAtMs < CHECK_INTERVAL_MS) return state
    updatedAtMs = nowMs
    removeOld(nowMs)
    const failures = listFailures()
    const share = results.size > 0 ? failures.length / results.size : 0
    state.hasLostMost = share > 0 && share >= (state.hasLostMost ? LOST_SHARE.until : LOST_SHARE.from)
    state.isCutOff = state.hasLostMost && isSoundElsewhere(failures, nowMs)
    state.hasLostAll = share === 1 && (state.isCutOff || failures.length >= MANY_TARGETS)
    return state
  }
  return {
    recordReached (target) {
      results.set(target, { atMs: clock.monotonicMs(), failure: undefined })
      state.hasLostAll = false
    },
    recordUnreached (target, startedAtMs = clock.monotonicMs()) {
      const nowMs = clock.monotonicMs()
      const known = results.get(target)
      // The attempt began before the target was reached by a later one.
      if (known && !known.failure && startedAtMs < known.atMs) return
      const failure = known?.failure
      if (!known || !failure) {
        results.set(target, { atMs: nowMs, failure: createFailure(startedAtMs) })
        return
      }
      known.atMs = nowMs
      failure.lastStartedAtMs = Math.max(failure.lastStartedAtMs, startedAtMs)
      if (failure.reachedElsewhereAtMs !== undefined && startedAtMs >= failure.reachedElsewhereAtMs) failure.isConfirmed = true
    },
    recordReachedElsewhere (target, { earliestMs, latestMs }) {
      const failure = results.get(target)?.failure
      if (!failure || earliestMs < failure.firstStartedAtMs) return
      failure.reachedElsewhereAtMs = Math.max(latestMs, failure.reachedElsewhereAtMs ?? -Infinity)
    },
    getReachedAtMs (target) {
      const known = results.get(target)
      return known?.failure ? undefined : known?.atMs
    },
    hasLostAll: () => updateState().hasLostAll,
    hasLostMost: () => updateState().hasLostMost,
    isCutOff: () => updateState().isCutOff,
    hasReached,
    selectForCheck () {
      const nowMs = clock.monotonicMs()
      const unreached = [...results].flatMap(([target, { failure }]) => failure ? [{ target, failure }] : [])
      const checked = unreached.filter(({ failure }) => failure.isChecked)
      const others = unreached.filter(({ failure }) => !failure.isChecked)
      const selected = [...checked, ...others].slice(0, MAX_CHECKED_TARGETS)
      for (const { failure } of selected) failure.isChecked = true
      return selected.map(({ target, failure }) => ({ target, unreachedForMs: nowMs - failure.firstStartedAtMs }))
    },
    isCheckOpen (target) {
      const failure = results.get(target)?.failure
      return failure?.reachedElsewhereAtMs !== undefined && !failure.isConfirmed
    }
  }
}
