/**
 * The messages by which entries share the rate limits of targets.
 */
import type { TargetId } from '../../types.ts'
import type { PermitAnswer } from './permit-issuer.ts'

/** How long a target stays cold, as a response or its record said. Times in ms, since the clocks of entries differ. */
export interface SharedCold {
  /** How much longer it stays cold; 0 when it no longer is. */
  leftMs: number
  /** How long it has been warm again; 0 while it is cold. */
  warmForMs: number
  /** How long ago the request was sent, and the response arrived. */
  sentAgoMs: number
  receivedAgoMs: number
}

/** The limit that a target advertised on a response. Ages in ms, since the clocks of entries differ. */
export interface SharedLimit {
  /** Requests per second over all entries; undefined when the target advertises none. */
  perSecond: number | undefined
  /** How long ago the request was sent, and the response arrived. */
  sentAgoMs: number
  receivedAgoMs: number
  /** How long the target stays cold; left out when it has not been cold lately. */
  cold?: SharedCold | undefined
}

/** A message between entries. */
export type LimitMessage =
  /** Requests one permit of a target. */
  | { type: 'permit-request', sequence: number, target: TargetId, limit: SharedLimit }
  /** Answers the request with the same sequence number. */
  | { type: 'permit-response', sequence: number, target: TargetId, answer: PermitAnswer, limit: SharedLimit }
  /** Tells all entries that a target has begun or ceased to advertise a limit, or has turned cold. */
  | { type: 'target-limit', target: TargetId, limit: SharedLimit }
