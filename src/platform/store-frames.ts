/**
 * The binary formats of the platform's store. Each record has its length in front; a keyed record holds the length of its
 * key, the key and the value.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'

const LENGTH_BYTES = 4
const OFFSET_BYTES = 8
const KEY_LENGTH_BYTES = 1

/** One record of a keyed topic. */
export interface KeyedRecord {
  offset: number
  key: string
  /** Undefined when the record deletes the key. */
  value: Uint8Array | undefined
}

/** One decoded response to a read of a topic. */
export interface StorePage {
  records: { offset: number, data: Uint8Array }[]
  /** The offset after the newest record of the topic. */
  end: number
  /** The oldest offset that is still kept. */
  first: number
}

/** Decodes the response to a read that began at the offset `from`. Errors: `record-malformed`. */
export function decodePage (body: Uint8Array, from: number): Result<StorePage, AppError> {
  const bytes = Buffer.from(body.buffer, body.byteOffset, body.byteLength)
  if (bytes.length < 2 * OFFSET_BYTES) return err(createError('record-malformed', `The page has ${bytes.length} bytes, too few for its header.`))
  const page: StorePage = { records: [], end: Number(bytes.readBigUInt64BE(0)), first: Number(bytes.readBigUInt64BE(OFFSET_BYTES)) }
  let at = 2 * OFFSET_BYTES
  while (at + LENGTH_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(at)
    const start = at + LENGTH_BYTES
    if (start + length > bytes.length) return err(createError('record-malformed', 'The page ends in the middle of a record.'))
    page.records.push({ offset: from + page.records.length, data: bytes.subarray(start, start + length) })
    at = start + length
  }
  return ok(page)
}

/** Decodes a record of a keyed topic; returns undefined when its key is incomplete. */
export function decodeKeyedRecord (offset: number, data: Uint8Array): KeyedRecord | undefined {
  const keyLength = data[0]
  if (keyLength === undefined || data.length < KEY_LENGTH_BYTES + keyLength) return undefined
  const valueAt = KEY_LENGTH_BYTES + keyLength
  return {
    offset,
    key: Buffer.from(data.subarray(KEY_LENGTH_BYTES, valueAt)).toString('utf8'),
    value: data.length > valueAt ? data.subarray(valueAt) : undefined
  }
}

/** Encodes one record of a keyed topic with its length in front. */
export function encodeKeyedRecord (key: string, value: Uint8Array): Buffer {
  const keyBytes = Buffer.from(key, 'utf8')
  const head = Buffer.alloc(LENGTH_BYTES + KEY_LENGTH_BYTES)
  head.writeUInt32BE(KEY_LENGTH_BYTES + keyBytes.length + value.length, 0)
  head.writeUInt8(keyBytes.length, LENGTH_BYTES)
  return Buffer.concat([head, keyBytes, value])
}
