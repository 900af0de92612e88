/**
 * The faults of the target stand-in, which `POST /control` switches on and off.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Clock } from '../src/clock.ts'

const share = z.number().min(0).max(1)
const count = z.number().int().nonnegative()

const faultShape = {
  /** Whether the target drains: the health endpoint reports it, and responses carry `x-target-leaving: 1`. */
  isLeaving: z.boolean(),
  /** Whether responses carry that header while draining. */
  hasLeavingSign: z.boolean(),
  /** Time for which the health endpoint still reports `ready` after draining began, in ms. */
  healthLagMs: z.number().nonnegative(),
  /** Share of requests that are shed before they begin. */
  shedShare: share,
  /** Factor by which work takes longer. */
  slowFactor: z.number().min(1),
  /** Share of requests that get an error response without waiting for a slot. */
  errorShare: share,
  /** Whether those requests count as run. */
  errorsRun: z.boolean(),
  /** Number of responses still to be truncated. */
  truncateNext: count,
  /** Number of responses still to be replaced by the id and body of the previous response. */
  crossNext: count,
  /** Bytes per second of each download; 0 sets no limit. */
  downloadBytesPerSecond: z.number().nonnegative()
}

const patchSchema = z.strictObject({
  ...z.strictObject(faultShape).partial().shape,
  /** Stops reading and responding on the connections that are open now; new connections work. */
  silenceOpen: z.boolean().optional(),
  /** Time after which the change is undone, in ms. */
  forMs: z.number().positive().optional()
})

/** The faults in effect. */
export type TargetFaults = z.infer<z.ZodObject<typeof faultShape>>
/** A change of faults, as in the body of `POST /control`. */
export type FaultPatch = z.infer<typeof patchSchema>

const NO_FAULTS: TargetFaults = {
  isLeaving: false,
  hasLeavingSign: true,
  healthLagMs: 0,
  shedShare: 0,
  slowFactor: 1,
  errorShare: 0,
  errorsRun: false,
  truncateNext: 0,
  crossNext: 0,
  downloadBytesPerSecond: 0
}

/** Holds the faults in effect. */
export interface FaultSwitch {
  getFaults(): TargetFaults
  /** Applies a change, and undoes it after `forMs` if that is set. */
  apply(patch: FaultPatch): void
  /** Uses up one of the faulty responses that remain; returns false when none does. */
  takeOne(name: 'truncateNext' | 'crossNext'): boolean
}

/** Validates parsed JSON as a change of faults. Errors: a text that lists each invalid field. */
export function parseFaultPatch (value: unknown): Result<FaultPatch, string> {
  const parsed = patchSchema.safeParse(value)
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error))
}

/** Creates a switch with no faults; `notify` is called after each change. */
export function createFaultSwitch (clock: Clock, notify: () => void): FaultSwitch {
  const faults = { ...NO_FAULTS }
  return {
    getFaults: () => faults,
    apply (patch) {
      const { forMs, silenceOpen: _, ...changes } = patch
      const keys = Object.keys(changes) as (keyof TargetFaults)[]
      const previous = Object.fromEntries(keys.map((key) => [key, faults[key]]))
      Object.assign(faults, changes)
      notify()
      if (forMs === undefined) return
      clock.startTimer(forMs, () => {
        Object.assign(faults, previous)
        notify()
      })
    },
    takeOne (name) {
      if (faults[name] === 0) return false
      faults[name] -= 1
      return true
    }
  }
}
