/**
 * Detects whether this process is overloaded, by how late its timers run (event loop delay).
 */
import type { Clock } from '../clock.ts'
import type { Cancel } from '../types.ts'

/** Options of the watch. */
export interface LatenessWatchOptions {
  clock: Clock
  /** Called when the process becomes busy and when it stops being busy; `latenessMs` is the mean delay of timers. */
  handleChange(isBusy: boolean, latenessMs: number): void
  /** Called on each tick of the watch, 20 times a second. */
  handleTick?(): void
}

const TICK_MS = 50
/** The weight of one tick in the moving mean. */
const TICK_WEIGHT = 0.2
/** The process becomes busy when the mean delay of timers exceeds this, in ms. */
const BUSY_MS = 40
/** A busy process stops being busy when the mean delay falls to this, in ms; the gap to `BUSY_MS` avoids flapping. */
const NOT_BUSY_MS = 8
/** Caps the delay of one tick, in ms, because a single pause, such as a suspended machine, is not load. */
const MAX_LATENESS_MS = 150

/** Starts the watch; the returned function ends it. */
export function startLatenessWatch ({ clock, handleChange, handleTick }: LatenessWatchOptions): Cancel {
  let latenessMs = 0
  let isBusy = false
  let cancel: Cancel = () => undefined
  const startTick = (): void => {
    const dueAtMs = clock.monotonicMs() + TICK_MS
    cancel = clock.startTimer(TICK_MS, () => {
      const lateMs = Math.min(MAX_LATENESS_MS, Math.max(0, clock.monotonicMs() - dueAtMs))
      latenessMs += TICK_WEIGHT * (lateMs - latenessMs)
      const isBusyNow = latenessMs > (isBusy ? NOT_BUSY_MS : BUSY_MS)
      if (isBusyNow !== isBusy) handleChange(isBusyNow, latenessMs)
      isBusy = isBusyNow
      handleTick?.()
      startTick()
    })
  }
  startTick()
  return () => cancel()
}
