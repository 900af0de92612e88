/**
 * Measures how long the targets of each zone take to respond to a load probe, and how long a round of probes waits for them.
 */
import type { ZoneId } from '../../types.ts'

/** Response times of load probes. */
export interface ProbeTimes {
  /** Records that a target of a zone responded to a load probe after `tookMs`. */
  record(zone: ZoneId, tookMs: number): void
  /** Returns how long to wait for the load probe of a target of a zone, in ms. */
  getTimeoutMs(zone: ZoneId): number
}

/** Waiting less would save little: a request is worth its wait for another target. */
const MIN_TIMEOUT_MS = 12
/** A target that needs longer is no better than the next one. */
const MAX_TIMEOUT_MS = 60
/** Weights of a new response time in the mean and the mean deviation, and the deviations allowed for, as TCP has them (RFC 6298). */
const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
const ALLOWED_DEVIATIONS = 4

/** Creates the measurement without response times. */
export function createProbeTimes (): ProbeTimes {
  const zones = new Map<ZoneId, { meanMs: number, deviationMs: number }>()
  return {
    record (zone, tookMs) {
      const known = zones.get(zone)
      if (!known) {
        zones.set(zone, { meanMs: tookMs, deviationMs: tookMs / 2 })
        return
      }
      known.deviationMs += DEVIATION_WEIGHT * (Math.abs(tookMs - known.meanMs) - known.deviationMs)
      known.meanMs += MEAN_WEIGHT * (tookMs - known.meanMs)
    },
    getTimeoutMs (zone) {
      const known = zones.get(zone)
      if (!known) return MIN_TIMEOUT_MS
      return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, known.meanMs + ALLOWED_DEVIATIONS * known.deviationMs))
    }
  }
}
