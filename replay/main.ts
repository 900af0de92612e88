/**
 * The program `replay`: plays a recorded trace through real processes and compares the results with expected outcomes.
 */
import { writeFileSync } from 'node:fs'
import path from 'node:path'
import { parseArgs } from 'node:util'
import { readOutcomes } from './outcomes.ts'
import { POLICIES } from './policies.ts'
import type { Policy } from './policies.ts'
import { createRandom } from './random.ts'
import { replayTrace } from './replay-trace.ts'
import { renderReport } from './report.ts'
import { buildRepeatedTrace, readTrace } from './trace.ts'
import { writeTraces } from './write-traces.ts'

const HELP = `Usage: npm run replay -- --trace FILE --outcomes FILE [options]
       npm run replay -- --write-traces

Plays a recorded trace through real processes on loopback addresses and compares the results with expected outcomes.

  --trace FILE     JSON lines: requests (time, caller, service, operation, key, size) and faults (time, what, where, with)
  --outcomes FILE  expected outcomes, in JSON with comments
  --policy NAME    ${POLICIES.join(', ')}; may be given more than once
                   (default: two-choices and entry)
  --rounds N       plays the trace N times in a row (default 1)
  --seed N         seed of the random numbers of the baselines (default 1)
  --report FILE    also writes the report as JSON
  --network A.B.C  the first three bytes of every address (default 127.78.1)
  --binary FILE    runs this executable instead of the bundled program
  --root FOLDER    the folder that holds samples/ and dist/ (default: the working directory)
  --write-traces   writes the committed traces anew from their fixed seeds
  --help           prints this text

Exit codes: 0 all invariants hold and all outcomes are met, 1 an invariant or outcome failed, 2 wrong command line or file`
const EXIT_CHECK_FAILED = 1
const EXIT_USAGE = 2

function readArguments () {
  return parseArgs({
    options: {
      trace: { type: 'string' },
      outcomes: { type: 'string' },
      policy: { type: 'string', multiple: true, default: ['two-choices', 'entry'] },
      rounds: { type: 'string', default: '1' },
      seed: { type: 'string', default: '1' },
      report: { type: 'string' },
      network: { type: 'string', default: '127.78.1' },
      binary: { type: 'string' },
      root: { type: 'string', default: '.' },
      'write-traces': { type: 'boolean', default: false },
      help: { type: 'boolean', short: 'h' }
    }
  }).values
}

function parsePolicy (name: string): Policy {
  const policy = POLICIES.find((known) => known === name)
  if (!policy) throw new Error(`Unknown policy "${name}"; use one of ${POLICIES.join(', ')}.`)
  return policy
}

/** Reads the files and policies that the command line names; throws when one is missing or invalid. */
function readOptions (values: ReturnType<typeof readArguments>) {
  if (!values.trace || !values.outcomes) throw new Error('Give --trace FILE and --outcomes FILE.')
  const root = path.resolve(values.root)
  return {
    trace: buildRepeatedTrace(readTrace(values.trace), Number(values.rounds)),
    outcomes: readOutcomes(values.outcomes),
    policies: values.policy.map(parsePolicy),
    root,
    files: { dist: path.join(root, 'dist'), binary: values.binary === undefined ? undefined : path.resolve(values.binary) },
    network: values.network,
    random: createRandom(Number(values.seed)),
    handleProgress: (policy: Policy) => console.error(`Replaying by policy ${policy} ...`)
  }
}

async function runReplay (values: ReturnType<typeof readArguments>): Promise<number> {
  const options = readOptions(values)
  const { reports, results } = await replayTrace(options)
  console.log(renderReport(`${values.trace}, ${values.rounds} rounds`, reports, results))
  if (values.report) writeFileSync(values.report, `${JSON.stringify({ trace: values.trace, reports, results }, undefined, 2)}\n`)
  const hasPassed = reports.every(({ verdicts }) => verdicts.every((verdict) => verdict.holds)) && results.every((result) => result.holds)
  return hasPassed ? 0 : EXIT_CHECK_FAILED
}

async function runProgram (): Promise<number> {
  const values = readArguments()
  if (values.help) {
    console.log(HELP)
    return 0
  }
  if (!values['write-traces']) return runReplay(values)
  writeTraces(path.join(values.root, 'replay/traces'))
  return 0
}

runProgram().then((exitCode) => { process.exitCode = exitCode }, (cause: unknown) => {
  console.error(cause instanceof Error ? cause.message : cause)
  process.exitCode = EXIT_USAGE
})
