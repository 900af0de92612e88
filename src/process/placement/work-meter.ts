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

/** The share of each new answer in the mean. */
const WEIGHT = 0.05
/** The share of the first answers, so that the mean settles soon. */
const FIRST_ANSWERS = 10

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
      const weight = Math.max(WEIGHT, 1 / Math.min(known.answers, FIRST_ANSWERS * 2))
      known.meanMs += weight * (sampleMs - known.meanMs)
    }
  }
}
