/**
 * Stands for the life of one process in a test: frozen, it gets no answer and no timer; killed, it never does again.
 */
import type { Clock } from '../../src/clock.ts'

/** Holds back what would wake up a process. */
export interface ProcessGate {
  /** Resolves when the process runs. */
  waitForTurn(): Promise<void>
  /** Returns a clock whose timers wait while the process is frozen. */
  createClock(clock: Clock): Clock
  pause(): void
  resume(): void
  kill(): void
}

/** Creates the gate of a running process. */
export function createProcessGate (): ProcessGate {
  let state: 'running' | 'paused' | 'dead' = 'running'
  let held: (() => void)[] = []
  const runOrHold = (action: () => void): void => {
    if (state === 'running') action()
    else if (state === 'paused') held.push(action)
  }
  const createClock = (clock: Clock): Clock => {
    const startTimer: Clock['startTimer'] = (delayMs, action) => {
      let isCancelled = false
      const cancel = clock.startTimer(delayMs, () => runOrHold(() => { if (!isCancelled) action() }))
      return () => {
        isCancelled = true
        cancel()
      }
    }
    const wait: Clock['wait'] = (delayMs, signal) => new Promise((resolve) => {
      if (signal?.aborted) return resolve()
      const stopWaiting = (): void => {
        cancel()
        signal?.removeEventListener('abort', stopWaiting)
        resolve()
      }
      const cancel = startTimer(delayMs, stopWaiting)
      signal?.addEventListener('abort', stopWaiting, { once: true })
    })
    return { ...clock, startTimer, wait }
  }
  return {
    waitForTurn: () => new Promise((resolve) => { setImmediate(() => runOrHold(resolve)) }),
    createClock,
    pause () {
      if (state === 'running') state = 'paused'
    },
    resume () {
      if (state !== 'paused') return
      state = 'running'
      for (const action of held.splice(0)) runOrHold(action)
    },
    kill () {
      state = 'dead'
      held = []
    }
  }
}
