/**
 * Decides when a member requests the view of another one, to repair what lost messages left out of its own.
 */
import type { Clock } from '../../clock.ts'
import type { GossipTiming } from './gossip-types.ts'

/** Time between two requests for a view that are made because another view differs, in ms. */
const MIN_REPAIR_INTERVAL_MS = 1_000
/** The first comparisons of views follow each other faster: their interval doubles from this share of the usual one. */
const FIRST_SYNC_SHARE = 1 / 16

/** Decides when to request a view. */
export interface ViewSync {
  /**
   * Returns whether a view is to be requested now. `isDifferent`: a view that differs from the own one has been seen, and no
   * update is on its way that explains it.
   */
  isDue(isDifferent: boolean): boolean
}

/** Creates the schedule: often at first, then every `syncIntervalMs`, and sooner when views differ. */
export function createViewSync (timing: GossipTiming, clock: Clock): ViewSync {
  let intervalMs = timing.syncIntervalMs * FIRST_SYNC_SHARE
  let nextAtMs = clock.monotonicMs()
  let lastAtMs = -Infinity
  return {
    isDue (isDifferent) {
      const nowMs = clock.monotonicMs()
      const isRepair = isDifferent && nowMs - lastAtMs >= MIN_REPAIR_INTERVAL_MS
      if (nowMs < nextAtMs && !isRepair) return false
      lastAtMs = nowMs
      if (nowMs < nextAtMs) return true
      nextAtMs = nowMs + intervalMs
      intervalMs = Math.min(timing.syncIntervalMs, intervalMs * 2)
      return true
    }
  }
}
