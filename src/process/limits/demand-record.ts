/**
 * The records of the `demand` stream: what entries need above their fixed share, and the opening of grant windows.
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
/** `basedOn` of the first window of all. */
export const NO_WINDOW_OFFSET = -1

const MAX_RECORD_BYTES = 262_144
const MAX_COUNT = 1_000_000_000

const count = z.number().int().min(0).max(MAX_COUNT)
const id = z.string().min(1).max(128)

/** How a pool is shared: what the contract leaves beside the fixed shares. */
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

/** What the contract leaves to be granted for a customer. */
export interface PoolTerms {
  customer: CustomerId
  contractVersion: number
  /** Requests a second. */
  ratePool: number
  /** Requests at once. */
  slotPool: number
  /** Windows after which the slots of a run that has fallen silent are free again. */
  keptWindows: number
}

/** What one run needs above its fixed share. */
export interface CustomerNeed extends PoolTerms {
  /** Requests a second. */
  rate: number
  /** More requests at once than it holds. */
  slots: number
  /** Granted slots that it goes on using; it uses no more before it has read the next window. */
  held: number
}

/** A run with a claim on a pool. */
export interface PoolHolder {
  run: Incarnation
  rate: number
  slots: number
  /** Slots that the run may be using. */
  granted: number
  /** The window that its last record belongs to. */
  seenWindow: number
}

/** A pool and its holders at the opening of a window, in order of runs. */
export interface Pool extends PoolTerms { holders: PoolHolder[] }

/** Opens a window, if it is the first record to follow on from the window before. */
export interface WindowOpening {
  window: number
  /** Offset of the record that opened the window before. */
  basedOn: Offset | typeof NO_WINDOW_OFFSET
  /** Pools as they stood at that window, for readers that begin here. */
  pools: Pool[]
}

/** A record of the stream. */
export interface DemandRecord {
  type: 'demand'
  v: typeof DEMAND_SCHEMA_VERSION
  entry: EntryId
  run: Incarnation
  /** The last window that the writer had read; 0 for none. */
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
  if (data.length > MAX_RECORD_BYTES) return err(createError('record-malformed', `a demand record has ${data.length} bytes`))
  try {
    const parsed = recordSchema.safeParse(codec.decode(data))
    if (parsed.success) return ok(parsed.data as unknown as DemandRecord)
    return err(createError('record-malformed', 'a demand record has an unknown form', parsed.error))
  } catch (cause) {
    return err(createError('record-malformed', 'a demand record is no CBOR value', cause))
  }
}
