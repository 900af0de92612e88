/**
 * Deals requests out in proportion to weights, evenly also over short spans.
 */

/** One of the parts. */
export interface WeightedPart { weight: number }

/** Deals parts out in turn. */
export interface WeightedTurns<P extends WeightedPart> {
  /** Takes the part whose turn it is. */
  take(): P
}

/** Creates the turns by smooth weighted round robin; `random` in [0, 1) sets where they begin, so that processes differ. */
export function createWeightedTurns<P extends WeightedPart> (parts: readonly P[], random: () => number): WeightedTurns<P> {
  const first = parts[0]
  if (!first) throw new Error('weighted turns need at least one part')
  const sum = parts.reduce((total, part) => total + part.weight, 0)
  const credits = parts.map((part) => random() * part.weight)
  return {
    take () {
      if (parts.length === 1 || sum <= 0) return first
      let best = 0
      for (let index = 0; index < parts.length; index++) {
        credits[index] = (credits[index] ?? 0) + (parts[index]?.weight ?? 0)
        if ((credits[index] ?? 0) > (credits[best] ?? 0)) best = index
      }
      credits[best] = (credits[best] ?? 0) - sum
      return parts[best] ?? first
    }
  }
}
