/**
 * The benches, one subcommand each.
 */
import { runContractsBench } from './contracts.ts'
import { runCapacityBench } from './capacity.ts'
import { runCapacityPeers } from './capacity-peers.ts'
import { runLimitsBench } from './limits-split.ts'
import { runBareRelay, runRelayTarget } from './relay-programs.ts'
import { runRelayBench } from './relay.ts'

const HELP = `Usage: npm run bench -- NAME [options]

  contracts     time of a contract to come into force, of a blank follower, memory and fold time
  relay         what an entry adds to a small request, requests a second on one core, memory
  capacity      what each role costs by its size: processor time, bytes, memory
  limits        what a skewed load loses by how a customer's limit is split
  relay-target, bare-relay  programs that the relay bench starts
  capacity-peers  the peers that the capacity bench starts

Each bench prints its options with --help.`
const EXIT_USAGE = 2

/** Runs a bench by its name; returns the exit code. */
async function runBench (name: string | undefined, args: string[]): Promise<number> {
  switch (name) {
    case 'contracts': return runContractsBench(args)
    case 'relay': return runRelayBench(args)
    case 'relay-target': return runRelayTarget(args)
    case 'capacity': return runCapacityBench(args)
    case 'capacity-peers': return runCapacityPeers(args)
    case 'limits': return runLimitsBench()
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
