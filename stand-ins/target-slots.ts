/**
 * The work slots of the target stand-in: a first-come queue before a few slots whose speed can change.
 */
import type { Clock } from '../src/clock.ts'
import type { Cancel } from '../src/types.ts'

/** A piece of work. */
export interface Job {
  /** Work at full speed, in ms. */
  workMs: number
  /** The longest wait for a slot, in ms; past it the job is dropped unstarted. */
  longestWaitMs?: number
  /** Called when a slot begins the job. */
  start(): void
  /** Called when the job is done. */
  finish(): void
  /** Called when the job is dropped unstarted because it waited too long. */
  drop(): void
}

/** Slots with a queue. */
export interface WorkSlots {
  /** Adds a job; the returned function takes it out again, running or not. */
  add(job: Job): Cancel
  /** Sets the speed for running and later jobs: 1 is full speed, 0.5 takes twice as long. */
  updateSpeed(speed: number): void
  countRunning(): number
  countWaiting(): number
  /** Time that slots were occupied, in ms. */
  computeBusyMs(): number
}

interface RunningJob { job: Job, leftMs: number, sinceMs: number, cancelTimer: Cancel }

/** Creates idle slots. */
export function createWorkSlots (clock: Clock, slotCount: number): WorkSlots {
  const running = new Set<RunningJob>()
  const waiting: { job: Job, sinceMs: number }[] = []
  let speed = 1
  let busyMs = 0

  const startTimer = (entry: RunningJob): void => {
    entry.sinceMs = clock.monotonicMs()
    entry.cancelTimer = clock.startTimer(entry.leftMs / speed, () => {
      stopJob(entry)
      entry.job.finish()
    })
  }
  const settleProgress = (entry: RunningJob): void => {
    const passedMs = clock.monotonicMs() - entry.sinceMs
    busyMs += passedMs
    entry.leftMs = Math.max(0, entry.leftMs - passedMs * speed)
    entry.cancelTimer()
  }
  const stopJob = (entry: RunningJob): void => {
    if (!running.delete(entry)) return
    settleProgress(entry)
    startWaiting()
  }
  const startJob = (job: Job): void => {
    const entry: RunningJob = { job, leftMs: job.workMs, sinceMs: 0, cancelTimer: () => {} }
    running.add(entry)
    startTimer(entry)
    job.start()
  }
  const startWaiting = (): void => {
    while (running.size < slotCount) {
      const next = waiting.shift()
      if (!next) return
      const waitedMs = clock.monotonicMs() - next.sinceMs
      if (next.job.longestWaitMs !== undefined && waitedMs > next.job.longestWaitMs) next.job.drop()
      else startJob(next.job)
    }
  }
  const removeJob = (job: Job): void => {
    const index = waiting.findIndex((entry) => entry.job === job)
    if (index >= 0) waiting.splice(index, 1)
    const entry = [...running].find((candidate) => candidate.job === job)
    if (entry) stopJob(entry)
  }

  return {
    add (job) {
      waiting.push({ job, sinceMs: clock.monotonicMs() })
      startWaiting()
      return () => removeJob(job)
    },
    updateSpeed (next) {
      for (const entry of running) settleProgress(entry)
      speed = next
      for (const entry of running) startTimer(entry)
    },
    countRunning: () => running.size,
    countWaiting: () => waiting.length,
    computeBusyMs: () => [...running].reduce((sum, entry) => sum + clock.monotonicMs() - entry.sinceMs, busyMs)
  }
}
