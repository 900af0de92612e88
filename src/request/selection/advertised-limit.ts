/**
 * The rate limit that a target advertises on a response.
 */

/** What a response says about the rate limit of its target. */
export type AdvertisedLimit =
  | { kind: 'unlimited' }
  /** The target accepts this number of requests per second from all entries together. */
  | { kind: 'limited', perSecond: number }
  /** The limit cannot be decoded; the one that was known before stays in effect. */
  | { kind: 'malformed', text: string }
