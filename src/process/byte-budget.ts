/**
 * Bounds the memory of the request bodies that a process holds.
 */

/** A bound in bytes. */
export interface ByteBudget {
  /** Takes bytes if enough are left. A large amount is refused sooner, so that small requests are served beside large uploads. */
  tryAcquire(bytes: number): boolean
  release(bytes: number): void
  /** Returns the bytes taken at present. */
  getTaken(): number
}

/** A larger amount counts as large, in bytes. */
const MAX_SMALL_BYTES = 65_536
/** Share of the bound that large amounts may take. */
const LARGE_SHARE = 0.9

/** Creates a budget of `maxBytes`, of which none are taken. */
export function createByteBudget (maxBytes: number): ByteBudget {
  let taken = 0
  return {
    tryAcquire (bytes) {
      const limit = bytes > MAX_SMALL_BYTES ? maxBytes * LARGE_SHARE : maxBytes
      if (taken + bytes > limit) return false
      taken += bytes
      return true
    },
    release (bytes) { taken -= bytes },
    getTaken: () => taken
  }
}
