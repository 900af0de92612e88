/**
 * Keys of operations that may not be repeated: where they are found in a request and how they are hashed.
 */
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { toBrand } from '../../types.ts'
import type { CustomerId, KeyHash, ServiceId } from '../../types.ts'
import type { KeySource, Operation } from '../../version/contract.ts'

/** Name of the header that carries the key, in lower case. */
export const KEY_HEADER = 'idempotency-key'

/** Streams of claims. Entries that disagreed about it could run a key twice, so it is no setting. */
export const CLAIM_PARTITIONS = 6

const LONGEST_KEY_CHARS = 256
const HASH_HEX_CHARS = 32
const HEX_RADIX = 16
const PARTITION_HEX_CHARS = 8

/** What of a request decides its key. */
export interface KeyedRequest {
  /** Path below the service, with or without the query. */
  path: string
  /** Headers by their lower-case names. */
  headers: Record<string, string | string[] | undefined>
  body: Uint8Array
}

type KeyedOperation = Extract<Operation, { repeatable: false }>

function buildMalformed (message: string): Result<string, AppError> {
  return err(createError('malformed-request', message))
}

function buildMissing (message: string): Result<string, AppError> {
  return err(createError('key-missing', message))
}

function readHeaderKey (request: KeyedRequest): Result<string, AppError> {
  const value = request.headers[KEY_HEADER]
  if (value === undefined || value === '') return buildMissing('The header Idempotency-Key is missing.')
  if (Array.isArray(value)) return buildMalformed('The header Idempotency-Key stands more than once.')
  return ok(value)
}

function readPathKey (pattern: string, name: string, path: string): Result<string, AppError> {
  const index = pattern.split('/').indexOf(`:${name}`)
  const part = index < 0 ? undefined : path.split('?')[0]?.split('/')[index]
  if (!part) return buildMissing(`The path has no part for ${name}.`)
  try {
    return ok(decodeURIComponent(part))
  } catch {
    return buildMalformed(`The path part for ${name} is not validly escaped.`)
  }
}

function parseBody (body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'))
  } catch {
    return undefined
  }
}

function readFieldKey (name: string, body: Uint8Array): Result<string, AppError> {
  const parsed = parseBody(body)
  if (typeof parsed !== 'object' || parsed === null || Array.isArray(parsed)) return buildMalformed('The body is not a JSON object.')
  if (!Object.hasOwn(parsed, name)) return buildMissing(`The body has no field ${name}.`)
  const value = (parsed as Record<string, unknown>)[name]
  if (typeof value === 'string') return value === '' ? buildMissing(`The field ${name} is empty.`) : ok(value)
  if (Number.isSafeInteger(value)) return ok(String(value))
  return buildMalformed(`The field ${name} is neither text nor a whole number.`)
}

function readKeyFrom (source: KeySource, pattern: string, request: KeyedRequest): Result<string, AppError> {
  switch (source.from) {
    case 'header': return readHeaderKey(request)
    case 'path': return readPathKey(pattern, source.name, request.path)
    case 'field': return readFieldKey(source.name, request.body)
  }
}

/** Reads the key of a request where the contract says it is. Errors: `key-missing`, `malformed-request`. */
export function readKey (operation: KeyedOperation, request: KeyedRequest): Result<string, AppError> {
  return readKeyFrom(operation.key, operation.path, request).andThen((key) =>
    key.length > LONGEST_KEY_CHARS ? buildMalformed(`The key is longer than ${LONGEST_KEY_CHARS} characters.`) : ok(key))
}

/** Hashes what makes a key unique. */
export function hashKey (customer: CustomerId, service: ServiceId, operation: string, key: string): KeyHash {
  const digest = createHash('sha256').update(JSON.stringify([customer, service, operation, key])).digest('hex')
  return toBrand<KeyHash>(digest.slice(0, HASH_HEX_CHARS))
}

/** Hashes what makes two requests the same: method, path with query, and body. */
export function hashRequest (method: string, path: string, body: Uint8Array): string {
  const hash = createHash('sha256').update(JSON.stringify([method, path])).update(body)
  return hash.digest('hex').slice(0, HASH_HEX_CHARS)
}

/** Returns the partition of a key, from 0 to `partitions` - 1. */
export function computePartition (keyHash: KeyHash, partitions: number): number {
  return Number.parseInt(keyHash.slice(0, PARTITION_HEX_CHARS), HEX_RADIX) % partitions
}
