/**
 * The demo: the whole system on loopback addresses, one path through it, a short trace, and lines to try by hand.
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

Makes one path through two entries on the platform's store. Then starts a log, a host list, targets and six entries as
processes on loopback addresses, makes one path through them, replays a short trace and stays up.

  --once          end after the trace
  --network A.B.C the first three bytes of every address (default 127.77.1)
  --binary FILE   run the one binary in place of the bundled program
  --root FOLDER   the folder that holds samples/ and dist/ (default: this one)
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

function printLinesToTry (system: System): void {
  const { deployment, logUrl } = system
  const [first, second] = deployment.entries
  const entry = `http://${first?.address}:${first?.callerPort}`
  const other = `http://${second?.address}:${second?.callerPort}`
  const operators = `${first?.address}:${first?.operatorPort}`
  print(`
The system stays up. Try, from another terminal:

  curl '${entry}/.medlarcove/addresses?customer=${deployment.customer}&caller=me'
  curl -i ${entry}/${deployment.customer}/booking/slots/12
  curl -i -X POST -H 'idempotency-key: mine-1' ${entry}/${deployment.customer}/booking/slots/12/charge
  curl -i -X POST -H 'idempotency-key: mine-1' ${other}/${deployment.customer}/booking/slots/12/charge
  curl -i -X POST ${other}/${deployment.customer}/collection/lots/lot-9/ticket
  curl -o ledger '${entry}/${deployment.customer}/collection/ledgers/co-op-7/2026?bytes=50000000'
  curl http://${operators}/metrics
  node dist/medlarcove.cjs status --entry ${operators}
  node dist/medlarcove.cjs contract show --log ${logUrl}
  node dist/medlarcove.cjs audit --log ${logUrl}

Press ctrl-C to end it.`)
}

/** Resolves when the reader asks for the end. */
function waitForSignal (): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve())
    process.once('SIGTERM', () => resolve())
  })
}

/** Plays the path on the platform's store; returns how many steps went wrong. */
async function runOnPlatform (root: string, binary: string | undefined): Promise<number> {
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
  const deployment = createDeployment({ sample: 'kyushu', root, network: values.network, entryCount: ENTRY_COUNT, targetCount: TARGET_COUNT })
  const binary = values.binary === undefined ? undefined : path.resolve(values.binary)
  const interrupted = waitForSignal()
  print(`Starting the log, the host list, ${deployment.targets.length} targets and ${ENTRY_COUNT} entries.`)
  const startedMs = performance.now()
  let faults = await runOnPlatform(root, binary)
  const handleLine = (process: string, line: string) => {
    if (!/Warning:/.test(line)) return
    print(`  WRONG: ${process} printed a warning: ${line}`)
    faults += 1
  }
  const system = await startSystem({ deployment, handleLine, files: { dist: path.join(root, 'dist'), binary } })
  try {
    await system.startEntries()
    await system.publishContract()
    print(`Contract of ${deployment.customer} is published by the command line and in force on every entry.\n`)
    faults += await runSteps(system, print)
    print(`\nReplaying ${TRACE} ...\n`)
    const { report } = await replayThroughEntries(readTrace(path.join(root, TRACE)), system, startedMs)
    print(renderReport('What came of it:', [report], []))
    faults += report.verdicts.filter((verdict) => !verdict.holds).length
    print(faults === 0 ? '\nEvery step went as it should and every invariant held.' : `\n${faults} steps or invariants went wrong.`)
    if (!values.once && faults === 0) {
      printLinesToTry(system)
      await interrupted
    }
  } finally {
    print('Stopping: entries finish what they have begun.')
    const exitCodes = await system.stop()
    print(`Entries ended: ${Object.entries(exitCodes).map(([id, exitCode]) => `${id} with ${exitCode}`).join(', ')}.`)
    if (Object.values(exitCodes).some((exitCode) => exitCode !== 0)) faults += 1
  }
  return faults
}

if (values.help) print(HELP)
else {
  runDemo().then((faults) => { process.exitCode = faults === 0 ? 0 : 1 }, (cause: unknown) => {
    console.error(cause instanceof Error ? cause.message : cause)
    process.exitCode = 1
  })
}
