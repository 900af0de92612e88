/**
 * Subsets: with many entries or targets, each target is served by its first few entries by rendezvous, so that
 * every target keeps several entries while connections and memory stay bounded.
 */
import { computeHash, computePairWeight } from './rendezvous.ts'

/** What the number of entries for each target is computed from. */
export interface SubsetInput {
  entryCount: number
  targetCount: number
  /** Connections that one target accepts from all entries together. */
  connectionsPerTarget: number
  /** Targets that one entry should hold. */
  largestTargets: number
}

const FEWEST_ENTRIES_PER_TARGET = 3

/** Computes how many entries serve each target. */
export function computeEntriesPerTarget (input: SubsetInput): number {
  const { entryCount, targetCount, connectionsPerTarget, largestTargets } = input
  const byMemory = Math.ceil(entryCount * largestTargets / targetCount)
  const wanted = Math.max(FEWEST_ENTRIES_PER_TARGET, byMemory)
  return Math.max(1, Math.min(entryCount, connectionsPerTarget, wanted))
}

/** Tells whether `self` is among the first `entriesPerTarget` entries of a target. `entries` holds ids, with or without self. */
export function isInSubset (target: string, self: string, entries: readonly string[], entriesPerTarget: number): boolean {
  const key = computeHash(target)
  const ownWeight = computePairWeight(key, computeHash(self))
  let heavier = 0
  for (const entry of entries) {
    if (entry === self) continue
    const weight = computePairWeight(key, computeHash(entry))
    if (weight > ownWeight || (weight === ownWeight && entry < self)) heavier += 1
    if (heavier >= entriesPerTarget) return false
  }
  return true
}
