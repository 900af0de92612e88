/**
 * Decides claims for a reader that has not read its stream from the first record.
 *
 * It grants a claim only if every reader of the complete stream grants it too: the windows of all claims that it has
 * not read have ended, and no claim of the key that it has read, granted or not, is still in its window.
 */

/** Maximum difference between the clocks of processes and the log, in ms. */
const MAX_CLOCK_SKEW_MS = 60_000

/** What is known of a stream that is read from a later record than the first. */
export interface PartialView {
  /** Records the time of a record; that of the first one bounds the time of all earlier records. */
  addRecord(appendedAtMs: number): void
  /** Returns whether every reader grants a claim of the key. Call it before `addClaim`. */
  canGrant(key: string, windowMs: number, streamMs: number): boolean
  /** Records a claim that other readers may or may not have granted. */
  addClaim(key: string, untilMs: number): void
  /** Returns whether no claim is uncertain any more, so that the state is complete. */
  isSettled(streamMs: number): boolean
}

/** Creates the view of a reader that has read nothing yet; `maxWindowMs` is the upper bound of every claim window. */
export function createPartialView (maxWindowMs: number): PartialView {
  const uncertainUntilMs = new Map<string, number>()
  let unreadBeforeMs = Number.POSITIVE_INFINITY
  const isCovered = (windowMs: number, streamMs: number): boolean => streamMs >= unreadBeforeMs + windowMs
  return {
    addRecord (appendedAtMs) {
      if (unreadBeforeMs === Number.POSITIVE_INFINITY) unreadBeforeMs = appendedAtMs + MAX_CLOCK_SKEW_MS
    },
    canGrant: (key, windowMs, streamMs) => isCovered(windowMs, streamMs) && (uncertainUntilMs.get(key) ?? 0) <= streamMs,
    addClaim (key, untilMs) {
      uncertainUntilMs.set(key, Math.max(untilMs, uncertainUntilMs.get(key) ?? 0))
    },
    isSettled (streamMs) {
      for (const [key, untilMs] of uncertainUntilMs) if (untilMs <= streamMs) uncertainUntilMs.delete(key)
      return uncertainUntilMs.size === 0 && isCovered(maxWindowMs, streamMs)
    }
  }
}
