/**
 * The records of the contract stream: schemas, size limits, encoding and decoding.
 *
 * All readers must skip the same records. The limits and schemas here are therefore part of the fold: a change of them
 * needs a new schema number, and records with it may be published only once every entry supports it.
 */
import { createHash } from 'node:crypto'
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { decode, encode } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { ContractVersion, Nonce, Offset } from '../types.ts'

/** Maximum size of a record, in bytes; larger records are skipped. */
export const MAX_RECORD_BYTES = 1_048_576
/** Maximum size of a contract text, in bytes of UTF-8. */
export const MAX_TEXT_BYTES = 8_388_608

const MAX_NAME_LENGTH = 128
const MAX_PARTS = 1_024

const name = z.string().min(1).max(MAX_NAME_LENGTH)
const bytes: z.ZodType<Uint8Array> = z.instanceof(Uint8Array)
const wallMs = z.number().nonnegative()
const offset = z.number().int().nonnegative().transform((value) => value as Offset)
const nonce = name.transform((value) => value as Nonce)

// Strict objects: a record with an unknown field is skipped, whatever the field holds.
const publishSchema = z.strictObject({
  type: z.literal('contract'),
  v: z.literal(1),
  /** Identifies this change; a record that was written twice is one change. */
  nonce,
  /** The nonce of the accepted version that this one replaces; empty for the first. */
  basedOnNonce: z.string().max(MAX_NAME_LENGTH).transform((value) => value as Nonce | ''),
  operator: name,
  /** Wall time at the publisher, in ms since 1970. */
  publishedAtMs: wallMs,
  /** The text, compressed by raw deflate. */
  packed: bytes
})

const carriedSchema = z.strictObject({
  nonce,
  operator: name,
  publishedAtMs: wallMs,
  version: z.number().int().positive().transform((value) => value as ContractVersion),
  offset,
  packed: bytes
})

const checkpointSchema = z.strictObject({
  type: z.literal('checkpoint'),
  v: z.literal(1),
  /** Id of the checkpoint that this part belongs to. */
  id: name,
  /** The process that wrote the checkpoint. */
  writer: name,
  /** The checkpoint holds the state after all records below this offset. */
  coversTo: offset,
  part: z.number().int().nonnegative(),
  parts: z.number().int().positive().max(MAX_PARTS),
  /** Hash of the complete state, in hexadecimal digits. */
  digest: name,
  /** For each customer the accepted versions that can be or come into effect, oldest first. */
  schedules: z.array(z.array(carriedSchema).min(1))
})

const voteSchema = z.strictObject({
  type: z.literal('checkpoint-vote'),
  v: z.literal(1),
  id: name,
  writer: name,
  /** Whether a reader that has folded the same records found the checkpoint correct. */
  isRight: z.boolean()
})

const recordSchema = z.discriminatedUnion('type', [publishSchema, checkpointSchema, voteSchema])

/** A change that an operator published. */
export type PublishRecord = z.infer<typeof publishSchema>
/** A contract version in a checkpoint. */
export type CarriedVersion = z.infer<typeof carriedSchema>
/** A part of a checkpoint. */
export type CheckpointRecord = z.infer<typeof checkpointSchema>
/** A reader's check result for a checkpoint whose records it has folded itself. */
export type VoteRecord = z.infer<typeof voteSchema>
/** Any record of the contract stream. */
export type StreamRecord = z.infer<typeof recordSchema>

/** Compresses a text. */
export function encodeText (text: string): Uint8Array {
  return deflateRawSync(text)
}

/** Decompresses a text. The error describes why it cannot be read. */
export function decodeText (packed: Uint8Array): Result<string, string> {
  try {
    return ok(inflateRawSync(packed, { maxOutputLength: MAX_TEXT_BYTES }).toString('utf8'))
  } catch {
    return err(`the text is damaged or larger than ${MAX_TEXT_BYTES} bytes`)
  }
}

/** Returns the SHA-256 hash of bytes, in hexadecimal digits. */
export function hashBytes (data: Uint8Array): string {
  return createHash('sha256').update(data).digest('hex')
}

/** Encodes a record of the contract stream. */
export function encodeStreamRecord (record: StreamRecord): Uint8Array {
  return encode(record)
}

/** Decodes a record of the contract stream. The error describes why readers skip it. */
export function decodeStreamRecord (data: Uint8Array): Result<StreamRecord, string> {
  if (data.length > MAX_RECORD_BYTES) return err(`larger than ${MAX_RECORD_BYTES} bytes`)
  try {
    // Copied, because what is kept of the record would otherwise keep the whole log page in memory.
    const parsed = recordSchema.safeParse(decode(Uint8Array.from(data)))
    return parsed.success ? ok(parsed.data) : err('not a record of this stream')
  } catch {
    return err('not readable')
  }
}
