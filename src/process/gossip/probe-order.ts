/**
 * The order in which a member probes the others: every one once in a random order before any is probed again, so that
 * the time until a failed member is probed is bounded.
 */
import type { EntryId } from '../../types.ts'

/** Returns the next member to probe; undefined when there is none. */
export type TakeNextProbe = (candidates: readonly EntryId[]) => EntryId | undefined

/** Returns a shuffled copy of a list. */
export function shuffle<T> (items: readonly T[], random: () => number): T[] {
  const shuffled = [...items]
  for (let last = shuffled.length - 1; last > 0; last--) {
    const chosen = Math.floor(random() * (last + 1))
    const item = shuffled[last]!
    shuffled[last] = shuffled[chosen]!
    shuffled[chosen] = item
  }
  return shuffled
}

/** Creates the order. Members that appear during a round join the next one. */
export function createProbeOrder (random: () => number): TakeNextProbe {
  let round: EntryId[] = []
  return (candidates) => {
    if (candidates.length === 0) return undefined
    const present = new Set(candidates)
    round = round.filter((id) => present.has(id))
    if (round.length === 0) round = shuffle(candidates, random)
    return round.pop()
  }
}
