/**
 * How old the knowledge is that a page of the store gives.
 */
import type { KeyedPage } from '../../platform/store-client.ts'

/** Times of the read of a page, in ms. */
export interface ReadTimes {
  /** Time since the call was sent. */
  elapsedMs: number
  /** How long the store was to wait for a record. */
  waitMs: number
}

/**
 * Computes how long ago the store held no record beyond a page, in ms; undefined when more records follow. The response may have
 * been on its way for long, so its arrival says nothing: it was given after the call was sent, and an empty one after the store
 * has waited.
 */
export function computePageAgeMs ({ records, isEnd }: Pick<KeyedPage, 'records' | 'isEnd'>, { elapsedMs, waitMs }: ReadTimes): number | undefined {
  if (!isEnd) return undefined
  return records.length === 0 && elapsedMs >= waitMs ? elapsedMs - waitMs : elapsedMs
}
