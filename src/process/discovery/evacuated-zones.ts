/**
 * The zones that the operator has asked to evacuate: nothing is sent to their targets until the request is taken back.
 */
import type { Clock } from '../../clock.ts'
import type { ZoneId } from '../../types.ts'
import type { PartLogger } from '../logger.ts'

/** The evacuated zones. */
export interface EvacuatedZones {
  /** Applies that a zone is to be evacuated, or no longer. Returns whether that changed something. */
  apply(zone: ZoneId, isEvacuated: boolean): boolean
  /**
   * Applies a full read: only these zones are evacuated. After a restore of the store from a copy, the others stay evacuated for
   * `KEPT_AFTER_RESTORE_MS`, since the copy may be older than the request, which is then written again.
   */
  replaceAll(zones: readonly ZoneId[], isAfterRestore: boolean): void
  /** Removes the zones that were not written again in time after a restore. Call it periodically. */
  removeExpired(): void
  has(zone: ZoneId): boolean
  list(): ZoneId[]
}

/** Longer than it takes until everything is written again after a restore, in ms; a request that was taken back ends then. */
export const KEPT_AFTER_RESTORE_MS = 30_000

/** Creates an empty set. */
export function createEvacuatedZones ({ clock, logger }: { clock: Clock, logger: Pick<PartLogger, 'info' | 'warn'> }): EvacuatedZones {
  /** Each zone with the instant until which it stays evacuated without a record, in ms; `Infinity` for one with a record. */
  const keptUntilMs = new Map<ZoneId, number>()
  const add = (zone: ZoneId): boolean => {
    const isNew = !keptUntilMs.has(zone)
    keptUntilMs.set(zone, Infinity)
    if (isNew) logger.warn('A zone is evacuated; its targets get no requests.', { zone })
    return isNew
  }
  const remove = (zone: ZoneId, because: string): boolean => {
    const isRemoved = keptUntilMs.delete(zone)
    if (isRemoved) logger.warn('A zone is no longer evacuated.', { zone, because })
    return isRemoved
  }
  const keepFor = (zone: ZoneId): void => {
    if (keptUntilMs.get(zone) !== Infinity) return
    keptUntilMs.set(zone, clock.monotonicMs() + KEPT_AFTER_RESTORE_MS)
    logger.info('A zone stays evacuated although the restored store does not say so.', { zone, forMs: KEPT_AFTER_RESTORE_MS })
  }
  return {
    apply: (zone, isEvacuated) => isEvacuated ? add(zone) : remove(zone, 'the operator took it back'),
    replaceAll (zones, isAfterRestore) {
      for (const zone of zones) add(zone)
      for (const [zone, untilMs] of [...keptUntilMs]) {
        if (zones.includes(zone)) continue
        if (isAfterRestore) keepFor(zone)
        else if (untilMs === Infinity) remove(zone, 'the store has no such record any more')
      }
    },
    removeExpired () {
      const nowMs = clock.monotonicMs()
      for (const [zone, untilMs] of [...keptUntilMs]) if (untilMs <= nowMs) remove(zone, 'it was not written again after a restore of the store')
    },
    has: (zone) => keptUntilMs.has(zone),
    list: () => [...keptUntilMs.keys()]
  }
}
