/**
 * The whole system as separate processes on loopback addresses: stand-ins of the platform and targets, and entries.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { request } from 'undici'
import { formatHostList, formatSettings } from './deployment.ts'
import type { Deployment, EntryHost, TargetHost } from './deployment.ts'
import { runProgram, startProgram, waitFor } from './programs.ts'
import type { Program } from './programs.ts'

const READY_TIMEOUT_MS = 20_000
const SUCCESS = 200

/** Where the programs are. */
export interface ProgramFiles {
  /** The folder with the bundled programs. */
  dist: string
  /** The one binary; the bundled program when left out. */
  binary?: string
}

/** How to start a system. */
export interface SystemOptions {
  deployment: Deployment
  files: ProgramFiles
  /** Mean work of a request at a target, in ms. */
  workMs?: number
  /** Whether to start target stand-ins; true when left out. */
  hasTargets?: boolean
  /** Called for each line that a process prints. */
  handleLine?: (process: string, line: string) => void
}

/** A running system. */
export interface System {
  deployment: Deployment
  logUrl: string
  /** Runs `medlarcove` with arguments and returns what it prints; throws when it fails. */
  runCommand(...args: string[]): Promise<string>
  /** Publishes the contract of the deployment, and resolves when every entry has it in force and lists all entries. */
  publishContract(): Promise<void>
  startEntries(): Promise<void>
  startEntry(id: string): Promise<void>
  /** Returns the process of an entry, of a target, `log` or `host-list`. */
  getProgram(name: string): Program | undefined
  /** Switches faults of a stand-in by its control endpoint. */
  switchFaults(of: 'log' | 'host-list' | TargetHost, control: unknown): Promise<void>
  /** Ends every process, entries first; resolves with the exit codes of the entries. */
  stop(): Promise<Record<string, number | null>>
}

/** Whether an entry has a version in force and lists as many entries; undefined when not, or when it does not answer. */
async function isServing (entry: EntryHost, customer: string, version: number, entryCount: number): Promise<true | undefined> {
  const url = `http://${entry.address}:${entry.callerPort}/.medlarcove/addresses?customer=${customer}&caller=replay`
  const answer = await request(url)
  const text = await answer.body.text()
  if (answer.statusCode !== SUCCESS) return undefined
  const listed = JSON.parse(text) as { version: number, addresses: unknown[] }
  return listed.version === version && listed.addresses.length === entryCount ? true : undefined
}

async function sendControl (address: string, port: number, control: unknown): Promise<void> {
  const answer = await request(`http://${address}:${port}/control`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(control)
  })
  const text = await answer.body.text()
  if (answer.statusCode !== SUCCESS) throw new Error(`The stand-in at ${address}:${port} refused ${JSON.stringify(control)}: ${text}`)
}

/** Whether the port for operators of an entry answers. */
async function isAnswering (entry: EntryHost): Promise<true | undefined> {
  const answer = await request(`http://${entry.address}:${entry.operatorPort}/status`)
  await answer.body.dump()
  return answer.statusCode === SUCCESS ? true : undefined
}

/** Named processes that share one folder for their files. */
interface ProgramSet {
  /** Writes a file for a process and returns its path. */
  writeText(name: string, text: string): string
  start(name: string, file: string, args: string[], readyText?: string): Promise<void>
  get(name: string): Program | undefined
  runToEnd(file: string, args: string[]): Promise<string>
  /** Ends `first` by SIGTERM, then kills the rest; resolves with the exit codes of the first. */
  stop(first: string[]): Promise<Record<string, number | null>>
}

function createProgramSet (handleLine: SystemOptions['handleLine']): ProgramSet {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-'))
  const programs = new Map<string, Program>()
  const stopAtOnce = (program: Program): Promise<number | null> => {
    program.sendSignal('SIGKILL')
    return program.waitForEnd()
  }
  return {
    writeText (name, text) {
      const file = path.join(folder, name)
      writeFileSync(file, text)
      return file
    },
    async start (name, file, args, readyText) {
      programs.set(name, await startProgram({ name, file, args, readyText, cwd: folder, handleLine: (line) => handleLine?.(name, line) }))
    },
    get: (name) => programs.get(name),
    runToEnd: (file, args) => runProgram(file, args, folder),
    async stop (first) {
      const ending = first.flatMap((name) => programs.get(name) ?? [])
      const exitCodes = await Promise.all(ending.map(async (program) => [program.name, await program.stop()] as const))
      await Promise.all([...programs.values()].map(stopAtOnce))
      rmSync(folder, { recursive: true, force: true })
      return Object.fromEntries(exitCodes)
    }
  }
}

/** Starts the stand-ins of the platform and of the targets. */
async function startStandIns (programs: ProgramSet, options: SystemOptions): Promise<void> {
  const { deployment, files, workMs } = options
  const startOne = (name: string, bundle: string, address: string, port: number, args: string[], readyText: string) => {
    return programs.start(name, process.execPath, [path.join(files.dist, bundle), '--address', address, '--port', String(port), ...args], readyText)
  }
  const hosts = programs.writeText('hosts.json', formatHostList(deployment))
  const targets = options.hasTargets ?? true ? deployment.targets : []
  const workArgs = workMs === undefined ? [] : ['--work-ms', String(workMs)]
  await Promise.all([
    startOne('log', 'stand-in-log.cjs', deployment.logAddress, deployment.logPort, [], 'ready'),
    startOne('host-list', 'stand-in-host-list.cjs', deployment.logAddress, deployment.hostListPort, ['--hosts', hosts], 'listens'),
    ...targets.map(({ id, address, port, slots }) => startOne(id, 'stand-in-target.cjs', address, port, ['--id', id, '--slots', String(slots), ...workArgs], 'listens'))
  ])
}

/** Starts the stand-ins; entries are started by the returned system. */
export async function startSystem (options: SystemOptions): Promise<System> {
  const { deployment, files } = options
  const { logAddress, logPort, hostListPort } = deployment
  const logUrl = `http://${logAddress}:${logPort}`
  const programs = createProgramSet(options.handleLine)
  const file = files.binary ?? process.execPath
  const bundleArgs = files.binary === undefined ? [path.join(files.dist, 'medlarcove.cjs')] : []
  const runCommand = (...args: string[]) => programs.runToEnd(file, [...bundleArgs, ...args])
  const stop = () => programs.stop(deployment.entries.map(({ id }) => id))
  const startEntry = async (id: string): Promise<void> => {
    const entry = deployment.entries.find((host) => host.id === id)
    if (!entry) throw new Error(`There is no entry ${id}.`)
    const settings = programs.writeText(`${id}.jsonc`, formatSettings(deployment, entry))
    await programs.start(id, file, [...bundleArgs, 'entry', '--settings', settings])
    await Promise.race([
      waitFor(`${id} answers on its port for operators`, READY_TIMEOUT_MS, () => isAnswering(entry)),
      programs.get(id)?.waitForFailure()
    ])
  }
  try {
    await startStandIns(programs, options)
  } catch (cause) {
    await stop()
    throw cause
  }
  return {
    deployment,
    logUrl,
    runCommand,
    startEntry,
    async startEntries () {
      await Promise.all(deployment.entries.map(({ id }) => startEntry(id)))
    },
    async publishContract () {
      await runCommand('contract', 'publish', programs.writeText('contract.jsonc', deployment.contractText), '--log', logUrl)
      const { version } = JSON.parse(deployment.contractText) as { version: number }
      const { customer, entries } = deployment
      await Promise.all(entries.map((entry) => {
        return waitFor(`${entry.id} has version ${version} in force and lists all entries`, READY_TIMEOUT_MS, () => isServing(entry, customer, version, entries.length))
      }))
    },
    getProgram: programs.get,
    async switchFaults (of, control) {
      if (of === 'log') return sendControl(logAddress, logPort, control)
      if (of === 'host-list') return sendControl(logAddress, hostListPort, control)
      return sendControl(of.address, of.port, control)
    },
    stop
  }
}
