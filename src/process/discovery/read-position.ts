/**
 * How far this entry has read a topic, how far others have, and how long it may rely on them.
 */
import { addMs, measureElapsedMs, readInstant } from '../../clock.ts'
import type { Clock, Instant } from '../../clock.ts'
import type { StoreEpoch } from '../../types.ts'
import { canContinue, comparePositions, TOPIC_BEGINNING } from './topic-position.ts'
import type { TopicPosition } from './topic-position.ts'

/** How far a topic has been read. */
export interface TopicProgress extends TopicPosition {
  /** How long ago the store held no further record, in ms. */
  ageMs: number
}

/** The position of this entry in a topic. */
export interface ReadPosition {
  /** Returns how far this entry has read; undefined when it has to read the newest record of every key. */
  get(): TopicPosition | undefined
  /** Returns how far another entry has read. */
  getFurthest(): TopicPosition
  /** Moves on. Call `recordCurrent` too if the store held no further record. */
  moveTo(position: TopicPosition): void
  /** Records that the store held no further record `ageMs` ago. */
  recordCurrent(ageMs: number): void
  /** Gives the position up: the newest record of every key has to be read. */
  reset(): void
  /** Gives up how far others have read too, since the store no longer keeps those records. */
  resetAll(): void
  /** Records how far another entry has read. This entry may wait `graceMs` for the records before it reads by itself. Returns whether it is behind. */
  recordOther(position: TopicPosition, graceMs: number): boolean
  isBehind(): boolean
  /** Returns a later epoch of the store than that of the position; only once for an epoch that others have stated and the store has not. */
  takeLaterEpoch(storeEpoch: StoreEpoch): StoreEpoch | undefined
  /** Returns how long this entry may rely on what it knows, in ms, if that may be `maxAgeMs` old; 0 if it must read by itself. */
  getTrustMs(maxAgeMs: number): number
  /** Returns how long ago the store held no further record, in ms, as far as this process knows; `Infinity` before the first read. */
  getAgeMs(): number
  getProgress(): TopicProgress | undefined
}

/** Creates a position at which nothing has been read: the beginning of the topic, or undefined for a full read. */
export function createReadPosition (clock: Clock, initial: TopicPosition | undefined): ReadPosition {
  let position = initial
  let furthest = TOPIC_BEGINNING
  /** Latest instant at which the store is known to have held no record beyond `position`. */
  let currentAt: Instant | undefined
  /** Instant from which this entry reads by itself because it is behind. */
  let catchUpAtMs = Infinity
  /** The latest epoch for which a position was given up. */
  let leftForEpoch = TOPIC_BEGINNING.epoch

  const isBehind = (): boolean => position === undefined || comparePositions(position, furthest) < 0
  const getAgeMs = (): number => currentAt ? Math.max(0, measureElapsedMs(clock, currentAt)) : Infinity
  const reset = (): void => {
    position = undefined
    currentAt = undefined
  }
  return {
    get: () => position,
    getFurthest: () => furthest,
    moveTo ({ epoch, next }) {
      position = { epoch, next }
    },
    recordCurrent (ageMs) {
      if (ageMs < getAgeMs()) currentAt = addMs(readInstant(clock), -ageMs)
    },
    reset,
    resetAll () {
      reset()
      furthest = TOPIC_BEGINNING
    },
    recordOther (other, graceMs) {
      const wasBehind = isBehind()
      if (comparePositions(other, furthest) > 0) furthest = { epoch: other.epoch, next: other.next }
      if (!isBehind()) return false
      const readAtMs = clock.monotonicMs() + graceMs
      catchUpAtMs = wasBehind ? Math.min(catchUpAtMs, readAtMs) : readAtMs
      return true
    },
    isBehind,
    takeLaterEpoch (storeEpoch) {
      const epoch = storeEpoch > furthest.epoch ? storeEpoch : furthest.epoch
      if (position === undefined || canContinue(position, epoch) || epoch <= leftForEpoch) return undefined
      leftForEpoch = epoch
      return epoch
    },
    getTrustMs (maxAgeMs) {
      const trustMs = maxAgeMs - getAgeMs()
      return Math.max(0, isBehind() ? Math.min(trustMs, catchUpAtMs - clock.monotonicMs()) : trustMs)
    },
    getAgeMs,
    getProgress: () => position === undefined || currentAt === undefined ? undefined : { ...position, ageMs: getAgeMs() }
  }
}
