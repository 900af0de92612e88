/**
 * Decides when a request goes to a cold target. Left to their estimates, cold targets get nothing while others are suitable, and
 * stay cold for their callers longer than they need to.
 */

/**
 * Returns the cold target whose turn it is; undefined when it is the turn of another target. Each usable target has the same
 * turn, so that a cold one gets no more than others do on average; how much it bears is up to its permits.
 */
export function drawColdTarget<T> (cold: readonly T[], usableCount: number, random: () => number): T | undefined {
  if (cold.length === 0) return undefined
  return cold[Math.floor(random() * usableCount)]
}
