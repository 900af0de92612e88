/**
 * The records of the contract stream: their fields, their bytes and the limits on both.
 */
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

const LARGEST_NAME_LENGTH = 128

const name = z.string().min(1).max(LARGEST_NAME_LENGTH)
const bytes = z.instanceof(Uint8Array)
const offset = z.number().int().nonnegative()

const publishSchema = z.object({
  type: z.literal('contract'),
  v: z.literal(1),
  /** Names this change; a record that stands twice is one change. */
  nonce: name,
  /** The nonce of the accepted version that this one replaces; empty for the first. */
  basedOnNonce: z.string().max(LARGEST_NAME_LENGTH),
  operator: name,
  /** Wall time at the publisher, in ms since 1970. */
  publishedAtMs: z.number().nonnegative(),
  /** The text, compressed by raw deflate. */
  text: bytes
})

const carriedSchema = z.object({
  nonce: name,
  operator: name,
  version: z.number().int().positive(),
  offset,
  text: bytes
})

const checkpointSchema = z.object({
  type: z.literal('checkpoint'),
  v: z.literal(1),
  /** Names the checkpoint that this part belongs to. */
  id: name,
  /** The entry that wrote it. */
  writer: name,
  /** The state is that after every record below this offset. */
  coversTo: offset,
  part: z.number().int().nonnegative(),
  parts: z.number().int().positive(),
  /** Hash over the whole state, in hexadecimal digits. */
  digest: name,
  /** For each customer the versions that may still come into force, oldest first. */
  customers: z.array(z.object({ versions: z.array(carriedSchema).min(1) }))
})

const voteSchema = z.object({
  type: z.literal('checkpoint-vote'),
  v: z.literal(1),
  id: name,
  writer: name,
  isRight: z.boolean()
})

const recordSchema = z.discriminatedUnion('type', [publishSchema, checkpointSchema, voteSchema])

/** A change that an operator published. */
export type PublishRecord = Omit<z.infer<typeof publishSchema>, 'nonce' | 'basedOnNonce' | 'text'> & { nonce: Nonce, basedOnNonce: Nonce | '', text: string }
/** A version as a checkpoint carries it. */
export interface CarriedVersion { nonce: Nonce, operator: string, version: ContractVersion, offset: Offset, text: string }
/** A part of a checkpoint. */
export type CheckpointRecord = Omit<z.infer<typeof checkpointSchema>, 'coversTo' | 'customers'> & { coversTo: Offset, customers: { versions: CarriedVersion[] }[] }
/** What a reader that holds the prefix found about a checkpoint. */
export type VoteRecord = z.infer<typeof voteSchema>
/** Any record of the contract stream. */
export type StreamRecord = PublishRecord | CheckpointRecord | VoteRecord

function encodeText (text: string): Uint8Array {
  return deflateRawSync(text)
}

/** Decompresses a text. Throws when it is damaged or larger than the limit. */
function decodeText (data: Uint8Array): string {
  return inflateRawSync(data, { maxOutputLength: LARGEST_TEXT_BYTES }).toString('utf8')
}

/** Encodes a record of the contract stream. */
export function encodeStreamRecord (record: StreamRecord): Uint8Array {
  switch (record.type) {
    case 'contract': return encode({ ...record, text: encodeText(record.text) })
    case 'checkpoint': return encode({
      ...record,
      customers: record.customers.map(({ versions }) => ({
        versions: versions.map((version) => ({ ...version, text: encodeText(version.text) }))
      }))
    })
    case 'checkpoint-vote': return encode(record)
  }
}

function toStreamRecord (parsed: z.infer<typeof recordSchema>): StreamRecord {
  switch (parsed.type) {
    case 'contract': return { ...parsed, text: decodeText(parsed.text) } as PublishRecord
    case 'checkpoint': return {
      ...parsed,
      customers: parsed.customers.map(({ versions }) => ({
        versions: versions.map((version) => ({ ...version, text: decodeText(version.text) }))
      }))
    } as CheckpointRecord
    case 'checkpoint-vote': return parsed
  }
}

/** Decodes a record; the error says why every reader skips it. */
export function decodeStreamRecord (data: Uint8Array): Result<StreamRecord, string> {
  if (data.length > LARGEST_RECORD_BYTES) return err(`larger than ${LARGEST_RECORD_BYTES} bytes`)
  try {
    const parsed = recordSchema.safeParse(decode(data))
    if (!parsed.success) return err('not a record of this stream')
    return ok(toStreamRecord(parsed.data))
  } catch {
    return err('not readable')
  }
}
