/**
 * Counts admissions exactly in a sliding window of about a second.
 */
import type { Clock } from '../../clock.ts'

/** Length of the window in ms: a second plus a margin for clocks that run at slightly different rates. */
export const RATE_WINDOW_MS = 1_001
const MIN_CAPACITY = 16

/** Admissions within the last `RATE_WINDOW_MS`. */
export interface RateWindow {
  /** Admits one if fewer than `limit` were admitted within the window. Returns whether it was admitted. */
  tryAcquire(limit: number): boolean
  /** Returns the time until one more can be admitted under `limit`, in ms. */
  computeWaitMs(limit: number): number
  count(): number
}

/** Creates an empty window. It uses 8 bytes for each admission of a second. */
export function createRateWindow (clock: Clock): RateWindow {
  let times = new Float64Array(MIN_CAPACITY)
  let first = 0
  let size = 0
  const dropOld = (nowMs: number): void => {
    while (size > 0 && nowMs - (times[first] ?? 0) >= RATE_WINDOW_MS) {
      first = (first + 1) % times.length
      size -= 1
    }
  }
  const addCapacity = (): void => {
    if (size < times.length) return
    const larger = new Float64Array(2 * times.length)
    for (let index = 0; index < size; index++) larger[index] = times[(first + index) % times.length] ?? 0
    times = larger
    first = 0
  }
  return {
    tryAcquire (limit) {
      const nowMs = clock.monotonicMs()
      dropOld(nowMs)
      if (size >= limit) return false
      addCapacity()
      times[(first + size) % times.length] = nowMs
      size += 1
      return true
    },
    computeWaitMs (limit) {
      const nowMs = clock.monotonicMs()
      dropOld(nowMs)
      if (size < limit) return 0
      if (limit <= 0) return RATE_WINDOW_MS
      const blocking = times[(first + size - Math.floor(limit)) % times.length] ?? nowMs
      return Math.max(0, blocking + RATE_WINDOW_MS - nowMs)
    },
    count () {
      dropOld(clock.monotonicMs())
      return size
    }
  }
}
