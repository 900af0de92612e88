/**
 * Types that the modules of the membership share.
 */

/** Logger of the membership. */
export interface GossipLogger {
  info(message: string, fields?: Record<string, unknown>): void
  warn(message: string, fields?: Record<string, unknown>): void
}

/** Times of the membership, in ms. */
export interface GossipTiming {
  /** Time between two probes that a member sends. */
  probeIntervalMs: number
  /** After this time without a response the probe is repeated through other members. */
  indirectAfterMs: number
  /** Time between two comparisons of views. */
  syncIntervalMs: number
  /** How long a dead member is remembered and still probed now and then, so that two halves of a split fleet find each other. */
  forgetAfterMs: number
}
