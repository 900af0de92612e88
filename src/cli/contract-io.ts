/**
 * What the operators' commands share: where they print, their exit codes and how they reach the log.
 */
import { readFileSync } from 'node:fs'
import { parse } from 'jsonc-parser'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createHostClock } from '../clock.ts'
import { createError, describeCause, getErrorAnswer } from '../errors.ts'
import type { AppError, ErrorKind } from '../errors.ts'
import { createHttpLogClient } from '../process/log-http-client.ts'
import type { LogHttpClient } from '../process/log-http-client.ts'

/** Where a command writes. */
export interface CommandIo {
  stdout(text: string): void
  stderr(text: string): void
}

/** The stated exit codes. */
export const EXIT_CODES = {
  ok: 0,
  /** The command ran and the answer is no: refused, rejected or not found. */
  refused: 1,
  usage: 2,
  /** A settings or contract file is wrong. */
  invalidFile: 3,
  /** The log cannot be reached; nothing was done. */
  unreachable: 4,
  /** It is not known whether the change was made. */
  unknown: 5
} as const

/** The exit codes as `--help` prints them. */
export const EXIT_CODES_HELP = `Exit codes:
  0  done
  1  rejected or not found
  2  wrong command line
  3  wrong settings or contract file; file, line and column are printed
  4  the log cannot be reached; nothing was done
  5  it is not known whether the change was made; publish the same file again to learn it
`

/** Returns the exit code that belongs to an error kind. */
export function getExitCode (kind: ErrorKind): number {
  switch (kind) {
    case 'usage': return EXIT_CODES.usage
    case 'settings-invalid':
    case 'contract-invalid': return EXIT_CODES.invalidFile
    case 'log-unavailable': return EXIT_CODES.unreachable
    case 'log-unknown': return EXIT_CODES.unknown
    default: return EXIT_CODES.refused
  }
}

/** Prints one line. */
export function printLine (io: CommandIo, text: string): void {
  io.stdout(`${text}\n`)
}

/** Prints an error with what to do, and returns its exit code. */
export function printFailure (io: CommandIo, error: AppError, isJson: boolean): number {
  const { advice } = getErrorAnswer(error.kind)
  if (isJson) io.stderr(`${JSON.stringify({ error: error.kind, message: error.message, advice })}\n`)
  else io.stderr(`medlarcove: ${error.kind}: ${error.message}\n${advice}\n`)
  return getExitCode(error.kind)
}

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
  return ok(createHttpLogClient({ url: url.value, clock: createHostClock() }))
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
