/**
 * How the entries share the reads of a topic: one of them reads for all.
 */
import type { SharedRecordRange } from './shared-range.ts'

/** How entries share their reads. */
export interface SharedReading {
  /** Returns whether this entry is the reader. */
  isReader(): boolean
  /** Sends a range to the other entries. */
  publish(range: SharedRecordRange): void
  /** An entry reads by itself when it knows nothing of the topic that is younger than this, in ms. */
  silentAfterMs: number
  /**
   * Returns how many times longer an entry other than the reader pauses between failed reads, so that the calls of all
   * entries to a store that is unavailable do not grow with their number.
   */
  getRetryFactor(): number
}
