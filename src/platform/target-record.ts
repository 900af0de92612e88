/**
 * Decodes the report that a target writes about itself to the store.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { TargetReport } from '../process/discovery/target-registry.ts'
import { toBrand } from '../types.ts'
import type { ServiceId, TargetId, ZoneId } from '../types.ts'
import { parseDurationMs } from './durations.ts'

const ADDRESS_PATTERN = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/

const reportSchema = z.object({
  address: z.string().regex(ADDRESS_PATTERN),
  // When this run of the target started, in ms since 1970; absent where the platform does not provide it.
  born: z.number().int().optional(),
  info: z.object({ service: z.string().min(1), zone: z.string(), slots: z.number().int().positive() }),
  status: z.object({ state: z.enum(['ready', 'draining']), sequence: z.number().int().nonnegative(), warmupLeft: z.string() })
})

/** Decodes one target report. Errors: `record-malformed`. */
export function decodeTargetReport (id: string, bytes: Uint8Array): Result<TargetReport, AppError> {
  try {
    const parsed = reportSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')))
    const [, address = '', port = ''] = ADDRESS_PATTERN.exec(parsed.address) ?? []
    const warmupLeftMs = parseDurationMs(parsed.status.warmupLeft)
    if (warmupLeftMs === undefined) return err(createError('record-malformed', `target ${id}: warmupLeft is not a duration`))
    return ok({
      id: toBrand<TargetId>(id),
      service: toBrand<ServiceId>(parsed.info.service),
      address,
      port: Number(port),
      zone: toBrand<ZoneId>(parsed.info.zone),
      slots: parsed.info.slots,
      isDraining: parsed.status.state === 'draining',
      bornMs: parsed.born ?? 0,
      sequence: parsed.status.sequence,
      warmupLeftMs
    })
  } catch (cause) {
    return err(createError('record-malformed', `target ${id}: ${describeCause(cause)}`, cause))
  }
}
