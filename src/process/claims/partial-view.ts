/**
 * What a reader may still conclude that does not know the start of its stream.
 *
 * It grants a claim only if every reader with the whole stream would grant it too: nothing that it has not read
 * can be in its window any more, and no other claim of the key that it has read is in its window, granted or not.
 */

/** How far clocks of processes and log may differ, in ms. */
const LARGEST_CLOCK_SKEW_MS = 60_000

/** Knowledge of a stream from some record on. */
export interface PartialView {
  /** Notes a record; the first one bounds the time of all that came before it. */
  addRecord(appendedAtMs: number): void
  /** Whether a claim of the key is granted for certain. Ask before `addClaim`. */
  canGrant(key: string, windowMs: number, streamMs: number): boolean
  /** Notes a claim that was not granted for certain. */
  addClaim(key: string, untilMs: number): void
  /** Whether nothing is uncertain any more. */
  isSettled(streamMs: number): boolean
}

/** Creates the view of a reader that has read nothing yet; `largestWindowMs` bounds every once-window. */
export function createPartialView (largestWindowMs: number): PartialView {
  const uncertainUntilMs = new Map<string, number>()
  let unreadBeforeMs = Number.POSITIVE_INFINITY
  const isCovered = (windowMs: number, streamMs: number): boolean => streamMs >= unreadBeforeMs + windowMs
  return {
    addRecord (appendedAtMs) {
      if (unreadBeforeMs === Number.POSITIVE_INFINITY) unreadBeforeMs = appendedAtMs + LARGEST_CLOCK_SKEW_MS
    },
    canGrant: (key, windowMs, streamMs) => isCovered(windowMs, streamMs) && (uncertainUntilMs.get(key) ?? 0) <= streamMs,
    addClaim (key, untilMs) {
      uncertainUntilMs.set(key, Math.max(untilMs, uncertainUntilMs.get(key) ?? 0))
    },
    isSettled (streamMs) {
      for (const [key, untilMs] of uncertainUntilMs) if (untilMs <= streamMs) uncertainUntilMs.delete(key)
      return uncertainUntilMs.size === 0 && isCovered(largestWindowMs, streamMs)
    }
  }
}
