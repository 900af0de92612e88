/**
 * The share of all known entries that are live. It falls at once; it rises only some time after a change, since until then
 * the entries that were lost may still issue their own share.
 */
import type { Clock } from '../../clock.ts'

/** The share in the view of one entry. */
export interface LiveShare {
  /** Updates the share by the present view of the entries. */
  update(next: number): void
  get(): number
}

/** Creates the share of an entry that knows no others. */
export function createLiveShare ({ clock, settleMs }: { clock: Clock, settleMs: number }): LiveShare {
  let share = 1
  /** A higher share, and when it comes into effect. */
  let rise: { share: number, atMs: number } | undefined

  const applyRise = (): void => {
    if (!rise || clock.monotonicMs() < rise.atMs) return
    share = rise.share
    rise = undefined
  }
  return {
    update (next) {
      applyRise()
      if (next <= share) {
        share = next
        rise = undefined
        return
      }
      const atMs = rise && next <= rise.share ? rise.atMs : clock.monotonicMs() + settleMs
      rise = { share: next, atMs }
    },
    get () {
      applyRise()
      return share
    }
  }
}
