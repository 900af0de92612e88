/**
 * The command line of the soak: plays runs that are drawn from seeds, and reports which rules they broke.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import { parseArgs } from 'node:util'
import { checkRun } from './checkers.ts'
import type { CheckResult } from './evidence.ts'
import { createPlan, formatFault } from './plan.ts'
import type { SoakPlan } from './plan.ts'
import { playRun } from './play.ts'

const HELP = `Usage: npm run soak -- [options]

Plays the entry of the users' platform as processes, with stand-ins for the store, the targets and the callers, and with faults
that are drawn from a seed. The same seed gives the same plan.

  --seed N         seed of the first run (default: from the time)
  --runs N         number of runs, each with the next seed (default: 1)
  --minutes M      play runs until this time is over, instead of a number
  --only CHECKER   report only this check
  --against DIR    play the build in this folder (its target/start.cjs) instead of this one
  --print          print the plans without playing them

A run that breaks a rule leaves its plan and what was seen in .work/soak/SEED. Exit codes: 0 all rules held, 1 a rule was broken,
2 wrong usage.`
const OUT_FOLDER = '.work/soak'
const MS_PER_MINUTE = 60_000
const MAX_SEED = 2 ** 31
const MAX_PRINTED = 3
const EXIT_BROKEN = 1
const EXIT_STOPPED = 130

function printPlan ({ seed, entryCount, services, callers, faults }: SoakPlan): void {
  console.log(`seed ${seed}: ${entryCount} entries, ${callers.length} callers, services ${services.map(({ targetCount, slots, workMs, hasLoadReports }) => `${targetCount} x ${slots} slots, ${workMs} ms${hasLoadReports ? '' : ', no load reports'}`).join('; ')}`)
  for (const fault of faults) console.log(`  ${formatFault(fault)}`)
}

function printResults (results: readonly CheckResult[]): void {
  console.log(`  ${results.map(({ name, premiseCount, broken }) => `${name} ${premiseCount}${broken.length > 0 ? ` BROKEN ${broken.length}` : ''}`).join(', ')}`)
  for (const { name, broken } of results) for (const line of broken.slice(0, MAX_PRINTED)) console.log(`  ${name}: ${line}`)
}

/** Plays one run, and keeps what was seen if a rule was broken. Returns the results. */
async function playSeed (seed: number, { against, only }: { against: string, only: string | undefined }): Promise<CheckResult[]> {
  const plan = createPlan(seed)
  printPlan(plan)
  const events = await playRun(plan, against)
  const results = checkRun(events).filter(({ name }) => only === undefined || name === only)
  printResults(results)
  if (results.every(({ broken }) => broken.length === 0)) return results
  const folder = path.join(OUT_FOLDER, String(seed))
  mkdirSync(folder, { recursive: true })
  writeFileSync(path.join(folder, 'plan.json'), JSON.stringify(plan, undefined, 2))
  writeFileSync(path.join(folder, 'events.jsonl'), events.map((event) => JSON.stringify(event)).join('\n'))
  writeFileSync(path.join(folder, 'results.json'), JSON.stringify(results, undefined, 2))
  console.log(`  kept in ${folder}`)
  return results
}

function printSummary (all: readonly CheckResult[][]): void {
  console.log(`${all.length} runs`)
  for (const name of all[0]?.map((result) => result.name) ?? []) {
    const results = all.flatMap((run) => run.filter((result) => result.name === name))
    const premises = results.reduce((sum, { premiseCount }) => sum + premiseCount, 0)
    console.log(`  ${name}: applied ${premises} times, broken in ${results.filter(({ broken }) => broken.length > 0).length} runs`)
  }
}

/** Runs the soak from the command line; returns the exit code. */
async function runSoak (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { seed: { type: 'string' }, runs: { type: 'string' }, minutes: { type: 'string' }, only: { type: 'string' }, against: { type: 'string' }, print: { type: 'boolean' }, help: { type: 'boolean' } } })
  if (values.help) {
    console.log(HELP)
    return 0
  }
  const firstSeed = Number(values.seed ?? Date.now() % MAX_SEED)
  const runCount = values.minutes === undefined ? Number(values.runs ?? 1) : Infinity
  const endMs = values.minutes === undefined ? Infinity : performance.now() + Number(values.minutes) * MS_PER_MINUTE
  const all: CheckResult[][] = []
  for (let index = 0; index < runCount && performance.now() < endMs; index++) {
    if (values.print) printPlan(createPlan(firstSeed + index))
    else all.push(await playSeed(firstSeed + index, { against: values.against ?? process.cwd(), only: values.only }))
  }
  if (!values.print) printSummary(all)
  return all.flat().some(({ broken }) => broken.length > 0) ? EXIT_BROKEN : 0
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(EXIT_STOPPED))

runSoak(process.argv.slice(2)).then((exitCode) => { process.exitCode = exitCode }, (cause: unknown) => {
  console.error(cause instanceof Error ? cause.message : cause)
  console.error(HELP)
  process.exitCode = 2
})
