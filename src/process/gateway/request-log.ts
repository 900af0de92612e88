/**
 * Writes one log line for each request at a gateway, within a rate limit. Answered requests have a lower limit than
 * others; `standsFor` is the number of requests that a line represents.
 */
import type { Clock } from '../../clock.ts'
import { tryAcquireToken } from '../../request/balancing/token-bucket.ts'
import type { AttemptRecord, RequestRecord } from '../../request/gateway/request-record.ts'
import type { PartLogger } from '../logger.ts'

/** Maximum rates of lines for answered requests and for all others. */
const ANSWERED_LINES_PER_SECOND = 40
const OTHER_LINES_PER_SECOND = 200

/** The log of requests. */
export interface RequestLog {
  /** Writes the line of a request that has ended, unless the rate limit withholds it. */
  write(record: RequestRecord): void
}

/** Creates a rate limit for lines that counts the lines withheld. */
function createLineBudget (perSecond: number, clock: Clock) {
  const bucket = { tokens: perSecond, filledAtMs: clock.monotonicMs() }
  let withheldCount = 0
  return {
    /** Returns the number of requests that the next line represents; undefined when the line is withheld. */
    take (): number | undefined {
      if (!tryAcquireToken(bucket, { refillPerSecond: perSecond, burst: perSecond }, clock.monotonicMs())) {
        withheldCount += 1
        return undefined
      }
      const standsFor = withheldCount + 1
      withheldCount = 0
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
    limitPerSecond: attempt.limitPerSecond,
    atMs: Math.round(attempt.startedMs),
    end: attempt.end,
    finding: attempt.finding,
    status: attempt.status
  }
}

/** Creates the log of requests. */
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
        quotaWaitMs: fields.quotaWaitMs === undefined ? undefined : Math.round(fields.quotaWaitMs),
        tookMs: Math.round(fields.tookMs),
        attempts: attempts.map(toAttemptFields),
        standsFor
      })
    }
  }
}
