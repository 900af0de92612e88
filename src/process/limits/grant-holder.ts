/**
 * Holds the grants of this process as leases that expire by its own monotonic clock.
 */
import type { Clock } from '../../clock.ts'
import type { CustomerId, Incarnation } from '../../types.ts'
import { computeGrant } from './grant-fold.ts'
import type { Grant, GrantWindow } from './grant-fold.ts'
import { RATE_WINDOW_MS } from './rate-window.ts'

/** Options of a holder; times in ms. */
export interface GrantHolderOptions {
  clock: Clock
  run: Incarnation
  /** Minimum time between the openings of two windows. */
  windowMs: number
}

/** The grants of the newest window. */
export interface GrantHolder {
  /**
   * Sets the window that was read. It was certainly opened after `openedAfterMs`, by the monotonic clock, so no entry
   * opens the next one before `openedAfterMs` plus the length of a window.
   */
  setWindow(window: GrantWindow, openedAfterMs: number): void
  /** Returns what may be used now; nothing once the next window may be open. */
  getGrant(customer: CustomerId): Grant
  /** Returns the slots that the newest window grants, expired or not. */
  getGrantedSlots(customer: CustomerId): number
  /** Returns the granted slots that may be in use at once, after `setSlotCap`. */
  getUsableSlots(customer: CustomerId): number
  /** Caps the granted slots in use until the next window is read. */
  setSlotCap(customer: CustomerId, slots: number): void
  /** Returns when the newest window was read, in ms; undefined if there is none. */
  getReadAtMs(): number | undefined
  /** Returns whether the newest window's grants have not expired. */
  isActive(): boolean
}

interface HeldWindow {
  window: GrantWindow
  readAtMs: number
  openedAfterMs: number
  untilMs: number
  /** Grants of this incarnation, computed once for each customer. */
  grants: Map<CustomerId, Grant>
}

/** Clocks of two hosts may run at rates that differ by this share. */
const CLOCK_DRIFT_SHARE = 0.001

/** Creates a holder without grants. */
export function createGrantHolder (options: GrantHolderOptions): GrantHolder {
  const { clock, run, windowMs } = options
  const slotCaps = new Map<CustomerId, number>()
  let held: HeldWindow | undefined
  let previous: HeldWindow | undefined

  const findGrant = ({ window, grants }: HeldWindow, customer: CustomerId): Grant => {
    const known = grants.get(customer)
    if (known) return known
    const computed = computeGrant(window, customer, run)
    grants.set(customer, computed)
    return computed
  }
  /**
   * Returns the rate granted in the previous window; `Infinity` if there was none or its requests have left the sliding
   * rate window, and 0 if this process did not read it.
   */
  const computePreviousRate = (customer: CustomerId, now: HeldWindow): number => {
    if (now.window.window === 1) return Infinity
    if (previous?.window.window !== now.window.window - 1) return 0
    const hasPreviousAgedOut = now.openedAfterMs >= previous.readAtMs + windowMs + RATE_WINDOW_MS
    return hasPreviousAgedOut ? Infinity : findGrant(previous, customer).rate
  }
  const getGrantedSlots = (customer: CustomerId): number => held ? findGrant(held, customer).slots : 0
  const getUsableSlots = (customer: CustomerId): number => Math.min(getGrantedSlots(customer), slotCaps.get(customer) ?? Infinity)
  const isActive = (): boolean => held !== undefined && clock.monotonicMs() < held.untilMs
  return {
    setWindow (window, openedAfterMs) {
      previous = held
      const readMs = clock.monotonicMs()
      held = { window, readAtMs: readMs, openedAfterMs, untilMs: openedAfterMs + windowMs * (1 - CLOCK_DRIFT_SHARE), grants: new Map() }
      slotCaps.clear()
    },
    getGrant (customer) {
      if (!held || !isActive()) return { rate: 0, slots: 0 }
      const { rate } = findGrant(held, customer)
      // The sliding second of the rate limit still contains other entries' requests from the previous window.
      const isFirstRateWindow = clock.monotonicMs() - held.readAtMs < RATE_WINDOW_MS
      const allowedRate = isFirstRateWindow ? Math.min(rate, computePreviousRate(customer, held)) : rate
      return { rate: allowedRate, slots: getUsableSlots(customer) }
    },
    getGrantedSlots,
    getUsableSlots,
    setSlotCap: (customer, slots) => { slotCaps.set(customer, slots) },
    getReadAtMs: () => held?.readAtMs,
    isActive
  }
}
