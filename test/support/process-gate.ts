/**
 * Models in a test that a process is paused or killed: a paused process gets no response and no timer until it resumes,
 * a killed one gets none any more.
 */
import type { Clock } from '../../src/clock.ts'

/** Delays the responses and timers of a paused process. */
export interface ProcessGate {
  /** Resolves in a later turn of the event loop when the process is running; never after it was killed. */
  waitWhilePaused(): Promise<void>
  /** Returns a clock whose timers that are due while the process is paused run when it resumes. */
  createClock(clock: Clock): Clock
  pause(): void
  resume(): void
  kill(): void
}

/** Creates the gate of a running process. */
export function createProcessGate (): ProcessGate {
  let state: 'running' | 'paused' | 'dead' = 'running'
  let heldActions: (() => void)[] = []
  const runOrHold = (action: () => void): void => {
    if (state === 'running') action()
    else if (state === 'paused') heldActions.push(action)
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
    waitWhilePaused: () => new Promise((resolve) => { setImmediate(() => runOrHold(resolve)) }),
    createClock,
    pause () {
      if (state === 'running') state = 'paused'
    },
    resume () {
      if (state !== 'paused') return
      state = 'running'
      for (const action of heldActions.splice(0)) runOrHold(action)
    },
    kill () {
      state = 'dead'
      heldActions = []
    }
  }
}
