/**
 * Admission of one request's attempts: what the quarantine of requests allows, and what the request's attempts show.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { RunKind } from '../../process/quarantine/crash-history.ts'
import type { RequestQuarantine } from '../../process/quarantine/request-quarantine.ts'
import type { TargetId } from '../../types.ts'
import type { CallerConnection } from '../caller-connection.ts'
import type { RequestFingerprint } from '../request-fingerprint.ts'

/** Admission of the attempts of one request. */
export interface RequestAdmission {
  /** Decides whether another attempt may be sent. Errors: `request-quarantined`, `request-on-trial`. */
  acquire(): Promise<Result<void, AppError>>
  /** Whether the request is in a trial, which must be its only attempt. */
  isTrial(): boolean
  /** Whether the request is suspected, so that a second attempt at the same time is not worth the risk. */
  isSuspected(): boolean
  /** Records that a target crashed while it ran an attempt. */
  recordCrash(target: TargetId, kind: RunKind): void
  /** Records an attempt that was cancelled before the target had completed it: the target may go on with it until the deadline. */
  recordAbandoned(target: TargetId, kind: RunKind): void
  /** Ends the admission; `isComplete` tells whether a complete response has come. */
  finish(isComplete: boolean): void
}

/** Options of `createRequestAdmission`. */
export interface RequestAdmissionOptions {
  quarantine: RequestQuarantine
  getFingerprint(): RequestFingerprint
  /** Deadline of the response, by the monotonic clock in ms. */
  deadlineAtMs: number
  caller: CallerConnection
  clock: Clock
}

const MS_PER_SECOND = 1_000
/** A trial must not end later than this after the deadline, in ms, when its lease expires. */
const LEASE_MARGIN_MS = 200
/** A target's crash is found this long after it at most, in ms. */
const ABANDONED_MARGIN_MS = 500

/** Creates the admission of one request. */
export function createRequestAdmission (options: RequestAdmissionOptions): RequestAdmission {
  const { quarantine, getFingerprint, deadlineAtMs, caller, clock } = options
  let trial: { release(): void } | undefined
  let isFinished = false
  const releaseTrial = (): void => {
    trial?.release()
    trial = undefined
  }
  return {
    async acquire () {
      if (quarantine.isIdle() || trial) return ok(undefined)
      const admission = await quarantine.acquire(getFingerprint(), {
        startByMs: deadlineAtMs,
        trialMs: Math.max(0, deadlineAtMs - clock.monotonicMs()) + LEASE_MARGIN_MS,
        isCancelled: () => caller.isDisconnected()
      })
      switch (admission.kind) {
        case 'ordinary': return ok(undefined)
        case 'trial':
          trial = admission
          // The request may have ended, as when its caller has left, while it waited for the trial.
          if (isFinished) releaseTrial()
          return ok(undefined)
        case 'quarantined': return err({
          ...createError('request-quarantined', `${admission.crashCount} targets crashed while they ran this request.`),
          retryAfterS: Math.ceil(admission.waitMs / MS_PER_SECOND)
        })
        case 'trial-elsewhere': return err(createError('request-on-trial', 'A target crashed while it ran this request, and another attempt to run it had not ended by the deadline.'))
      }
    },
    isTrial: () => trial !== undefined,
    isSuspected: () => !quarantine.isIdle() && quarantine.isSuspected(getFingerprint()),
    recordCrash (target, kind) {
      quarantine.recordCrash(target, { request: getFingerprint(), kind })
      releaseTrial()
    },
    recordAbandoned (target, kind) {
      // With others there, such a trial proves less than one that was watched to its end.
      const run = { request: getFingerprint(), kind: kind === 'isolated' ? 'trial' as const : kind }
      quarantine.recordAbandoned(target, run, deadlineAtMs + ABANDONED_MARGIN_MS)
    },
    finish (isComplete) {
      isFinished = true
      if (isComplete && !quarantine.isIdle() && quarantine.isSuspected(getFingerprint())) quarantine.recordCompletion(getFingerprint())
      releaseTrial()
    }
  }
}
