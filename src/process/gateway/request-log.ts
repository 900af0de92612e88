/**
 * One log line for each request at a gateway, within a bound: lines of answered requests are sampled first, and say for
 * how many requests they stand.
 */
import type { Clock } from '../../clock.ts'
import { takeToken } from '../../request/balancing/token-bucket.ts'
import type { AttemptRecord, RequestRecord } from '../../request/gateway/request-record.ts'
import type { PartLogger } from '../logger.ts'

/** Lines a second for requests that a target answered, and for all others. */
const ANSWERED_LINES_PER_SECOND = 40
const OTHER_LINES_PER_SECOND = 200

/** Writes the lines. */
export interface RequestLog { write(record: RequestRecord): void }

/** Allows a number of lines a second, and counts those it did not allow. */
function createLineBudget (perSecond: number, clock: Clock) {
  const bucket = { tokens: perSecond, filledAtMs: clock.monotonicMs() }
  let withheld = 0
  return {
    /** Returns for how many requests a line now stands; undefined when there is to be none. */
    take (): number | undefined {
      if (!takeToken(bucket, { perSecond, largest: perSecond }, clock.monotonicMs())) {
        withheld += 1
        return undefined
      }
      const standsFor = withheld + 1
      withheld = 0
      return standsFor
    }
  }
}

function toAttemptFields (attempt: AttemptRecord): Record<string, unknown> {
  const { load, loadAgeMs } = attempt
  return {
    target: attempt.target,
    by: attempt.reason,
    waitedMs: Math.round(attempt.waitedMs),
    expectedMs: Math.round(attempt.expectedMs),
    load: load ? `${load.running}+${load.waiting}/${load.slots} x${load.slowdown}` : 'untold',
    loadAgeMs: Number.isFinite(loadAgeMs) ? Math.round(loadAgeMs) : undefined,
    atMs: Math.round(attempt.startedMs),
    end: attempt.end,
    status: attempt.status
  }
}

/** Creates the log. */
export function createRequestLog ({ logger, clock }: { logger: PartLogger, clock: Clock }): RequestLog {
  const answered = createLineBudget(ANSWERED_LINES_PER_SECOND, clock)
  const others = createLineBudget(OTHER_LINES_PER_SECOND, clock)
  return {
    write (record) {
      const isAnswered = record.end === 'whole' && record.error === undefined
      const standsFor = (isAnswered ? answered : others).take()
      if (standsFor === undefined) return
      const { attempts, ...fields } = record
      logger.info(isAnswered ? 'Answered a request.' : 'Did not serve a request.', {
        ...fields,
        leftMs: Math.round(fields.leftMs),
        tookMs: Math.round(fields.tookMs),
        attempts: attempts.map(toAttemptFields),
        standsFor
      })
    }
  }
}
