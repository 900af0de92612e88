/**
 * The rate limits that targets advertise on their responses, as far as this process knows them.
 *
 * Responses may arrive out of order, and other entries may report what they have received. An observation is certainly newer
 * than another when its request was sent after the other response had arrived. Of two whose order is not certain, the lower
 * limit is in effect.
 */
import type { Clock } from '../../clock.ts'
import type { AdvertisedLimit } from '../../request/selection/advertised-limit.ts'
import type { TargetId } from '../../types.ts'
import type { PartLogger } from '../logger.ts'

/** What one response said about the limit of its target. Instants by the monotonic clock in ms. */
export interface LimitObservation {
  /** The limit in requests per second over all entries; undefined when the target advertises none. */
  perSecond: number | undefined
  /** When the request was sent. */
  sentAtMs: number
  /** When the response arrived. */
  receivedAtMs: number
}

/** How an observation changed the view: a limit begins, changes or ends, or nothing changes. */
export type LimitChange = 'begun' | 'changed' | 'ended' | 'none'

/** The limits of all targets. */
export interface AdvertisedLimits {
  /** Records what a response said whose request was sent at `sentAtMs`. A malformed limit changes nothing. */
  record(target: TargetId, limit: AdvertisedLimit, sentAtMs: number): LimitChange
  /** Applies an observation. */
  apply(target: TargetId, observation: LimitObservation): LimitChange
  /** Returns the limit of a target in requests per second; undefined without one. */
  getPerSecond(target: TargetId): number | undefined
  /** Returns the observation in effect; undefined if the target has never advertised a limit. */
  get(target: TargetId): LimitObservation | undefined
  /** Lists the targets that have a limit. */
  listLimited(): TargetId[]
  /** Forgets the targets that are no longer registered. */
  removeUnregistered(isRegistered: (target: TargetId) => boolean): void
}

function toRate ({ perSecond }: LimitObservation): number {
  return perSecond ?? Infinity
}

/** Whether an observation was certainly made after another. */
function isNewer (observation: LimitObservation, other: LimitObservation): boolean {
  return observation.sentAtMs >= other.receivedAtMs
}

/** Whether an observation replaces the known one. */
function canReplace (observation: LimitObservation, known: LimitObservation): boolean {
  if (isNewer(observation, known)) return true
  return !isNewer(known, observation) && toRate(observation) <= toRate(known)
}

/** Returns the observation with the later instants of both, so that only a certainly newer one replaces it by a higher limit. */
function toLater (observation: LimitObservation, known: LimitObservation): LimitObservation {
  return { ...observation, sentAtMs: Math.max(observation.sentAtMs, known.sentAtMs), receivedAtMs: Math.max(observation.receivedAtMs, known.receivedAtMs) }
}

function describeChange (before: number | undefined, after: number | undefined): LimitChange {
  if (before === after) return 'none'
  if (before === undefined) return 'begun'
  return after === undefined ? 'ended' : 'changed'
}

/** Creates an empty view. */
export function createAdvertisedLimits ({ logger, clock }: { logger: Pick<PartLogger, 'info' | 'warn'>, clock: Clock }): AdvertisedLimits {
  const observations = new Map<TargetId, LimitObservation>()
  /** The latest malformed limit of each target, so that each is logged once. */
  const malformed = new Map<TargetId, string>()
  const writeChange = (target: TargetId, before: LimitObservation | undefined, { perSecond, sentAtMs }: LimitObservation, change: LimitChange): void => {
    const fields = { target, perSecond, before: before?.perSecond, askedMsAgo: Math.round(clock.monotonicMs() - sentAtMs) }
    if (change === 'begun') logger.info('A target advertises a limit.', fields)
    if (change === 'ended') logger.info('A target no longer advertises a limit.', fields)
  }
  const apply = (target: TargetId, observation: LimitObservation): LimitChange => {
    const known = observations.get(target)
    if (!known && observation.perSecond === undefined) return 'none'
    if (known && !canReplace(observation, known)) return 'none'
    observations.set(target, known && !isNewer(observation, known) ? toLater(observation, known) : observation)
    const change = describeChange(known?.perSecond, observation.perSecond)
    writeChange(target, known, observation, change)
    return change
  }
  const warnMalformed = (target: TargetId, text: string): LimitChange => {
    if (malformed.get(target) !== text) logger.warn('A target advertises a limit that cannot be decoded; the one known before stays.', { target, text, known: observations.get(target)?.perSecond })
    malformed.set(target, text)
    return 'none'
  }
  return {
    record (target, limit, sentAtMs) {
      const receivedAtMs = clock.monotonicMs()
      switch (limit.kind) {
        case 'unlimited': return apply(target, { perSecond: undefined, sentAtMs, receivedAtMs })
        case 'limited': return apply(target, { perSecond: limit.perSecond, sentAtMs, receivedAtMs })
        case 'malformed': return warnMalformed(target, limit.text)
      }
    },
    apply,
    getPerSecond: (target) => observations.get(target)?.perSecond,
    get: (target) => observations.get(target),
    listLimited: () => [...observations].filter(([, { perSecond }]) => perSecond !== undefined).map(([target]) => target),
    removeUnregistered (isRegistered) {
      for (const target of observations.keys()) if (!isRegistered(target)) observations.delete(target)
      for (const target of malformed.keys()) if (!isRegistered(target)) malformed.delete(target)
    }
  }
}
