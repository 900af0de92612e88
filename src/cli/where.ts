/**
 * The command `where`: asks a running gateway where a request would go now, and why, without sending it.
 */
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { parseArguments } from './arguments.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'
import { fetchJson } from './entry-request.ts'
import { formatWhere } from './where-text.ts'

const HELP = `Usage: medlarcove where --entry HOST:PORT --host NAME --path PATH [options]

Asks a running gateway where a request would go now, and why: its route, its customer and quota, the queue of its service, the
targets in the order in which they would be tried, and those that are left out. Nothing is sent to a target, and nothing is
taken from a quota. The next moment may differ: a real request first asks the load of the first targets.

  --entry HOST:PORT  a gateway's address for metrics
  --host NAME        the request's Host
  --path PATH        the request's path
  --customer NAME    the customer whose request it would be
  --key-file FILE    read the customer's key from a file instead, or from standard input with -
  --json             print the response as JSON
  --help             print this text

${EXIT_CODES_HELP}`

/** Reads a key from a file; `-` is standard input. Errors: `settings-invalid`, which never states the key. */
async function readKey (file: string): Promise<Result<string, AppError>> {
  try {
    const content = file === '-' ? await text(process.stdin) : await readFile(file, 'utf8')
    const key = content.trim()
    return key === '' ? err(createError('settings-invalid', `${file} holds no key.`)) : ok(key)
  } catch (cause) {
    return err(createError('settings-invalid', `The key cannot be read from ${file}: ${describeCause(cause)}`))
  }
}

/** Asks the gateway. Errors: those of `readKey` and `fetchJson`. */
async function fetchWhere (entry: string, query: Record<string, string>, keyFile: string | undefined): Promise<Result<unknown, AppError>> {
  const url = `http://${entry}/where?${new URLSearchParams(query)}`
  if (keyFile === undefined) return fetchJson(url)
  const key = await readKey(keyFile)
  return key.isErr() ? err(key.error) : fetchJson(url, { authorization: `Token ${key.value}` })
}

/** Runs the command and returns its exit code. */
export async function runWhere (args: string[], io: CommandIo): Promise<number> {
  const parsed = parseArguments(args, {
    entry: { type: 'string' },
    host: { type: 'string' },
    path: { type: 'string' },
    customer: { type: 'string' },
    'key-file': { type: 'string' },
    json: { type: 'boolean', default: false },
    help: { type: 'boolean', short: 'h' }
  })
  if (parsed.isErr()) return printFailure(io, parsed.error, args.includes('--json'))
  const { entry, host, path, customer, 'key-file': keyFile, json, help } = parsed.value.values
  if (help) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  if (!entry || !host || !path) return printFailure(io, createError('usage', 'An entry, a host and a path are required; give --entry HOST:PORT, --host NAME and --path PATH.'), json)
  if (customer !== undefined && keyFile !== undefined) return printFailure(io, createError('usage', 'Give --customer or --key-file, not both.'), json)
  const response = await fetchWhere(entry, { host, path, ...(customer === undefined ? {} : { customer }) }, keyFile)
  if (response.isErr()) return printFailure(io, response.error, json)
  io.stdout(json ? `${JSON.stringify(response.value)}\n` : `${formatWhere(response.value)}\n`)
  return EXIT_CODES.ok
}
