/**
 * The command `status`: prints the state of an entry.
 */
import { createError } from '../errors.ts'
import { parseArguments } from './arguments.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'
import { fetchJson } from './entry-request.ts'
import { formatStatus } from './status-text.ts'

const HELP = `Usage: medlarcove status --entry HOST:PORT

Prints the state of an entry: contract versions, peers, targets and their state, connections, budgets spent.

  --entry HOST:PORT  an entry's address for operators
  --json             print the response as JSON
  --help             print this text

${EXIT_CODES_HELP}`

/** Runs the command and returns its exit code. */
export async function runStatus (args: string[], io: CommandIo): Promise<number> {
  const parsed = parseArguments(args, {
    entry: { type: 'string' },
    json: { type: 'boolean', default: false },
    help: { type: 'boolean', short: 'h' }
  })
  if (parsed.isErr()) return printFailure(io, parsed.error, args.includes('--json'))
  const { entry, json, help } = parsed.value.values
  if (help) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  if (!entry) return printFailure(io, createError('usage', 'No entry is given; add --entry HOST:PORT, its address for operators.'), json)
  const response = await fetchJson(`http://${entry}/status`)
  if (response.isErr()) return printFailure(io, response.error, json)
  io.stdout(json ? `${JSON.stringify(response.value)}\n` : `${formatStatus(response.value)}\n`)
  return EXIT_CODES.ok
}
