/**
 * The command `addresses`: asks an entry which addresses a caller should use.
 */
import { createError } from '../errors.ts'
import { parseArguments } from './arguments.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'
import { fetchJson } from './entry-request.ts'

const HELP = `Usage: medlarcove addresses --entry HOST:PORT --customer CUSTOMER [--caller CALLER]

Asks an entry which addresses a caller should use, nearest first.

  --entry HOST:PORT    an entry's address for callers
  --customer CUSTOMER  the customer
  --caller CALLER      the caller's id, by which callers are spread over entries
  --json               print the answer as JSON
  --help               print this text

${EXIT_CODES_HELP}`

/** An answer with addresses, as far as it is printed. */
interface AddressesAnswer { addresses?: { id?: string, zone?: string, address?: string, port?: number }[], lifetimeMs?: number, version?: number }

function printAddresses (answer: AddressesAnswer, io: CommandIo): void {
  for (const { address, port, zone, id } of answer.addresses ?? []) io.stdout(`${address}:${port}  ${zone ?? ''}  ${id ?? ''}\n`)
  io.stdout(`Keep this answer for ${answer.lifetimeMs ?? '?'} ms. Contract version ${answer.version ?? '?'}.\n`)
}

/** Runs the command and returns its exit code. */
export async function runAddresses (args: string[], io: CommandIo): Promise<number> {
  const parsed = parseArguments(args, {
    entry: { type: 'string' },
    customer: { type: 'string' },
    caller: { type: 'string', default: 'operator' },
    json: { type: 'boolean', default: false },
    help: { type: 'boolean', short: 'h' }
  })
  if (parsed.isErr()) return printFailure(io, parsed.error, args.includes('--json'))
  const { entry, customer, caller, json, help } = parsed.value.values
  if (help) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  if (!entry || !customer) return printFailure(io, createError('usage', 'Give --entry HOST:PORT and --customer CUSTOMER.'), json)
  const query = new URLSearchParams({ customer, caller })
  const answer = await fetchJson(`http://${entry}/.medlarcove/addresses?${query}`)
  if (answer.isErr()) return printFailure(io, answer.error, json)
  if (json) io.stdout(`${JSON.stringify(answer.value)}\n`)
  else printAddresses(answer.value as AddressesAnswer, io)
  return EXIT_CODES.ok
}
