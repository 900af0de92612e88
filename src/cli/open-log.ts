/**
 * Opens the platform's log for the operators' commands.
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

/** Time limits for commands, in ms; longer than those of an entry, because an operator can wait longer than a caller. */
const COMMAND_TIMEOUTS = { readTimeoutMs: 5_000, appendTimeoutMs: 5_000 }

/** The options that state the log's address. */
export interface LogArguments { log?: string, settings?: string }

const settingsSchema = z.looseObject({ log: z.looseObject({ url: z.url() }) })

function readLogUrl (file: string): Result<string, AppError> {
  try {
    const checked = settingsSchema.safeParse(parse(readFileSync(file, 'utf8')))
    if (checked.success) return ok(checked.data.log.url)
    return err(createError('settings-invalid', `${file} states no URL of the log; add "log": { "url": "http://..." }, or pass --log.`))
  } catch (cause) {
    return err(createError('settings-invalid', `${file} cannot be read: ${describeCause(cause)}.`, cause))
  }
}

/** Opens the log at the address in the options. Errors: `usage`, `settings-invalid`. */
export function openLog (values: LogArguments): Result<LogHttpClient, AppError> {
  const url = values.log === undefined && values.settings !== undefined ? readLogUrl(values.settings) : ok(values.log)
  if (url.isErr()) return err(url.error)
  if (url.value === undefined) return err(createError('usage', 'No address of the log is given; pass --log URL or --settings FILE.'))
  if (!URL.canParse(url.value)) return err(createError('usage', `"${url.value}" is not a URL; write it as http://address:port.`))
  return ok(createHttpLogClient({ url: url.value, clock: createHostClock(), ...COMMAND_TIMEOUTS }))
}

/** Opens the log, runs `action` with it and closes it afterwards; returns the exit code. */
export async function runWithLog (values: LogArguments & { json: boolean }, io: CommandIo, action: (log: LogHttpClient) => Promise<number>): Promise<number> {
  const log = openLog(values)
  if (log.isErr()) return printFailure(io, log.error, values.json)
  try {
    return await action(log.value)
  } finally {
    await log.value.close()
  }
}
