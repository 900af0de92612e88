/**
 * Rendezvous hashing: every process ranks the same entries in the same order for a key, without communication.
 */
import { createHash } from 'node:crypto'

/** Returns the weight of one entry for a key, as hexadecimal digits; weights compare as strings. */
function computeWeight (key: string, entry: string): string {
  return createHash('sha256').update(JSON.stringify([entry, key])).digest('hex')
}

/** Ranks entries for a key, highest weight first. The order of the input does not matter. */
export function rankEntries<T extends string> (key: string, entries: readonly T[]): T[] {
  const weighted = entries.map((entry) => ({ entry, weight: computeWeight(key, entry) }))
  weighted.sort((a, b) => (a.weight < b.weight ? 1 : -1))
  return weighted.map((one) => one.entry)
}
