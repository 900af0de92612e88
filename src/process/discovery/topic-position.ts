/**
 * Positions in a topic of the store. An offset alone is not one: after the store was restored from a copy, it gives out the
 * same offsets again for other records.
 */
import { toBrand } from '../../types.ts'
import type { StoreEra } from '../../types.ts'

/** A position in a topic. */
export interface TopicPosition {
  /** Era to which the offset belongs. */
  era: StoreEra
  /** Offset at which the next read continues. */
  next: number
}

/** The beginning of a topic, before the era of the store is known. */
export const TOPIC_BEGINNING: TopicPosition = { era: toBrand<StoreEra>(0), next: 0 }

/** Compares two positions; positive when `a` is further. A later era is further, whatever the offsets. */
export function comparePositions (a: TopicPosition, b: TopicPosition): number {
  return a.era - b.era || a.next - b.next
}

/** Whether reading may continue from a position in an era: its records are of that era, or it has read none. */
export function canContinue ({ era, next }: TopicPosition, inEra: StoreEra): boolean {
  return era === inEra || next === 0
}
