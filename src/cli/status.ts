/**
 * The command `status`: prints what an entry knows.
 */
import { createError } from '../errors.ts'
import { parseArguments } from './arguments.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'
import { fetchJson } from './entry-request.ts'
import { formatStatus } from './status-text.ts'

const HELP = `Usage: medlarcove status --entry HOST:PORT

Prints what an entry knows: contract versions, peers, targets and their state, connections, budgets spent.

  --entry HOST:PORT  an entry's address for operators
  --json             print the answer as JSON
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
  if (!entry) return printFailure(io, createError('usage', 'Give --entry HOST:PORT, the address for operators.'), json)
  const answer = await fetchJson(`http://${entry}/status`)
  if (answer.isErr()) return printFailure(io, answer.error, json)
  io.stdout(json ? `${JSON.stringify(answer.value)}\n` : `${formatStatus(answer.value)}\n`)
  return EXIT_CODES.ok
}
