/**
 * Rendezvous hashing: all processes with the same ids compute the same ranking without coordination.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
/** Multipliers of the final mix step of MurmurHash3. */
const FIRST_MIX_MULTIPLIER = 0x85ebca6b
const SECOND_MIX_MULTIPLIER = 0xc2b2ae35

/** Mixes the bits of a 32-bit number, so that similar inputs give unrelated outputs. */
function computeMix (value: number): number {
  let mixed = value
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MIX_MULTIPLIER)
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MIX_MULTIPLIER)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/** Computes a 32-bit hash of a text: FNV-1a with a final mix step. */
export function computeHash (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  return computeMix(hash)
}

/** Computes the weight of a pair from the hashes of its two ids. */
export function computePairWeight (first: number, second: number): number {
  return computeMix(Math.imul(first, FNV_PRIME) ^ second)
}

/** Sorts candidates by their weight for a key, the highest first. */
export function sortByRendezvous<T extends string> (key: string, candidates: readonly T[]): T[] {
  const keyHash = computeHash(key)
  const weighted = candidates.map((id) => ({ id, weight: computePairWeight(keyHash, computeHash(id)) }))
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
  return weighted.map((entry) => entry.id)
}
