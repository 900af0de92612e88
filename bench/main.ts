/**
 * The benches, one subcommand each.
 */
import { runContractsBench } from './contracts.ts'
import { runBareRelay, runRelayTarget } from './relay-programs.ts'
import { runRelayBench } from './relay.ts'

const HELP = `Usage: npm run bench -- NAME [options]

  contracts     time of a contract to come into force, of a blank follower, memory and fold time
  relay         what an entry adds to a small request, requests a second on one core, memory
  relay-target, bare-relay  programs that the relay bench starts

Each bench prints its options with --help.`
const EXIT_USAGE = 2

/** Runs a bench by its name; returns the exit code. */
async function runBench (name: string | undefined, args: string[]): Promise<number> {
  switch (name) {
    case 'contracts': return runContractsBench(args)
    case 'relay': return runRelayBench(args)
    case 'relay-target': return runRelayTarget(args)
    case 'bare-relay': return runBareRelay(args)
    case '--help':
      console.log(HELP)
      return 0
    default:
      console.error(HELP)
      return EXIT_USAGE
  }
}

const [name, ...args] = process.argv.slice(2)
runBench(name, args).then((exitCode) => { process.exitCode = exitCode }, (cause: unknown) => {
  console.error(cause instanceof Error ? cause.message : cause)
  process.exitCode = 1
})
