/**
 * Records on the claim streams. Whether a record counts is decided from its bytes and fixed limits alone,
 * so that all readers skip the same ones.
 */
import { Decoder, Encoder } from 'cbor-x'
import { z } from 'zod'
import type { RecordedOutcome } from './claim-book.ts'

/** The largest record that readers accept, in bytes. */
export const LARGEST_RECORD_BYTES = 262_144
/** The largest number of entries, keys or voids in one record. */
export const LARGEST_ENTRY_COUNT = 2_048
/** The largest answer body that is kept for repeated attempts, in bytes. */
export const LARGEST_OUTCOME_BODY_BYTES = 4_096
/** The largest size of the kept headers of an answer, names and values together, in bytes. */
export const LARGEST_OUTCOME_HEADER_BYTES = 1_024

const SCHEMA = 1
const LONGEST_ID_CHARS = 128
const HASH_CHARS = 32

const idText = z.string().min(1).max(LONGEST_ID_CHARS)
const hashText = z.string().length(HASH_CHARS)
const count = z.number().int().nonnegative()

const outcomeSchema = z.strictObject({
  status: z.number().int().min(100).max(599),
  headers: z.record(z.string(), z.string()).refine((headers) => measureHeaders(headers) <= LARGEST_OUTCOME_HEADER_BYTES),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array).refine((body) => body.length <= LARGEST_OUTCOME_BODY_BYTES).optional()
})

const entrySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('claim'), seq: count, key: hashText, digest: hashText, windowMs: count }),
  z.strictObject({ kind: z.literal('void'), seq: count, key: hashText, windowMs: count }),
  z.strictObject({ kind: z.literal('outcome'), seq: count, key: hashText, outcome: outcomeSchema })
])

const keptClaimSchema = z.strictObject({
  key: hashText,
  writer: idText,
  seq: count,
  digest: hashText,
  untilMs: count,
  outcome: outcomeSchema.optional()
})

const keptVoidSchema = z.strictObject({ writer: idText, seq: count, untilMs: count })

const base = { v: z.literal(SCHEMA), writer: idText, atMs: count }

const recordSchema = z.discriminatedUnion('type', [
  z.strictObject({ ...base, type: z.literal('claims'), entries: z.array(entrySchema).max(LARGEST_ENTRY_COUNT) }),
  z.strictObject({
    ...base,
    type: z.literal('checkpoint'),
    id: idText,
    part: count,
    parts: count,
    /** All records below this offset are folded into the checkpoint. */
    covers: count,
    /** Time of the stream at that offset, in ms since 1970. */
    streamMs: count,
    claims: z.array(keptClaimSchema).max(LARGEST_ENTRY_COUNT),
    voids: z.array(keptVoidSchema).max(LARGEST_ENTRY_COUNT)
  }),
  z.strictObject({ ...base, type: z.literal('checkpoint-wanted') })
])

/** A record on a claim stream. */
export type ClaimRecord = z.infer<typeof recordSchema>
/** One line of a `claims` record; its nonce is the record's writer with `seq`. */
export type ClaimEntry = z.infer<typeof entrySchema>
/** A part of a checkpoint. */
export type CheckpointRecord = Extract<ClaimRecord, { type: 'checkpoint' }>
/** A claim as a checkpoint keeps it. */
export type KeptClaim = z.infer<typeof keptClaimSchema>
/** A void as a checkpoint keeps it. */
export type KeptVoid = z.infer<typeof keptVoidSchema>

const encoder = new Encoder({ useRecords: false, tagUint8Array: false })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

function measureHeaders (headers: Record<string, string>): number {
  return Object.entries(headers).reduce((sum, [name, value]) => sum + Buffer.byteLength(name) + Buffer.byteLength(value), 0)
}

/** Encodes a record. */
export function encodeClaimRecord (record: ClaimRecord): Uint8Array {
  return encoder.encode(record)
}

/** Decodes a record; undefined when it is malformed, oversized or foreign. */
export function decodeClaimRecord (data: Uint8Array): ClaimRecord | undefined {
  if (data.length > LARGEST_RECORD_BYTES) return undefined
  try {
    return recordSchema.safeParse(decoder.decode(data)).data
  } catch {
    return undefined
  }
}

/** Returns the outcome as it fits into a record: too large a body or too many headers are left out. */
export function buildKeptOutcome (outcome: RecordedOutcome): RecordedOutcome {
  const headers = measureHeaders(outcome.headers) <= LARGEST_OUTCOME_HEADER_BYTES ? outcome.headers : {}
  const { status, body } = outcome
  if (!body || body.length > LARGEST_OUTCOME_BODY_BYTES) return { status, headers }
  return { status, headers, body: Uint8Array.from(body) }
}

/** Returns about how many bytes an entry takes in a record. */
export function measureEntry (entry: ClaimEntry): number {
  const FIXED_BYTES = 160
  if (entry.kind !== 'outcome') return FIXED_BYTES
  return FIXED_BYTES + measureHeaders(entry.outcome.headers) * 2 + (entry.outcome.body?.length ?? 0)
}
