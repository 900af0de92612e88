/**
 * Asks an entry over HTTP, for the commands that read from a running system.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'

const TIMEOUT_MS = 5_000
const SUCCESS = 200

/** Reads JSON from a URL. Errors: `peer-unreachable` when nothing answers, `malformed-request` when it is refused. */
export async function fetchJson (url: string): Promise<Result<unknown, AppError>> {
  try {
    const answer = await request(url, { headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })
    const text = await answer.body.text()
    if (answer.statusCode === SUCCESS) return ok(JSON.parse(text))
    return err(createError('malformed-request', `${url} answered ${answer.statusCode}: ${text.slice(0, 500)}`))
  } catch (cause) {
    return err(createError('peer-unreachable', `${url} does not answer (${describeCause(cause)}); check the address and that the entry runs.`, cause))
  }
}
