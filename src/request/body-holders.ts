/**
 * Counts who holds a request body, so that its memory goes back to the budget only when nobody does: a target may respond
 * before it has taken the body, whose rest then waits in the connection.
 */
import type { Cancel } from '../types.ts'

/** The holders of one body. */
export interface BodyHolders {
  /** Adds a holder; the returned function removes it. */
  add(): Cancel
}

/** Creates the holders of a body; `release` is called when the last one is removed. */
export function createBodyHolders (release: () => void): BodyHolders {
  let count = 0
  return {
    add () {
      count += 1
      let isHolding = true
      return () => {
        if (!isHolding) return
        isHolding = false
        count -= 1
        if (count === 0) release()
      }
    }
  }
}
