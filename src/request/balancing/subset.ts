/**
 * Subsetting: with many entries or targets, only the first few entries in the rendezvous ranking of a target send
 * requests to it. Every target keeps several entries, while connections and memory stay bounded.
 */
import { computeHash, computePairWeight } from './rendezvous.ts'

/** Inputs of `computeEntriesPerTarget`. */
export interface SubsetInput {
  entryCount: number
  targetCount: number
  /** Maximum number of connections of one target from all entries together. */
  connectionsPerTarget: number
  /** Maximum number of targets that one entry should have; other limits take precedence. */
  maxTargets: number
}

const MIN_ENTRIES_PER_TARGET = 3

/** Computes how many entries send requests to each target. */
export function computeEntriesPerTarget (input: SubsetInput): number {
  const { entryCount, targetCount, connectionsPerTarget, maxTargets } = input
  const countForMaxTargets = Math.ceil(entryCount * maxTargets / targetCount)
  const wantedCount = Math.max(MIN_ENTRIES_PER_TARGET, countForMaxTargets)
  return Math.max(1, Math.min(entryCount, connectionsPerTarget, wantedCount))
}

/** Returns whether `self` is among the first `entriesPerTarget` entries of a target. `entries` may leave out `self`. */
export function isInSubset (target: string, self: string, entries: readonly string[], entriesPerTarget: number): boolean {
  const key = computeHash(target)
  const ownWeight = computePairWeight(key, computeHash(self))
  let rankedBefore = 0
  for (const entry of entries) {
    if (entry === self) continue
    const weight = computePairWeight(key, computeHash(entry))
    if (weight > ownWeight || (weight === ownWeight && entry < self)) rankedBefore += 1
    if (rankedBefore >= entriesPerTarget) return false
  }
  return true
}
