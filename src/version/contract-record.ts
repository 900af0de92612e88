/**
 * The records of the contract stream: their fields, their bytes and the limits on both.
 *
 * Every reader must skip the same records. The limits and schemas here are therefore part of the fold's rule: a change
 * of them needs a new schema number, published only when every entry knows it.
 */
import { createHash } from 'node:crypto'
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { decode, encode } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { ContractVersion, Nonce, Offset } from '../types.ts'

/** The largest record that readers look at, in bytes. */
export const LARGEST_RECORD_BYTES = 1_048_576
/** The largest contract text, in bytes of UTF-8. */
export const LARGEST_TEXT_BYTES = 8_388_608

const MAX_NAME_LENGTH = 128
const MAX_PARTS = 1_024

const name = z.string().min(1).max(MAX_NAME_LENGTH)
const bytes: z.ZodType<Uint8Array> = z.instanceof(Uint8Array)
const wallMs = z.number().nonnegative()
const offset = z.number().int().nonnegative().transform((value) => value as Offset)
const nonce = name.transform((value) => value as Nonce)

// Strict objects: an unknown field makes the record foreign, whatever it holds.
const publishSchema = z.strictObject({
  type: z.literal('contract'),
  v: z.literal(1),
  /** Names this change; a record that stands twice is one change. */
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
  /** Names the checkpoint that this part belongs to. */
  id: name,
  /** The process that wrote it. */
  writer: name,
  /** The state is that after every record below this offset. */
  coversTo: offset,
  part: z.number().int().nonnegative(),
  parts: z.number().int().positive().max(MAX_PARTS),
  /** Hash over the whole state, in hexadecimal digits. */
  digest: name,
  /** For each customer the accepted versions that may still come into force, oldest first. */
  schedules: z.array(z.array(carriedSchema).min(1))
})

const voteSchema = z.strictObject({
  type: z.literal('checkpoint-vote'),
  v: z.literal(1),
  id: name,
  writer: name,
  /** Whether a reader that holds the prefix found the checkpoint right. */
  isRight: z.boolean()
})

const recordSchema = z.discriminatedUnion('type', [publishSchema, checkpointSchema, voteSchema])

/** A change that an operator published. */
export type PublishRecord = z.infer<typeof publishSchema>
/** A version as a checkpoint carries it. */
export type CarriedVersion = z.infer<typeof carriedSchema>
/** A part of a checkpoint. */
export type CheckpointRecord = z.infer<typeof checkpointSchema>
/** What a reader that holds the prefix found about a checkpoint. */
export type VoteRecord = z.infer<typeof voteSchema>
/** Any record of the contract stream. */
export type StreamRecord = z.infer<typeof recordSchema>

/** Compresses a text. */
export function encodeText (text: string): Uint8Array {
  return deflateRawSync(text)
}

/** Decompresses a text; the error says why it cannot be read. */
export function decodeText (packed: Uint8Array): Result<string, string> {
  try {
    return ok(inflateRawSync(packed, { maxOutputLength: LARGEST_TEXT_BYTES }).toString('utf8'))
  } catch {
    return err(`the text is damaged or larger than ${LARGEST_TEXT_BYTES} bytes`)
  }
}

/** Hashes bytes; in hexadecimal digits. */
export function hashBytes (data: Uint8Array): string {
  return createHash('sha256').update(data).digest('hex')
}

/** Encodes a record of the contract stream. */
export function encodeStreamRecord (record: StreamRecord): Uint8Array {
  return encode(record)
}

/** Decodes a record; the error says why every reader skips it. */
export function decodeStreamRecord (data: Uint8Array): Result<StreamRecord, string> {
  if (data.length > LARGEST_RECORD_BYTES) return err(`larger than ${LARGEST_RECORD_BYTES} bytes`)
  try {
    // Copied, so that what is kept of a record does not keep the whole page that it came with.
    const parsed = recordSchema.safeParse(decode(Uint8Array.from(data)))
    return parsed.success ? ok(parsed.data) : err('not a record of this stream')
  } catch {
    return err('not readable')
  }
}
