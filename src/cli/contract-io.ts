/**
 * What the operators' commands share: how they reach the log.
 */
import { readFileSync } from 'node:fs'
import { parse } from 'jsonc-parser'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createHostClock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { createHttpLogClient } from '../process/log-http-client.ts'
import type { LogHttpClient } from '../process/log-http-client.ts'
import { printFailure } from './command.ts'
import type { CommandIo } from './command.ts'

/** An operator waits longer than an entry may, in ms. */
const OPERATOR_LIMITS = { readTimeoutMs: 5_000, appendTimeoutMs: 5_000 }

/** Arguments that name the log. */
export interface LogArguments { log?: string, settings?: string }

const settingsSchema = z.looseObject({ log: z.looseObject({ url: z.url() }) })

function readLogUrl (file: string): Result<string, AppError> {
  try {
    const checked = settingsSchema.safeParse(parse(readFileSync(file, 'utf8')))
    if (checked.success) return ok(checked.data.log.url)
    return err(createError('settings-invalid', `${file} names no log; give it "log": { "url": "http://..." }, or pass --log.`))
  } catch (cause) {
    return err(createError('settings-invalid', `${file} cannot be read: ${describeCause(cause)}.`, cause))
  }
}

/** Opens the log that the arguments name. Errors: `usage`, `settings-invalid`. */
export function openLog (values: LogArguments): Result<LogHttpClient, AppError> {
  const url = values.log === undefined && values.settings !== undefined ? readLogUrl(values.settings) : ok(values.log)
  if (url.isErr()) return err(url.error)
  if (url.value === undefined) return err(createError('usage', 'No log is named; pass --log URL or --settings FILE.'))
  if (!URL.canParse(url.value)) return err(createError('usage', `"${url.value}" is not a URL; write it as http://address:port.`))
  return ok(createHttpLogClient({ url: url.value, clock: createHostClock(), ...OPERATOR_LIMITS }))
}

/** Runs `action` with the log that the arguments name and closes it afterwards; returns the exit code. */
export async function runWithLog (values: LogArguments & { json: boolean }, io: CommandIo, action: (log: LogHttpClient) => Promise<number>): Promise<number> {
  const log = openLog(values)
  if (log.isErr()) return printFailure(io, log.error, values.json)
  try {
    return await action(log.value)
  } finally {
    await log.value.close()
  }
}
