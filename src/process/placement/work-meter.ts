/**
 * How long the work of each route takes on a target of usual speed, learned from answers.
 */

/** The work of all routes. */
export interface WorkMeter {
  /** Returns the usual time of a route's work in ms; `fallbackMs` until one answer has told. */
  getWorkMs(route: string, fallbackMs: number): number
  /** Learns from an answer that took `tookMs` at a target that was `slowdown` times slower than usual. */
  record(route: string, tookMs: number, slowdown: number): void
}

/** The share of each new answer in the mean, once there are enough; the first ones count evenly. */
const WEIGHT = 0.05

/** Creates a meter that has learned nothing. */
export function createWorkMeter (): WorkMeter {
  const means = new Map<string, { meanMs: number, answers: number }>()
  return {
    getWorkMs: (route, fallbackMs) => means.get(route)?.meanMs ?? fallbackMs,
    record (route, tookMs, slowdown) {
      const sampleMs = tookMs / Math.max(1, slowdown)
      const known = means.get(route)
      if (!known) {
        means.set(route, { meanMs: sampleMs, answers: 1 })
        return
      }
      known.answers += 1
      known.meanMs += Math.max(WEIGHT, 1 / known.answers) * (sampleMs - known.meanMs)
    }
  }
}
