/**
 * Reads and checks the operator's settings of a gateway: JSON with comments; unknown keys are rejected.
 */
import { readFile } from 'node:fs/promises'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError, describeCause } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { formatFaults, parseJsonc } from '../../version/jsonc.ts'

/** With more, hedges would be sent for requests that are not slow. */
const MAX_EXTRA_SHARE = 0.5

const settingsSchema = z.strictObject({
  hedging: z.strictObject({
    maxExtraShare: z.number().min(0, 'give a share from 0, which is off').max(MAX_EXTRA_SHARE, `give a share of at most ${MAX_EXTRA_SHARE}`)
  }).optional()
})

/** Settings of a gateway that the platform's boot file does not hold. */
export interface GatewaySettings {
  /** Limit of hedges: their work as a share of the work of all other attempts, 0 for none. Without it hedges come from the retry budget. */
  hedging?: { maxExtraShare: number } | undefined
}

/** Parses the text of a settings file; `file` is its name in error messages. Errors: `settings-invalid`, one line for each fault. */
export function parseGatewaySettings (text: string, file: string): Result<GatewaySettings, AppError> {
  return parseJsonc<GatewaySettings>(text, settingsSchema).mapErr((faults) => createError('settings-invalid', formatFaults(file, faults)))
}

/** Reads and checks a settings file. Errors: `settings-invalid`. */
export async function readGatewaySettings (file: string): Promise<Result<GatewaySettings, AppError>> {
  try {
    return parseGatewaySettings(await readFile(file, 'utf8'), file)
  } catch (cause) {
    return err(createError('settings-invalid', `${file}: the file cannot be read (${describeCause(cause)}); check the path and its permissions`, cause))
  }
}
