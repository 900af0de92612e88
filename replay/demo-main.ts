/**
 * The demo: starts the whole system on loopback addresses, runs a few steps and a short trace, and prints commands
 * for the reader to try.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { parseArgs } from 'node:util'
import { createDeployment } from './deployment.ts'
import { runSteps } from './demo-steps.ts'
import { runPlatformDemo } from './platform-demo.ts'
import { startProgram } from './programs.ts'
import type { Program } from './programs.ts'
import { replayThroughEntries } from './replay-trace.ts'
import { renderReport } from './report.ts'
import { startSystem } from './system.ts'
import type { System } from './system.ts'
import { readTrace } from './trace.ts'

const HELP = `Usage: npm run demo -- [options]

Runs a few steps through two entries on the platform's store. Then starts a log, a host list, targets and six entries
as processes on loopback addresses, runs a few steps through them, replays a short trace and keeps running.

  --once          exit after the trace
  --network A.B.C the first three bytes of every address (default 127.77.1)
  --binary FILE   run this executable instead of the bundled program
  --root FOLDER   the folder that holds samples/ and dist/ (default: the working directory)
  --help          print this text`
const ENTRY_COUNT = 6
const TARGET_COUNT = 6
const TRACE = 'replay/traces/kyushu/steady-day.jsonl'

const { values } = parseArgs({
  options: {
    once: { type: 'boolean', default: false },
    network: { type: 'string', default: '127.77.1' },
    binary: { type: 'string' },
    root: { type: 'string', default: '.' },
    help: { type: 'boolean', short: 'h' }
  }
})

function print (line: string): void {
  console.log(line)
}

function printCommandsToTry (system: System): void {
  const { deployment, logUrl } = system
  const [first, second] = deployment.entries
  const entry = `http://${first?.address}:${first?.callerPort}`
  const otherEntry = `http://${second?.address}:${second?.callerPort}`
  const operatorAddress = `${first?.address}:${first?.operatorPort}`
  print(`
The system keeps running. Try from another terminal:

  curl '${entry}/.medlarcove/addresses?customer=${deployment.customer}&caller=me'
  curl -i ${entry}/${deployment.customer}/booking/slots/12
  curl -i -X POST -H 'idempotency-key: mine-1' ${entry}/${deployment.customer}/booking/slots/12/charge
  curl -i -X POST -H 'idempotency-key: mine-1' ${otherEntry}/${deployment.customer}/booking/slots/12/charge
  curl -i -X POST ${otherEntry}/${deployment.customer}/collection/lots/lot-9/ticket
  curl -o ledger '${entry}/${deployment.customer}/collection/ledgers/co-op-7/2026?bytes=50000000'
  curl http://${operatorAddress}/metrics
  node dist/medlarcove.cjs status --entry ${operatorAddress}
  node dist/medlarcove.cjs contract show --log ${logUrl}
  node dist/medlarcove.cjs audit --log ${logUrl}

Press Ctrl-C to stop it.`)
}

/** Resolves on SIGINT or SIGTERM. */
function waitForSignal (): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve())
    process.once('SIGTERM', () => resolve())
  })
}

/** Runs the steps on the platform's store; returns the number of failed steps. */
async function runPlatformSteps (root: string, binary: string | undefined): Promise<number> {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-demo-'))
  const startEntry = (id: string, bootText: string): Promise<Program> => {
    const bootFile = path.join(folder, `${id}.conf`)
    writeFileSync(bootFile, bootText)
    const args = binary === undefined ? [path.join(root, 'dist/gateway.cjs')] : ['gateway']
    return startProgram({ name: id, file: binary ?? process.execPath, args, env: { MEDLARCOVE_BOOT: bootFile }, readyText: 'Started.' })
  }
  try {
    return await runPlatformDemo({ network: values.network, startEntry, print })
  } finally {
    rmSync(folder, { recursive: true })
  }
}

async function runDemo (): Promise<number> {
  const root = path.resolve(values.root)
  const deployment = createDeployment({ sample: 'kyushu', root, network: values.network, entryCount: ENTRY_COUNT, maxTargetsPerService: TARGET_COUNT })
  const binary = values.binary === undefined ? undefined : path.resolve(values.binary)
  const interrupted = waitForSignal()
  print(`Starting the log, the host list, ${deployment.targets.length} targets and ${ENTRY_COUNT} entries.`)
  const startedMs = performance.now()
  let failureCount = await runPlatformSteps(root, binary)
  const handleLine = (process: string, line: string) => {
    if (!/Warning:/.test(line)) return
    print(`  WRONG: ${process} printed a warning: ${line}`)
    failureCount += 1
  }
  const system = await startSystem({ deployment, handleLine, files: { dist: path.join(root, 'dist'), binary } })
  try {
    await system.startEntries()
    await system.publishContract()
    print(`The contract of ${deployment.customer} was published by the command line and is in effect on every entry.\n`)
    failureCount += await runSteps(system, print)
    print(`\nReplaying ${TRACE} ...\n`)
    const { report } = await replayThroughEntries(readTrace(path.join(root, TRACE)), system, startedMs)
    print(renderReport('Results:', [report], []))
    failureCount += report.verdicts.filter((verdict) => !verdict.holds).length
    print(failureCount === 0 ? '\nAll steps succeeded and all invariants hold.' : `\n${failureCount} steps or invariants failed.`)
    if (!values.once && failureCount === 0) {
      printCommandsToTry(system)
      await interrupted
    }
  } finally {
    print('Stopping: entries finish the requests in flight.')
    const exitCodes = await system.stop()
    print(`Entries exited: ${Object.entries(exitCodes).map(([id, exitCode]) => `${id} with ${exitCode}`).join(', ')}.`)
    if (Object.values(exitCodes).some((exitCode) => exitCode !== 0)) failureCount += 1
  }
  return failureCount
}

if (values.help) print(HELP)
else {
  runDemo().then((failureCount) => { process.exitCode = failureCount === 0 ? 0 : 1 }, (cause: unknown) => {
    console.error(cause instanceof Error ? cause.message : cause)
    process.exitCode = 1
  })
}
