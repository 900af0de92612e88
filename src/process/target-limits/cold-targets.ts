/**
 * Which targets are cold, as far as this process knows. A target is cold for some time after its start, and may turn cold again
 * at any moment; while cold it bears few requests, and for a moment afterwards not yet all.
 *
 * What is known comes from the responses of the target, from its record in the store and from other entries. An observation is
 * certainly newer than another when its request was sent after the other response had arrived. Of two whose order is not
 * certain, the one by which the target stays cold longer is in effect.
 */
import type { Clock } from '../../clock.ts'
import type { TargetId } from '../../types.ts'
import type { PartLogger } from '../logger.ts'

/** What one response or record said. Instants by the monotonic clock in ms. */
export interface ColdObservation {
  /** Until when the target stays cold; `receivedAtMs` when it is not cold. */
  endsAtMs: number
  /** When the request was sent. */
  sentAtMs: number
  /** When the response arrived. */
  receivedAtMs: number
}

/** The cold targets. */
export interface ColdTargets {
  /** Applies an observation. Returns whether the target was not known as cold and is now. */
  apply(target: TargetId, observation: ColdObservation): boolean
  /** Returns the observation in effect; undefined for a target that has not been cold lately. */
  get(target: TargetId): ColdObservation | undefined
  isCold(target: TargetId): boolean
  /** Whether any target may be cold, in constant time. */
  hasCold(): boolean
  /** Returns by how much the rate of a cold target is multiplied for this one; undefined when it bears any rate. */
  getRateFactor(target: TargetId): number | undefined
  /** Lists the targets whose rate is limited because they are cold, or have been just now. */
  listLimited(): TargetId[]
  /** Counts the targets that are cold. */
  countCold(): number
  /** Forgets the targets that are no longer registered. */
  removeUnregistered(isRegistered: (target: TargetId) => boolean): void
}

/** After its cold time the rate of a target doubles in each of these steps, in ms, and is unlimited after `RAMP_MS`. */
const RAMP_DOUBLING_MS = 250
const RAMP_MS = 1_000

function isNewer (observation: ColdObservation, other: ColdObservation): boolean {
  return observation.sentAtMs >= other.receivedAtMs
}

/** Whether an observation replaces the known one. */
function canReplace (observation: ColdObservation, known: ColdObservation): boolean {
  if (isNewer(observation, known)) return true
  return !isNewer(known, observation) && observation.endsAtMs >= known.endsAtMs
}

/** Returns the observation with the later instants of both, so that only a certainly newer one ends the cold time earlier. */
function toLater (observation: ColdObservation, known: ColdObservation): ColdObservation {
  return { ...observation, sentAtMs: Math.max(observation.sentAtMs, known.sentAtMs), receivedAtMs: Math.max(observation.receivedAtMs, known.receivedAtMs) }
}

/** Creates an empty view. */
export function createColdTargets ({ clock, logger }: { clock: Clock, logger: Pick<PartLogger, 'info'> }): ColdTargets {
  const observations = new Map<TargetId, ColdObservation>()
  /** Latest end of any cold time that was ever known. */
  let lastEndsAtMs = -Infinity
  const isCold = (target: TargetId): boolean => (observations.get(target)?.endsAtMs ?? -Infinity) > clock.monotonicMs()
  const getRateFactor = (target: TargetId): number | undefined => {
    const known = observations.get(target)
    if (!known) return undefined
    const warmForMs = Math.max(0, clock.monotonicMs() - known.endsAtMs)
    return warmForMs < RAMP_MS ? 2 ** (warmForMs / RAMP_DOUBLING_MS) : undefined
  }
  return {
    apply (target, observation) {
      const known = observations.get(target)
      const wasCold = isCold(target)
      const nowMs = clock.monotonicMs()
      // A target that is known as warm and says so again does not begin its ramp anew.
      if (!wasCold && observation.endsAtMs <= nowMs) return false
      if (known && !canReplace(observation, known)) return false
      observations.set(target, known && !isNewer(observation, known) ? toLater(observation, known) : observation)
      lastEndsAtMs = Math.max(lastEndsAtMs, observation.endsAtMs)
      if (wasCold) return false
      logger.info('A target is cold.', { target, forMs: Math.round(observation.endsAtMs - nowMs) })
      return true
    },
    get: (target) => getRateFactor(target) === undefined ? undefined : observations.get(target),
    isCold,
    hasCold: () => lastEndsAtMs > clock.monotonicMs(),
    getRateFactor,
    listLimited: () => [...observations.keys()].filter((target) => getRateFactor(target) !== undefined),
    countCold: () => [...observations.keys()].filter(isCold).length,
    removeUnregistered (isRegistered) {
      for (const target of observations.keys()) if (!isRegistered(target)) observations.delete(target)
    }
  }
}
