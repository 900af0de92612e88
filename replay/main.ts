/**
 * The program `replay`: plays a recorded trace through real processes and compares it with stated outcomes.
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

Plays a recorded trace through real processes on loopback addresses and compares it with stated outcomes.

  --trace FILE     JSON lines: requests (time, caller, service, operation, key, size) and faults (time, what, where, with)
  --outcomes FILE  what it must come to
  --policy NAME    ${POLICIES.join(', ')}; may be given more than once
                   (default: two-choices and entry)
  --rounds N       plays the trace N times over (default 1)
  --seed N         seed of the baselines' choices (default 1)
  --report FILE    also writes the report as JSON
  --network A.B.C  the first three bytes of every address (default 127.78.1)
  --binary FILE    run the one binary in place of the bundled program
  --root FOLDER    the folder that holds samples/ and dist/ (default: this one)
  --write-traces   writes the committed traces again, from their fixed seeds
  --help           print this text

Exit codes: 0 all invariants hold and all outcomes are met, 1 not so, 2 wrong command line or file`
const EXIT_MISSED = 1
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
  if (!policy) throw new Error(`There is no policy "${name}"; use one of ${POLICIES.join(', ')}.`)
  return policy
}

/** Reads what the command line names; throws when a part of it is wrong. */
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
    handleProgress: (policy: Policy) => console.error(`Playing by ${policy} ...`)
  }
}

async function runReplay (values: ReturnType<typeof readArguments>): Promise<number> {
  const options = readOptions(values)
  const { reports, results } = await replayTrace(options)
  console.log(renderReport(`${values.trace}, ${values.rounds} times over`, reports, results))
  if (values.report) writeFileSync(values.report, `${JSON.stringify({ trace: values.trace, reports, results }, undefined, 2)}\n`)
  const holds = reports.every(({ verdicts }) => verdicts.every((verdict) => verdict.holds)) && results.every((result) => result.holds)
  return holds ? 0 : EXIT_MISSED
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
