/**
 * Checks whether targets have crashed: one check at a time for each target, however many requests broke there at once.
 */
import type { Clock } from '../../clock.ts'
import { checkForCrash } from '../../connection/check-for-crash.ts'
import type { CrashFinding } from '../../connection/check-for-crash.ts'
import type { TargetId } from '../../types.ts'
import type { PartLogger } from '../logger.ts'
import type { TargetState } from './target-states.ts'

/** Checks whether targets have crashed. */
export interface CrashChecks {
  /** Finds out why a target closed a connection without a response. Never rejects. */
  check(state: TargetState): Promise<CrashFinding>
  /** Returns the number of crashes found since the start. */
  countCrashes(): number
}

/** Options of `createCrashChecks`. */
export interface CrashChecksOptions {
  clock: Clock
  logger: PartLogger
  /** Opens a connection; tests replace it to need no network. */
  checkForCrash?: typeof checkForCrash
}

/** Creates the checks of all targets. */
export function createCrashChecks ({ clock, logger, checkForCrash: runCheck = checkForCrash }: CrashChecksOptions): CrashChecks {
  const running = new Map<TargetId, Promise<CrashFinding>>()
  let crashCount = 0
  const start = async (state: TargetState): Promise<CrashFinding> => {
    const { id } = state.registered.report
    const finding = await runCheck(state.registered.report, clock)
    running.delete(id)
    crashCount += Number(finding === 'crashed')
    logger.info('A target closed a connection without a response.', { target: id, finding })
    return finding
  }
  return {
    check (state) {
      const { id } = state.registered.report
      const check = running.get(id) ?? start(state)
      running.set(id, check)
      return check
    },
    countCrashes: () => crashCount
  }
}
