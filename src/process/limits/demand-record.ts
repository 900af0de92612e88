/**
 * The records of the `demand` stream: what each entry needs above its fixed share, and openings of grant windows.
 */
import { Encoder } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { CustomerId, EntryId, Incarnation, Offset } from '../../types.ts'

/** Version of the record's schema. */
export const DEMAND_SCHEMA_VERSION = 1
/** `basedOn` of the first window of the stream. */
export const NO_WINDOW_OFFSET = -1

const MAX_RECORD_BYTES = 262_144
const MAX_COUNT = 1_000_000_000

const count = z.number().int().min(0).max(MAX_COUNT)
const id = z.string().min(1).max(128)

/** The terms of a pool: the part of a contract's limits beyond the fixed shares. */
const poolFields = { customer: id, contractVersion: count, ratePool: count, slotPool: count, keptWindows: count }
const needSchema = z.object({ ...poolFields, rate: count, slots: count, held: count })
const holderSchema = z.object({ run: id, rate: count, slots: count, granted: count, seenWindow: count })
const openingSchema = z.object({
  window: count,
  basedOn: z.number().int().min(NO_WINDOW_OFFSET),
  pools: z.array(z.object({ ...poolFields, holders: z.array(holderSchema) }))
})
const recordSchema = z.object({
  type: z.literal('demand'),
  v: z.literal(DEMAND_SCHEMA_VERSION),
  entry: id,
  run: id,
  knownWindow: count,
  needs: z.array(needSchema),
  opening: openingSchema.optional()
})

/** The part of a customer's limits that is granted by windows. */
export interface PoolTerms {
  customer: CustomerId
  contractVersion: number
  /** Requests a second. */
  ratePool: number
  /** Requests at once. */
  slotPool: number
  /** Windows after which the slots of an incarnation that writes no more records are free again. */
  keptWindows: number
}

/** What one incarnation needs above its fixed share. */
export interface CustomerNeed extends PoolTerms {
  /** Requests a second. */
  rate: number
  /** Requests at once, in addition to `held`. */
  slots: number
  /** Granted slots that the incarnation keeps using. It uses no more than these until it has read the next window. */
  held: number
}

/** An incarnation with a share of a pool. */
export interface PoolHolder {
  run: Incarnation
  /** Requests a second that it needs. */
  rate: number
  /** Requests at once that it needs, in addition to those it keeps using. */
  slots: number
  /** Slots that the incarnation may be using. */
  granted: number
  /** The window that its last record counts for. */
  seenWindow: number
}

/** A pool and its holders at the opening of a window, in the order of incarnations. */
export interface Pool extends PoolTerms { holders: PoolHolder[] }

/** Opens a window. Only the first record that follows the previous window takes effect. */
export interface WindowOpening {
  window: number
  /** Offset of the record that opened the previous window. */
  basedOn: Offset | typeof NO_WINDOW_OFFSET
  /** Pools of the previous window, for readers that begin with this record. */
  pools: Pool[]
}

/** A record of the stream. `run` is the writer's incarnation. */
export interface DemandRecord {
  type: 'demand'
  v: typeof DEMAND_SCHEMA_VERSION
  entry: EntryId
  run: Incarnation
  /** The last window that the writer had read; 0 if none. */
  knownWindow: number
  needs: CustomerNeed[]
  opening?: WindowOpening
}

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, variableMapSize: true })

/** Encodes a record for the log. */
export function encodeDemandRecord (record: DemandRecord): Uint8Array {
  return codec.encode(record)
}

/** Decodes a record. Errors: `record-malformed`. */
export function decodeDemandRecord (data: Uint8Array): Result<DemandRecord, AppError> {
  if (data.length > MAX_RECORD_BYTES) return err(createError('record-malformed', `a demand record has ${data.length} bytes, which is over the limit`))
  try {
    const parsed = recordSchema.safeParse(codec.decode(data))
    if (parsed.success) return ok(parsed.data as unknown as DemandRecord)
    return err(createError('record-malformed', 'a demand record does not match the schema', parsed.error))
  } catch (cause) {
    return err(createError('record-malformed', 'a demand record is not valid CBOR', cause))
  }
}
