/**
 * The command line: runs the command that the first argument names.
 */
import packageJson from '../../package.json' with { type: 'json' }
import { createError } from '../errors.ts'
import { runAddresses } from './addresses.ts'
import { runAudit } from './audit.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'
import { runContract } from './contract.ts'
import { runEntry } from './entry.ts'
import { runExplain } from './explain.ts'
import { runGateway } from './gateway.ts'
import { runStatus } from './status.ts'
import { runWhere } from './where.ts'

const HELP = `Usage: medlarcove COMMAND [options]

Commands:
  entry      run the daemon of one entry host
  gateway    run an entry on the users' platform
  explain    describe what happened to one request, from the logs of gateways
  contract   check, publish, show or list versions of a contract
  audit      print the audit trail of changes
  where      explain where a request would go now at a gateway, without sending it
  status     print the state of an entry: contracts, peers, targets, budgets
  addresses  ask an entry which addresses a caller should use

Each command prints its own help with --help, and JSON with --json.
  --version  print the version

${EXIT_CODES_HELP}`

/** Runs the command line and returns its exit code. */
export async function runCommandLine (args: string[], io: CommandIo): Promise<number> {
  const [command, ...rest] = args
  switch (command) {
    case 'entry': return runEntry(rest, io)
    case 'gateway': return runGateway(rest, io)
    case 'explain': return runExplain(rest, io)
    case 'contract': return runContract(rest, io)
    case 'audit': return runAudit(rest, io)
    case 'where': return runWhere(rest, io)
    case 'status': return runStatus(rest, io)
    case 'addresses': return runAddresses(rest, io)
    case '--version':
      io.stdout(`${packageJson.version}\n`)
      return EXIT_CODES.ok
    case '--help':
    case '-h':
    case 'help':
      io.stdout(HELP)
      return EXIT_CODES.ok
    case undefined: return printFailure(io, createError('usage', 'No command is given; use entry, gateway, explain, where, contract, audit, status or addresses.'), false)
    default: return printFailure(io, createError('usage', `Unknown command "${command}".`), args.includes('--json'))
  }
}
