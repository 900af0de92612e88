/**
 * Runs that this entry has cancelled, and with which their targets may go on: until then they count as running there.
 */
import type { Clock } from '../../clock.ts'
import type { TargetId } from '../../types.ts'
import type { CrashedRun } from './crash-history.ts'

/** The runs that were cancelled lately. */
export interface AbandonedRuns {
  /** Adds a run with which its target may go on until `untilMs` of the monotonic clock. */
  add(target: TargetId, run: CrashedRun, untilMs: number): void
  /** Whether a target may go on with a run. */
  has(target: TargetId): boolean
  /** Removes and returns the runs with which a target may go on. */
  take(target: TargetId): CrashedRun[]
  /** Forgets the runs that have ended by now. Call it periodically. */
  removeExpired(): void
}

interface AbandonedRun extends CrashedRun { untilMs: number }

const MAX_TARGETS = 256
const MAX_RUNS_PER_TARGET = 64

/** Creates an empty set. Of more than 256 targets, or 64 runs at one, the oldest are forgotten. */
export function createAbandonedRuns (clock: Clock): AbandonedRuns {
  const byTarget = new Map<TargetId, AbandonedRun[]>()

  const listRunning = (target: TargetId): AbandonedRun[] => {
    const nowMs = clock.monotonicMs()
    return (byTarget.get(target) ?? []).filter(({ untilMs }) => untilMs >= nowMs)
  }
  const setRunning = (target: TargetId, runs: AbandonedRun[]): void => {
    byTarget.delete(target)
    if (runs.length > 0) byTarget.set(target, runs)
  }
  return {
    add (target, run, untilMs) {
      setRunning(target, [...listRunning(target), { ...run, untilMs }].slice(-MAX_RUNS_PER_TARGET))
      const [oldest] = byTarget.keys()
      if (byTarget.size > MAX_TARGETS && oldest !== undefined) byTarget.delete(oldest)
    },
    has: (target) => byTarget.size > 0 && listRunning(target).length > 0,
    take (target) {
      const runs = listRunning(target)
      byTarget.delete(target)
      return runs.map(({ request, kind }) => ({ request, kind }))
    },
    removeExpired () {
      for (const target of [...byTarget.keys()]) setRunning(target, listRunning(target))
    }
  }
}
