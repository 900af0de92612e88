/**
 * Chooses the updates that ride on the next message: each update is passed on a limited number of times, which grows with
 * the logarithm of the number of members, so that it reaches all of them (Das, Gupta, Motivala: SWIM, 2002).
 */
import type { EntryId } from '../../types.ts'

/** The updates still to be passed on, by member. */
export interface UpdateQueue {
  /** Adds the newest update of a member, in place of an earlier one. */
  add(id: EntryId): void
  /** Returns at most `maxCount` members, those passed on least often first, and counts them as passed on. */
  take(maxCount: number): EntryId[]
  /** Counts the updates that are still to be passed on. */
  count(): number
}

/** Times that an update is passed on, per power of two of the number of members. */
const SENDS_PER_DOUBLING = 2

/** Creates an empty queue. */
export function createUpdateQueue (countMembers: () => number): UpdateQueue {
  const sendCounts = new Map<EntryId, number>()
  return {
    add (id) {
      sendCounts.set(id, 0)
    },
    take (maxCount) {
      const maxSends = Math.ceil(SENDS_PER_DOUBLING * Math.log2(countMembers() + 1))
      const chosen = [...sendCounts].sort((a, b) => a[1] - b[1]).slice(0, maxCount)
      for (const [id, count] of chosen) {
        if (count + 1 >= maxSends) sendCounts.delete(id)
        else sendCounts.set(id, count + 1)
      }
      return chosen.map(([id]) => id)
    },
    count: () => sendCounts.size
  }
}
