/**
 * Requests JSON from an entry over HTTP, for the commands that read the state of a running system.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'

const TIMEOUT_MS = 5_000
const HTTP_OK = 200

/** Reads JSON from a URL, with headers of the request if any are given. Errors: `peer-unreachable` when there is no valid response, `malformed-request` when its status is not 200. */
export async function fetchJson (url: string, headers: Record<string, string> = {}): Promise<Result<unknown, AppError>> {
  try {
    const response = await request(url, { headers, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })
    const text = await response.body.text()
    if (response.statusCode === HTTP_OK) return ok(JSON.parse(text))
    return err(createError('malformed-request', `${url} responded with status ${response.statusCode}: ${text.slice(0, 500)}`))
  } catch (cause) {
    return err(createError('peer-unreachable', `${url} does not respond (${describeCause(cause)}); check the address and that the entry runs.`, cause))
  }
}
