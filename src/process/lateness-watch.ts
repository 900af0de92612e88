/**
 * Tells whether this process has more work than it can do in time, by how late its timers run.
 */
import type { Clock } from '../clock.ts'
import type { Cancel } from '../types.ts'

/** How to watch. */
export interface LatenessWatchOptions {
  clock: Clock
  /** Told when the process becomes busy, and when it no longer is, with how late timers run, in ms. */
  handleChange(isBusy: boolean, latenessMs: number): void
}

const TICK_MS = 50
/** What a tick adds to the mean. */
const WEIGHT = 0.2
/** A process is busy once timers run later than this on average, and until they run less late than the lower bound, in ms. */
const BUSY_MS = 40
const CALM_MS = 8
/** One pause, such as a suspended machine, is no load, and counts for no more than this, in ms. */
const LARGEST_LATENESS_MS = 150

/** Starts to watch. */
export function startLatenessWatch ({ clock, handleChange }: LatenessWatchOptions): Cancel {
  let latenessMs = 0
  let isBusy = false
  let cancel: Cancel = () => undefined
  const startTick = (): void => {
    const dueAtMs = clock.monotonicMs() + TICK_MS
    cancel = clock.startTimer(TICK_MS, () => {
      const lateMs = Math.min(LARGEST_LATENESS_MS, Math.max(0, clock.monotonicMs() - dueAtMs))
      latenessMs += WEIGHT * (lateMs - latenessMs)
      const isBusyNow = latenessMs > (isBusy ? CALM_MS : BUSY_MS)
      if (isBusyNow !== isBusy) handleChange(isBusyNow, latenessMs)
      isBusy = isBusyNow
      startTick()
    })
  }
  startTick()
  return () => cancel()
}
