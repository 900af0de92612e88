/**
 * The command line of the benches, with one subcommand for each bench.
 */
import { parseArgs } from 'node:util'
import { runClaimsBench } from './claims.ts'
import { runContractsBench } from './contracts.ts'
import { runCapacityBench } from './capacity.ts'
import { runCapacityPeers } from './capacity-peers.ts'
import { runLimitsBench } from './limits-split.ts'
import { runBareRelay, runRelayTarget } from './relay-programs.ts'
import { runTargetCostBench } from './targets-cost.ts'
import { runMeasuringBench, runOverloadBench, runTargetBench } from './targets.ts'
import { runRelayBench } from './relay.ts'

const HELP = `Usage: npm run bench -- NAME [options]

  contracts     time until a contract is in effect, start of a follower without state, fold time and memory
  claims        throughput and latency of claims, memory, start without state
  targets       tail latency of target selection by policy; --only NAME runs the cases whose name contains NAME
  overload      goodput and rejected requests below and above capacity
  measuring     cost of probing, and tail latency with ten times the probing budget
  targets-cost  time and memory of target selection by number of targets
  relay         latency that an entry adds to a small request, requests per second on one core, memory
  capacity      processor time, bytes and memory of each role by its size
  limits        requests admitted under skewed load, by the way a customer's limit is split
  relay-target, bare-relay  programs that the relay bench starts
  capacity-peers  peers that the capacity bench starts

The benches contracts, relay and capacity print their options with --help.`
const EXIT_USAGE = 2

/** Runs a bench that prints each line when it is ready; returns the exit code. */
async function printBench (run: (print: (line: string) => void) => Promise<void>): Promise<number> {
  await run((line) => console.log(line))
  return 0
}

/** Runs the target selection bench from the command line; returns the exit code. */
function runTargetCases (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { only: { type: 'string' } } })
  return printBench((print) => runTargetBench({ print, only: values.only }))
}

/** Runs the bench with this name; returns the exit code. */
async function runBench (name: string | undefined, args: string[]): Promise<number> {
  switch (name) {
    case 'contracts': return runContractsBench(args)
    case 'claims': return runClaimsBench()
    case 'targets': return runTargetCases(args)
    case 'overload': return printBench(runOverloadBench)
    case 'measuring': return printBench(runMeasuringBench)
    case 'targets-cost': return printBench(runTargetCostBench)
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
