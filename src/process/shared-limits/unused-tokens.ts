/**
 * Tokens that were granted to this entry and not used yet, each valid until an instant.
 */
import type { Clock } from '../../clock.ts'

/** Tokens that were not used. `K` is the id of what their limit belongs to; instants are by the monotonic clock in ms. */
export interface UnusedTokens<K> {
  add(key: K, count: number, expiresAtMs: number): void
  /** Takes a token; returns until when it is valid, or undefined when there is none. */
  tryTake(key: K): number | undefined
  removeUnregistered(isRegistered: (key: K) => boolean): void
}

interface Lease { count: number, expiresAtMs: number }

/** Creates an empty set. */
export function createUnusedTokens<K> (clock: Clock): UnusedTokens<K> {
  /** The leases of each key, the one that expires first at the front. */
  const leases = new Map<K, Lease[]>()
  const listValid = (key: K): Lease[] => {
    const nowMs = clock.monotonicMs()
    return (leases.get(key) ?? []).filter(({ count, expiresAtMs }) => count > 0 && expiresAtMs > nowMs)
  }
  const set = (key: K, valid: Lease[]): void => {
    if (valid.length > 0) leases.set(key, valid)
    else leases.delete(key)
  }
  return {
    add (key, count, expiresAtMs) {
      const valid = [...listValid(key), { count, expiresAtMs }]
      set(key, valid.sort((a, b) => a.expiresAtMs - b.expiresAtMs))
    },
    tryTake (key) {
      const valid = listValid(key)
      const [first] = valid
      if (first) first.count -= 1
      set(key, valid)
      return first?.expiresAtMs
    },
    removeUnregistered (isRegistered) {
      for (const key of leases.keys()) if (!isRegistered(key)) leases.delete(key)
    }
  }
}
