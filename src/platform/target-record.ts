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
import { isUnicastAddress, MAX_PORT, parseHostPort } from '../unicast-address.ts'
import { parseDurationMs } from './durations.ts'

/** Ids go into a header of each request. */
const ID_PATTERN = /^[\x21-\x7e]{1,128}$/
const MAX_NAME_LENGTH = 256
/** A target processes one request on a connection, and has no more connections than there are ports. */
const MAX_SLOTS = MAX_PORT
/** Later starts, in ms since 1970, lie after the year 2100: the record of a real target could never follow them. */
const MAX_BORN_MS = 4_102_444_800_000
/** No target counts so far, even in microseconds. */
const MAX_SEQUENCE = 2 ** 48

const addressSchema = z.string().transform((text, context) => {
  const endpoint = parseHostPort(text)
  if (endpoint && isUnicastAddress(endpoint.address)) return endpoint
  context.addIssue({ code: 'custom', message: 'not a unicast IPv4 address with a port' })
  return z.NEVER
})
const name = z.string().max(MAX_NAME_LENGTH)
const reportSchema = z.object({
  address: addressSchema,
  // When this run of the target started, in ms since 1970; absent where the platform does not provide it.
  born: z.number().int().max(MAX_BORN_MS).optional(),
  info: z.object({ service: name.min(1), zone: name, slots: z.number().int().positive().max(MAX_SLOTS) }),
  status: z.object({ state: z.enum(['ready', 'draining']), sequence: z.number().int().nonnegative().max(MAX_SEQUENCE), warmupLeft: z.string() })
})

/** Decodes one target report. Errors: `record-malformed`. */
export function decodeTargetReport (id: string, bytes: Uint8Array): Result<TargetReport, AppError> {
  if (!ID_PATTERN.test(id)) return err(createError('record-malformed', `The id of a target has ${id.length} characters, or some that a header cannot hold.`))
  try {
    const parsed = reportSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')))
    const { address, port } = parsed.address
    const warmupLeftMs = parseDurationMs(parsed.status.warmupLeft)
    if (warmupLeftMs === undefined) return err(createError('record-malformed', `target ${id}: warmupLeft is not a duration`))
    return ok({
      id: toBrand<TargetId>(id),
      service: toBrand<ServiceId>(parsed.info.service),
      address,
      port,
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
