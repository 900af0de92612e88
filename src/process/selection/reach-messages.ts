/**
 * The messages by which entries find out whether targets have failed, or the network of one entry.
 */
import type { ServiceId, TargetId } from '../../types.ts'
import type { UnreachedTarget } from './reachability.ts'

/** A target that the sender has reached, and how long ago, in ms. */
export interface ReachedTarget { target: TargetId, agoMs: number }

/** A message between entries. */
export type ReachMessage =
  /** Asks which of these targets, which the sender cannot reach, the recipient has reached meanwhile or can reach now. */
  | { type: 'reach-request', sequence: number, service: ServiceId, targets: UnreachedTarget[] }
  /** Answers the request with the same sequence number. Several answers may come; none names a target that was not reached. */
  | { type: 'reach-response', sequence: number, reached: ReachedTarget[] }
