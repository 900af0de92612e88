/**
 * Rendezvous hashing: every process ranks the same entries alike for a key, without talking to the others.
 */
import { createHash } from 'node:crypto'

/** Returns the weight of one entry for a key, as hexadecimal digits that compare as text. */
function computeWeight (key: string, entry: string): string {
  return createHash('sha256').update(JSON.stringify([entry, key])).digest('hex')
}

/** Ranks entries for a key, the first choice first. The order of the input does not matter. */
export function rankEntries<T extends string> (key: string, entries: readonly T[]): T[] {
  const weighed = entries.map((entry) => ({ entry, weight: computeWeight(key, entry) }))
  weighed.sort((a, b) => (a.weight < b.weight ? 1 : -1))
  return weighed.map((one) => one.entry)
}
