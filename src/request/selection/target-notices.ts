/**
 * What a target says about itself on a response, besides its load.
 */
import type { AdvertisedLimit } from './advertised-limit.ts'

/** The notices on one response. */
export interface TargetNotices {
  /** The rate limit that the target advertises. */
  limit: AdvertisedLimit
  /** Whether the target is leaving: it must get no new requests. */
  isLeaving: boolean
  /** How long it accepts no requests of this entry, in ms; undefined when it does not say so. */
  pauseMs: number | undefined
  /** How long it stays cold, in ms; 0 when it is not, undefined when it does not say so. */
  coldForMs: number | undefined
}
