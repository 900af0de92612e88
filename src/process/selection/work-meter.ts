/**
 * Measures how long the work of each route takes on a target of normal speed, as a moving average over responses.
 */

/** Work times of all routes. */
export interface WorkMeter {
  /** Returns the mean work time of a route in ms; `fallbackMs` before the first response. */
  getWorkMs(route: string, fallbackMs: number): number
  /** Records a response that took `tookMs` at a target that was `slowdown` times slower than normal. */
  record(route: string, tookMs: number, slowdown: number): void
}

/** Minimum weight of a new response in the mean; until 1 / n falls below it, the first n responses have equal weights. */
const MIN_SAMPLE_WEIGHT = 0.05

/** Creates a meter without responses. */
export function createWorkMeter (): WorkMeter {
  const means = new Map<string, { meanMs: number, sampleCount: number }>()
  return {
    getWorkMs: (route, fallbackMs) => means.get(route)?.meanMs ?? fallbackMs,
    record (route, tookMs, slowdown) {
      const sampleMs = tookMs / Math.max(1, slowdown)
      const known = means.get(route)
      if (!known) {
        means.set(route, { meanMs: sampleMs, sampleCount: 1 })
        return
      }
      known.sampleCount += 1
      known.meanMs += Math.max(MIN_SAMPLE_WEIGHT, 1 / known.sampleCount) * (sampleMs - known.meanMs)
    }
  }
}
