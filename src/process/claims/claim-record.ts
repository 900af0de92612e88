/**
 * Records on the claim streams. Whether a record is valid depends only on its bytes and fixed limits, so that all
 * readers skip the same ones.
 */
import { Decoder, Encoder } from 'cbor-x'
import { z } from 'zod'
import type { StoredResponse } from './claim-store.ts'

/** Maximum size of a record, in bytes; readers skip larger ones. */
export const MAX_RECORD_BYTES = 262_144
/** Maximum number of entries in a `claims` record; also of claims, and of tombstones, in one part of a checkpoint. */
export const MAX_ENTRY_COUNT = 2_048
/** Maximum size of a stored response body, in bytes. */
export const MAX_RESPONSE_BODY_BYTES = 4_096
/** Maximum size of the headers of a stored response, names and values together, in bytes. */
export const MAX_RESPONSE_HEADER_BYTES = 1_024

const SCHEMA = 1
const MAX_ID_CHARS = 128
const HASH_CHARS = 32

const idText = z.string().min(1).max(MAX_ID_CHARS)
const hashText = z.string().length(HASH_CHARS)
const count = z.number().int().nonnegative()

const outcomeSchema = z.strictObject({
  status: z.number().int().min(100).max(599),
  headers: z.record(z.string(), z.string()).refine((headers) => measureHeaders(headers) <= MAX_RESPONSE_HEADER_BYTES),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array).refine((body) => body.length <= MAX_RESPONSE_BODY_BYTES).optional()
})

const entrySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('claim'), seq: count, key: hashText, digest: hashText, windowMs: count }),
  z.strictObject({ kind: z.literal('void'), seq: count, key: hashText, windowMs: count }),
  z.strictObject({ kind: z.literal('outcome'), seq: count, key: hashText, outcome: outcomeSchema })
])

const snapshotClaimSchema = z.strictObject({
  key: hashText,
  writer: idText,
  seq: count,
  digest: hashText,
  untilMs: count,
  outcome: outcomeSchema.optional()
})

const snapshotTombstoneSchema = z.strictObject({ writer: idText, seq: count, untilMs: count })

const base = { v: z.literal(SCHEMA), writer: idText, atMs: count }

const recordSchema = z.discriminatedUnion('type', [
  z.strictObject({ ...base, type: z.literal('claims'), entries: z.array(entrySchema).max(MAX_ENTRY_COUNT) }),
  z.strictObject({
    ...base,
    type: z.literal('checkpoint'),
    id: idText,
    part: count,
    parts: count,
    /** All records below this offset are folded into the checkpoint. */
    covers: count,
    /** Stream time at that offset, in ms since 1970. */
    streamMs: count,
    claims: z.array(snapshotClaimSchema).max(MAX_ENTRY_COUNT),
    voids: z.array(snapshotTombstoneSchema).max(MAX_ENTRY_COUNT)
  }),
  z.strictObject({ ...base, type: z.literal('checkpoint-wanted') })
])

/** A record on a claim stream. */
export type ClaimRecord = z.infer<typeof recordSchema>
/**
 * One entry of a `claims` record: a claim, a tombstone (`void`) or a stored response (`outcome`). Its nonce is the
 * record's writer with `seq`; a tombstone and a response have the nonce of their claim.
 */
export type ClaimEntry = z.infer<typeof entrySchema>
/** One part of a checkpoint. */
export type CheckpointRecord = Extract<ClaimRecord, { type: 'checkpoint' }>
/** A claim in a checkpoint. */
export type SnapshotClaim = z.infer<typeof snapshotClaimSchema>
/** A tombstone in a checkpoint. */
export type SnapshotTombstone = z.infer<typeof snapshotTombstoneSchema>

const encoder = new Encoder({ useRecords: false, tagUint8Array: false })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

function measureHeaders (headers: Record<string, string>): number {
  return Object.entries(headers).reduce((sum, [name, value]) => sum + Buffer.byteLength(name) + Buffer.byteLength(value), 0)
}

/** Encodes a record. */
export function encodeClaimRecord (record: ClaimRecord): Uint8Array {
  return encoder.encode(record)
}

/** Decodes a record; returns undefined when it is malformed, oversized or of an unknown type or version. */
export function decodeClaimRecord (data: Uint8Array): ClaimRecord | undefined {
  if (data.length > MAX_RECORD_BYTES) return undefined
  try {
    return recordSchema.safeParse(decoder.decode(data)).data
  } catch {
    return undefined
  }
}

/** Returns the response as stored in a record: a body or headers over the size limit are left out. */
export function buildStoredResponse (response: StoredResponse): StoredResponse {
  const headers = measureHeaders(response.headers) <= MAX_RESPONSE_HEADER_BYTES ? response.headers : {}
  const { status, body } = response
  if (!body || body.length > MAX_RESPONSE_BODY_BYTES) return { status, headers }
  return { status, headers, body: Uint8Array.from(body) }
}

/** Estimates the encoded size of an entry, in bytes. */
export function measureEntry (entry: ClaimEntry): number {
  const FIXED_BYTES = 160
  if (entry.kind !== 'outcome') return FIXED_BYTES
  return FIXED_BYTES + measureHeaders(entry.outcome.headers) * 2 + (entry.outcome.body?.length ?? 0)
}
