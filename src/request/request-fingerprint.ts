/**
 * Identifies requests that ask for the same work, whichever caller attempt or entry they belong to.
 */
import { createHash } from 'node:crypto'
import { toBrand } from '../types.ts'
import type { Brand } from '../types.ts'

/** A hash of what a target gets to work on: two requests with the same fingerprint do the same work. */
export type RequestFingerprint = Brand<string, 'RequestFingerprint'>

/** What the fingerprint covers. Headers that differ between attempts of the same work are left out. */
export interface FingerprintInput {
  method: string
  host: string
  /** Path with query string. */
  path: string
  /** Credentials of the caller; empty without any. */
  authorization: string
  body: Uint8Array | undefined
}

/** Bytes of the hash that are kept: enough that nobody can craft a request with the fingerprint of another. */
const FINGERPRINT_BYTES = 16
/** A character that none of the texts can contain. */
const SEPARATOR = '\n'

/** Returns a function that computes the fingerprint of a request with its first call. */
export function createFingerprintReader (input: FingerprintInput): () => RequestFingerprint {
  let fingerprint: RequestFingerprint | undefined
  return () => {
    fingerprint ??= computeFingerprint(input)
    return fingerprint
  }
}

/** Computes the fingerprint of a request. */
export function computeFingerprint ({ method, host, path, authorization, body }: FingerprintInput): RequestFingerprint {
  const hash = createHash('sha256').update([method, host.toLowerCase(), path, authorization, ''].join(SEPARATOR))
  if (body) hash.update(body)
  return toBrand<RequestFingerprint>(hash.digest().subarray(0, FINGERPRINT_BYTES).toString('base64url'))
}
