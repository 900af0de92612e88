/**
 * The messages by which entries share the crashes of targets and the trials of suspected requests.
 */
import type { RequestFingerprint } from '../../request/request-fingerprint.ts'
import type { TargetId } from '../../types.ts'
import type { CrashedRun } from './crash-history.ts'

/** A crash of a target. `agoMs` is its age, since the clocks of entries differ. */
export interface SharedCrash { target: TargetId, agoMs: number, runs: CrashedRun[] }

/** A message between entries. */
export type QuarantineMessage =
  /** Tells crashes that the sender has found, or has been told. */
  | { type: 'target-crashes', crashes: SharedCrash[] }
  /** Tells that a suspected request has completed. */
  | { type: 'request-completed', request: RequestFingerprint, agoMs: number }
  /** Tells that a trial after a quarantine was cancelled before its end. */
  | { type: 'trial-unfinished', request: RequestFingerprint, agoMs: number }
  /** Asks for the lease on the trial of a request, for at most `forMs`. */
  | { type: 'trial-request', sequence: number, request: RequestFingerprint, forMs: number }
  /** Answers the request with the same sequence number. */
  | { type: 'trial-response', sequence: number, isGranted: boolean }
  /** Gives back the lease of a trial that has ended. */
  | { type: 'trial-end', request: RequestFingerprint }
