/**
 * The faults of the target stand-in, switched by its control endpoint.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Clock } from '../src/clock.ts'

const share = z.number().min(0).max(1)
const count = z.number().int().nonnegative()

const faultShape = {
  /** Drains: the health endpoint says so, and answers carry `x-target-leaving: 1`. */
  isLeaving: z.boolean(),
  /** Whether answers carry the sign while draining. */
  hasLeavingSign: z.boolean(),
  /** How far the health endpoint lags behind, in ms. */
  healthLagMs: z.number().nonnegative(),
  /** Share of requests that are refused unstarted. */
  shedShare: share,
  /** How many times longer work takes. */
  slowFactor: z.number().min(1),
  /** Share of requests that are answered with an error at once. */
  errorShare: share,
  /** Whether such a request ran all the same. */
  errorsRun: z.boolean(),
  /** Answers still to be cut short. */
  truncateNext: count,
  /** Answers still to be crossed with the one before. */
  crossNext: count,
  /** Bytes a second of one download; 0 for as fast as it goes. */
  downloadBytesPerSecond: z.number().nonnegative()
}

const patchSchema = z.strictObject({
  ...z.strictObject(faultShape).partial().shape,
  /** Makes the connections that are open now go dead, while new ones work. */
  silenceOpen: z.boolean().optional(),
  /** Undoes the patch after this time, in ms. */
  forMs: z.number().positive().optional()
})

/** The faults in force. */
export type TargetFaults = z.infer<z.ZodObject<typeof faultShape>>
/** A change of faults. */
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

/** Holds the faults in force. */
export interface FaultSwitch {
  getFaults(): TargetFaults
  /** Applies a change, and undoes it later when it says so. */
  apply(patch: FaultPatch): void
  /** Takes one of a number of faulty answers; false when none is left. */
  takeOne(name: 'truncateNext' | 'crossNext'): boolean
}

/** Checks a change of faults that came as JSON; the error says what is wrong. */
export function parseFaultPatch (value: unknown): Result<FaultPatch, string> {
  const parsed = patchSchema.safeParse(value)
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error))
}

/** Creates a switch without faults; `notify` is called after each change. */
export function createFaultSwitch (clock: Clock, notify: () => void): FaultSwitch {
  const faults = { ...NO_FAULTS }
  return {
    getFaults: () => faults,
    apply (patch) {
      const { forMs, silenceOpen: _, ...changes } = patch
      const keys = Object.keys(changes) as (keyof TargetFaults)[]
      const before = Object.fromEntries(keys.map((key) => [key, faults[key]]))
      Object.assign(faults, changes)
      notify()
      if (forMs === undefined) return
      clock.startTimer(forMs, () => {
        Object.assign(faults, before)
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
