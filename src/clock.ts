/**
 * The clock of the process and a manual clock for tests. All times are in milliseconds.
 */
import type { Cancel } from './types.ts'

/** Reads the time and runs timers. Tests pass a clock that they advance by hand. */
export interface Clock {
  /** Returns milliseconds since an arbitrary instant; never decreases. */
  monotonicMs(): number
  /** Returns milliseconds since 1970; may jump in either direction. */
  wallMs(): number
  /** Runs `action` once after `delayMs`; the returned function cancels it. */
  startTimer(delayMs: number, action: () => void): Cancel
  /** Resolves after `delayMs`, or at once when `signal` aborts. */
  wait(delayMs: number, signal?: AbortSignal): Promise<void>
}

/** An instant by both clocks of a host: the monotonic clock may stand still while the host is suspended, the wall clock may jump. */
export interface Instant { monotonicMs: number, wallMs: number }

/** Reads the present instant. */
export function readInstant (clock: Pick<Clock, 'monotonicMs' | 'wallMs'>): Instant {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() }
}

/** Returns the instant that is `ms` later. */
export function addMs ({ monotonicMs, wallMs }: Instant, ms: number): Instant {
  return { monotonicMs: monotonicMs + ms, wallMs: wallMs + ms }
}

/** Measures how long ago an instant was at most, in ms: the longer time of the two clocks. Negative for a later instant. */
export function measureElapsedMs (clock: Pick<Clock, 'monotonicMs' | 'wallMs'>, { monotonicMs, wallMs }: Instant): number {
  return Math.max(clock.monotonicMs() - monotonicMs, clock.wallMs() - wallMs)
}

/** Resolves by a timer of `startTimer`, or at once when `signal` aborts. */
function waitByTimer (startTimer: Clock['startTimer'], delayMs: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve()
  return new Promise((resolve) => {
    const cancel = startTimer(delayMs, () => {
      signal?.removeEventListener('abort', stopEarly)
      resolve()
    })
    const stopEarly = () => {
      cancel()
      resolve()
    }
    signal?.addEventListener('abort', stopEarly, { once: true })
  })
}

/** Creates a clock that uses the timers of the host. */
export function createHostClock (): Clock {
  const startTimer = (delayMs: number, action: () => void): Cancel => {
    const timer = setTimeout(action, delayMs)
    return () => clearTimeout(timer)
  }
  return {
    monotonicMs: () => performance.now(),
    wallMs: () => Date.now(),
    startTimer,
    wait: (delayMs, signal) => waitByTimer(startTimer, delayMs, signal)
  }
}

/** A clock whose time changes only when a test advances it. */
export interface TestClock extends Clock {
  /** Advances the time by `ms`, running due timers in order and letting promises settle between them. */
  advance(ms: number): Promise<void>
}

interface PendingTimer { dueMs: number, sequence: number, action: () => void }

/** Lets pending promise callbacks and immediates run. */
async function waitForCallbacks (): Promise<void> {
  const ROUNDS = 5
  for (let round = 0; round < ROUNDS; round++) await new Promise<void>((resolve) => setImmediate(resolve))
}

/** Creates a clock that a test advances by hand; `startWallMs` is its wall time at the start, in ms since 1970. */
export function createTestClock (startWallMs = 1_800_000_000_000): TestClock {
  let nowMs = 0
  let sequence = 0
  const pending = new Set<PendingTimer>()
  const startTimer = (delayMs: number, action: () => void): Cancel => {
    const timer = { dueMs: nowMs + Math.max(0, delayMs), sequence: sequence++, action }
    pending.add(timer)
    return () => pending.delete(timer)
  }
  const takeDueTimer = (untilMs: number): PendingTimer | undefined => {
    const due = [...pending].filter((timer) => timer.dueMs <= untilMs)
    const first = due.sort((a, b) => a.dueMs - b.dueMs || a.sequence - b.sequence)[0]
    if (first) pending.delete(first)
    return first
  }
  const advance = async (ms: number): Promise<void> => {
    const untilMs = nowMs + ms
    await waitForCallbacks()
    for (let timer = takeDueTimer(untilMs); timer; timer = takeDueTimer(untilMs)) {
      nowMs = Math.max(nowMs, timer.dueMs)
      timer.action()
      await waitForCallbacks()
    }
    nowMs = untilMs
  }
  return {
    monotonicMs: () => nowMs,
    wallMs: () => startWallMs + nowMs,
    startTimer,
    wait: (delayMs, signal) => waitByTimer(startTimer, delayMs, signal),
    advance
  }
}
