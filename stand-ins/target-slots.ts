/**
 * The slots of the target stand-in, with a first-in, first-out queue; the speed of the slots can change while jobs run.
 */
import type { Clock } from '../src/clock.ts'
import type { Cancel } from '../src/types.ts'

/** A job for a slot. */
export interface Job {
  /** Duration at full speed, in ms. */
  workMs: number
  /** Maximum wait for a slot, in ms; a job that has waited longer is dropped instead of started. */
  maxWaitMs?: number
  /** Called when a slot starts the job. */
  start(): void
  /** Called when the job is done. */
  finish(): void
  /** Called when the job is dropped because it waited too long. */
  drop(): void
}

/** A fixed number of slots with a queue. */
export interface WorkSlots {
  /** Adds a job; the returned function removes it, whether it waits or runs. */
  add(job: Job): Cancel
  /** Sets the speed of running and later jobs: 1 is full speed, at 0.5 jobs take twice as long. */
  updateSpeed(speed: number): void
  countRunning(): number
  countWaiting(): number
  /** Returns the total time for which slots were occupied, in ms. */
  computeBusyMs(): number
}

interface RunningJob { job: Job, remainingMs: number, sinceMs: number, cancelTimer: Cancel }

/** Creates `slotCount` idle slots. */
export function createWorkSlots (clock: Clock, slotCount: number): WorkSlots {
  const running = new Set<RunningJob>()
  const waiting: { job: Job, sinceMs: number }[] = []
  let speed = 1
  let busyMs = 0

  const startTimer = (runningJob: RunningJob): void => {
    runningJob.sinceMs = clock.monotonicMs()
    runningJob.cancelTimer = clock.startTimer(runningJob.remainingMs / speed, () => {
      stopJob(runningJob)
      runningJob.job.finish()
    })
  }
  const settleProgress = (runningJob: RunningJob): void => {
    const elapsedMs = clock.monotonicMs() - runningJob.sinceMs
    busyMs += elapsedMs
    runningJob.remainingMs = Math.max(0, runningJob.remainingMs - elapsedMs * speed)
    runningJob.cancelTimer()
  }
  const stopJob = (runningJob: RunningJob): void => {
    if (!running.delete(runningJob)) return
    settleProgress(runningJob)
    startWaiting()
  }
  const startJob = (job: Job): void => {
    const runningJob: RunningJob = { job, remainingMs: job.workMs, sinceMs: 0, cancelTimer: () => {} }
    running.add(runningJob)
    startTimer(runningJob)
    job.start()
  }
  const startWaiting = (): void => {
    while (running.size < slotCount) {
      const next = waiting.shift()
      if (!next) return
      const waitedMs = clock.monotonicMs() - next.sinceMs
      if (next.job.maxWaitMs !== undefined && waitedMs > next.job.maxWaitMs) next.job.drop()
      else startJob(next.job)
    }
  }
  const removeJob = (job: Job): void => {
    const index = waiting.findIndex((candidate) => candidate.job === job)
    if (index >= 0) waiting.splice(index, 1)
    const runningJob = [...running].find((candidate) => candidate.job === job)
    if (runningJob) stopJob(runningJob)
  }

  return {
    add (job) {
      waiting.push({ job, sinceMs: clock.monotonicMs() })
      startWaiting()
      return () => removeJob(job)
    },
    updateSpeed (next) {
      for (const runningJob of running) settleProgress(runningJob)
      speed = next
      for (const runningJob of running) startTimer(runningJob)
    },
    countRunning: () => running.size,
    countWaiting: () => waiting.length,
    computeBusyMs: () => [...running].reduce((sum, runningJob) => sum + clock.monotonicMs() - runningJob.sinceMs, busyMs)
  }
}
