/**
 * Rejections of requests for which no target is selected, with the time after which their callers may come back.
 */
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { TargetSelection } from './target-search.ts'

/** The kinds of errors of a target selection. */
export type RejectionKind = 'no-target' | 'queue-full' | 'queue-timeout' | 'service-evacuated'

/** Rejects requests and counts them. */
export interface Rejections {
  /** Rejects a request; its `Retry-After` is spread over `minRetryAfterS` and as much again. */
  reject(kind: RejectionKind, message: string, minRetryAfterS?: number): Result<TargetSelection, AppError>
  /** Rejects a request that would wait too long; its `Retry-After` is spread over when room is likely, by `computeReturnWindow`. */
  rejectUntilRoom(message: string, window: ReturnWindow): Result<TargetSelection, AppError>
  /** Returns the number of rejections since the start. */
  count(): number
}

/** When a rejected caller should come back, in ms from now. */
export interface ReturnWindow { fromMs: number, toMs: number }

/** Shortest `Retry-After` of a rejected request, in s; up to as much again is added at random to spread the retries. */
const MIN_RETRY_AFTER_S = 0.2
const MS_PER_SECOND = 1_000
/** Callers wait up to this share of the time they have left, whatever `Retry-After` says. */
const HONOURED_SHARE = 1 / 3

/**
 * Computes when callers should come back: from when the requests that are queued now have got their targets, spread over as
 * long again. Callers honour a third of the time they have left; the window is wide enough within it, so that they do not all
 * come back at its end.
 */
export function computeReturnWindow (drainMs: number, leftMs: number): ReturnWindow {
  const honouredMs = Math.max(0, leftMs) * HONOURED_SHARE
  const fromMs = Math.min(drainMs, honouredMs / 2)
  return { fromMs, toMs: Math.max(2 * fromMs, Math.min(MIN_RETRY_AFTER_S * MS_PER_SECOND, honouredMs)) }
}

/** Creates the rejections of one service. `random` in [0, 1) spreads the retries. */
export function createRejections (random: () => number): Rejections {
  let count = 0
  const rejectAfter = (kind: RejectionKind, message: string, retryAfterS: number): Result<TargetSelection, AppError> => {
    count += 1
    return err({ ...createError(kind, message), retryAfterS })
  }
  return {
    reject: (kind, message, minRetryAfterS = MIN_RETRY_AFTER_S) => rejectAfter(kind, message, minRetryAfterS * (1 + random())),
    rejectUntilRoom: (message, { fromMs, toMs }) => rejectAfter('queue-full', message, (fromMs + random() * (toMs - fromMs)) / MS_PER_SECOND),
    count: () => count
  }
}
