/**
 * The command `addresses`: asks an entry which addresses a caller should use.
 */
import { createError } from '../errors.ts'
import { parseArguments } from './arguments.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'
import { fetchJson } from './entry-request.ts'

const HELP = `Usage: medlarcove addresses --entry HOST:PORT --customer CUSTOMER [--caller CALLER]

Asks an entry which addresses a caller should use, closest first.

  --entry HOST:PORT    an entry's address for callers
  --customer CUSTOMER  the customer
  --caller CALLER      the caller's id, used to spread callers over the entries
  --json               print the response as JSON
  --help               print this text

${EXIT_CODES_HELP}`

/** The fields of an address response that are printed. */
interface AddressesResponse { addresses?: { id?: string, zone?: string, address?: string, port?: number }[], lifetimeMs?: number, version?: number }

function printAddresses (response: AddressesResponse, io: CommandIo): void {
  for (const { address, port, zone, id } of response.addresses ?? []) io.stdout(`${address}:${port}  ${zone ?? ''}  ${id ?? ''}\n`)
  io.stdout(`Use these addresses for at most ${response.lifetimeMs ?? '?'} ms. Contract version ${response.version ?? '?'}.\n`)
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
  if (!entry || !customer) return printFailure(io, createError('usage', 'An entry and a customer are required; give --entry HOST:PORT and --customer CUSTOMER.'), json)
  const query = new URLSearchParams({ customer, caller })
  const response = await fetchJson(`http://${entry}/.medlarcove/addresses?${query}`)
  if (response.isErr()) return printFailure(io, response.error, json)
  if (json) io.stdout(`${JSON.stringify(response.value)}\n`)
  else printAddresses(response.value as AddressesResponse, io)
  return EXIT_CODES.ok
}
