/**
 * Idempotency keys: reads them from requests and hashes them.
 */
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { toBrand } from '../../types.ts'
import type { CustomerId, KeyHash, ServiceId } from '../../types.ts'
import type { KeySource, Operation } from '../../version/contract.ts'

/** Name of the header that carries the idempotency key, in lower case. */
export const KEY_HEADER = 'idempotency-key'

/** Number of claim streams. Not a setting, because entries with different values could run a key twice. */
export const CLAIM_PARTITIONS = 6

const MAX_KEY_CHARS = 256
const HASH_HEX_CHARS = 32
const HEX_RADIX = 16
const PARTITION_HEX_CHARS = 8

/** The parts of a request that may carry its key. */
export interface KeyedRequest {
  /** Path relative to the service, with or without the query. */
  path: string
  /** Headers by lower-case name. */
  headers: Record<string, string | string[] | undefined>
  body: Uint8Array
}

type KeyedOperation = Extract<Operation, { repeatable: false }>

function failMalformed (message: string): Result<string, AppError> {
  return err(createError('malformed-request', message))
}

function failMissing (message: string): Result<string, AppError> {
  return err(createError('key-missing', message))
}

function readHeaderKey (request: KeyedRequest): Result<string, AppError> {
  const value = request.headers[KEY_HEADER]
  if (value === undefined || value === '') return failMissing('The header Idempotency-Key is missing or empty.')
  if (Array.isArray(value)) return failMalformed('The header Idempotency-Key occurs more than once; send it once.')
  return ok(value)
}

function readPathKey (pattern: string, name: string, path: string): Result<string, AppError> {
  const index = pattern.split('/').indexOf(`:${name}`)
  const part = index < 0 ? undefined : path.split('?')[0]?.split('/')[index]
  if (!part) return failMissing(`The path segment ":${name}" is missing or empty.`)
  try {
    return ok(decodeURIComponent(part))
  } catch {
    return failMalformed(`The path segment ":${name}" is not valid percent-encoding.`)
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
  if (typeof parsed !== 'object' || parsed === null || Array.isArray(parsed)) return failMalformed('The body is not a JSON object; the idempotency key is read from one of its fields.')
  if (!Object.hasOwn(parsed, name)) return failMissing(`The body has no field "${name}", which carries the idempotency key.`)
  const value = (parsed as Record<string, unknown>)[name]
  if (typeof value === 'string') return value === '' ? failMissing(`The field "${name}", which carries the idempotency key, is empty.`) : ok(value)
  if (Number.isSafeInteger(value)) return ok(String(value))
  return failMalformed(`The field "${name}" is neither a string nor a safe integer.`)
}

function readKeyFrom (source: KeySource, pattern: string, request: KeyedRequest): Result<string, AppError> {
  switch (source.from) {
    case 'header': return readHeaderKey(request)
    case 'path': return readPathKey(pattern, source.name, request.path)
    case 'field': return readFieldKey(source.name, request.body)
  }
}

/** Reads the idempotency key from the place that the contract defines. Errors: `key-missing`, `malformed-request`. */
export function readKey (operation: KeyedOperation, request: KeyedRequest): Result<string, AppError> {
  return readKeyFrom(operation.key, operation.path, request).andThen((key) =>
    key.length > MAX_KEY_CHARS ? failMalformed(`The idempotency key is longer than ${MAX_KEY_CHARS} characters; send a shorter one.`) : ok(key))
}

/** Hashes an idempotency key together with its scope: customer, service and operation. */
export function hashKey (customer: CustomerId, service: ServiceId, operation: string, key: string): KeyHash {
  const digest = createHash('sha256').update(JSON.stringify([customer, service, operation, key])).digest('hex')
  return toBrand<KeyHash>(digest.slice(0, HASH_HEX_CHARS))
}

/** Hashes method, path with query, and body; equal hashes mean the same request. */
export function hashRequest (method: string, path: string, body: Uint8Array): string {
  const hash = createHash('sha256').update(JSON.stringify([method, path])).update(body)
  return hash.digest('hex').slice(0, HASH_HEX_CHARS)
}

/** Returns the partition of a key, from 0 to `partitions` - 1. */
export function computePartition (keyHash: KeyHash, partitions: number): number {
  return Number.parseInt(keyHash.slice(0, PARTITION_HEX_CHARS), HEX_RADIX) % partitions
}
