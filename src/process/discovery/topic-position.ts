/**
 * Positions in a topic of the store. An offset alone is not one: after the store was restored from a copy, it gives out the
 * same offsets again for other records.
 */
import { toBrand } from '../../types.ts'
import type { StoreEpoch } from '../../types.ts'

/** A position in a topic. */
export interface TopicPosition {
  /** Epoch to which the offset belongs. */
  epoch: StoreEpoch
  /** Offset at which the next read continues. */
  next: number
}

/** The beginning of a topic, before the epoch of the store is known. */
export const TOPIC_BEGINNING: TopicPosition = { epoch: toBrand<StoreEpoch>(0), next: 0 }

/** Compares two positions; positive when `a` is further. A later epoch is further, whatever the offsets. */
export function comparePositions (a: TopicPosition, b: TopicPosition): number {
  return a.epoch - b.epoch || a.next - b.next
}

/** Whether reading may continue from a position in an epoch: its records are of that epoch, or it has read none. */
export function canContinue ({ epoch, next }: TopicPosition, inEpoch: StoreEpoch): boolean {
  return epoch === inEpoch || next === 0
}
