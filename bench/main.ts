/**
 * The benches, one subcommand each.
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

  contracts     time of a contract to come into force, of a blank follower, memory and fold time
  claims        rates and waits of claims, memory, blank start
  targets       tails of the choice of targets; --only NAME picks cases
  overload      goodput beyond the capacity
  measuring     what probing costs, and the tail with ten times the budget
  targets-cost  time and memory of a choice by the number of targets
  relay         what an entry adds to a small request, requests a second on one core, memory
  capacity      what each role costs by its size: processor time, bytes, memory
  limits        what a skewed load loses by how a customer's limit is split
  relay-target, bare-relay  programs that the relay bench starts
  capacity-peers  the peers that the capacity bench starts

Each bench prints its options with --help.`
const EXIT_USAGE = 2

/** Runs a bench that prints its lines as they come. */
async function printBench (run: (print: (line: string) => void) => Promise<void>): Promise<number> {
  await run((line) => console.log(line))
  return 0
}

function runTargetCases (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { only: { type: 'string' } } })
  return printBench((print) => runTargetBench({ print, only: values.only }))
}

/** Runs a bench by its name; returns the exit code. */
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
