/**
 * Permits that were granted to this entry and not used, kept for a short time for its next requests.
 */
import type { Clock } from '../../clock.ts'
import type { TargetId } from '../../types.ts'

/** Permits that were not used. */
export interface UnusedPermits {
  add(target: TargetId): void
  /** Takes a permit of a target; false when there is none that is still valid. */
  tryTake(target: TargetId): boolean
  removeUnregistered(isRegistered: (target: TargetId) => boolean): void
}

/** A permit is valid for this time, in ms; longer, and the permits of many entries could be used at once. */
const PERMIT_LIFETIME_MS = 500

/** Creates an empty set. */
export function createUnusedPermits (clock: Clock): UnusedPermits {
  const expiries = new Map<TargetId, number[]>()
  return {
    add (target) {
      expiries.set(target, [...expiries.get(target) ?? [], clock.monotonicMs() + PERMIT_LIFETIME_MS])
    },
    tryTake (target) {
      const nowMs = clock.monotonicMs()
      const valid = (expiries.get(target) ?? []).filter((expiresAtMs) => expiresAtMs > nowMs)
      const isTaken = valid.pop() !== undefined
      if (valid.length > 0) expiries.set(target, valid)
      else expiries.delete(target)
      return isTaken
    },
    removeUnregistered (isRegistered) {
      for (const target of expiries.keys()) if (!isRegistered(target)) expiries.delete(target)
    }
  }
}
