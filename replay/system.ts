/**
 * The whole system as separate processes on loopback addresses: entries, and stand-ins of the platform and the targets.
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
const STATUS_OK = 200

/** Locations of the programs. */
export interface ProgramFiles {
  /** The folder with the bundled programs. */
  dist: string
  /** The single executable to run as entry and as command line; the bundled program when left out. */
  binary?: string
}

/** Options of `startSystem`. */
export interface SystemOptions {
  deployment: Deployment
  files: ProgramFiles
  /** Mean work time of a request at a target, in ms; the default of the stand-in when left out. */
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
  /** Runs `medlarcove` with arguments and returns its stdout; throws when the exit code is not 0. */
  runCommand(...args: string[]): Promise<string>
  /**
   * Publishes the contract of the deployment; resolves when it is in effect on every entry and each lists all entries.
   */
  publishContract(): Promise<void>
  /** Starts all entries; resolves when their operator ports respond. */
  startEntries(): Promise<void>
  /** Starts one entry; throws when it exits or its operator port does not respond within 20 s. */
  startEntry(id: string): Promise<void>
  /** Returns the process of an entry, of a target, `log` or `host-list`. */
  getProgram(name: string): Program | undefined
  /** Sends settings of faults to the control endpoint of a stand-in; throws when they are rejected. */
  setFaults(standIn: 'log' | 'host-list' | TargetHost, control: unknown): Promise<void>
  /** Stops every process, entries first; resolves with the exit codes of the entries, by id. */
  stop(): Promise<Record<string, number | null>>
}

/**
 * Returns true when the contract version is in effect on an entry and the entry lists `entryCount` entries; undefined
 * when not. Rejects when the entry is unreachable.
 */
async function isServing (entry: EntryHost, customer: string, version: number, entryCount: number): Promise<true | undefined> {
  const url = `http://${entry.address}:${entry.callerPort}/.medlarcove/addresses?customer=${customer}&caller=replay`
  const response = await request(url)
  const text = await response.body.text()
  if (response.statusCode !== STATUS_OK) return undefined
  const listed = JSON.parse(text) as { version: number, addresses: unknown[] }
  return listed.version === version && listed.addresses.length === entryCount ? true : undefined
}

async function sendControl (address: string, port: number, control: unknown): Promise<void> {
  const response = await request(`http://${address}:${port}/control`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(control)
  })
  const text = await response.body.text()
  if (response.statusCode !== STATUS_OK) throw new Error(`The stand-in at ${address}:${port} rejected the control request ${JSON.stringify(control)}: ${text}`)
}

/** Returns true when the operator port of an entry responds with status 200; undefined for another status. */
async function isResponding (entry: EntryHost): Promise<true | undefined> {
  const response = await request(`http://${entry.address}:${entry.operatorPort}/status`)
  await response.body.dump()
  return response.statusCode === STATUS_OK ? true : undefined
}

/** Processes by name, with one temporary folder for their files. */
interface ProgramSet {
  /** Writes a file to the folder and returns its path. */
  writeText(name: string, text: string): string
  start(name: string, file: string, args: string[], readyText?: string): Promise<void>
  get(name: string): Program | undefined
  runToEnd(file: string, args: string[]): Promise<string>
  /**
   * Stops the processes named in `first`, then kills the others and removes the folder; resolves with the exit codes of
   * `first`.
   */
  stop(first: string[]): Promise<Record<string, number | null>>
}

function createProgramSet (handleLine: SystemOptions['handleLine']): ProgramSet {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-'))
  const programs = new Map<string, Program>()
  const stopImmediately = (program: Program): Promise<number | null> => {
    program.sendSignal('SIGKILL')
    return program.waitForExit()
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
      const programsToStop = first.flatMap((name) => programs.get(name) ?? [])
      const exitCodes = await Promise.all(programsToStop.map(async (program) => [program.name, await program.stop()] as const))
      await Promise.all([...programs.values()].map(stopImmediately))
      rmSync(folder, { recursive: true, force: true })
      return Object.fromEntries(exitCodes)
    }
  }
}

/** Starts the stand-ins of the platform and of the targets. */
async function startStandIns (programs: ProgramSet, options: SystemOptions): Promise<void> {
  const { deployment, files, workMs } = options
  const startStandIn = (name: string, bundle: string, address: string, port: number, args: string[], readyText: string) => {
    return programs.start(name, process.execPath, [path.join(files.dist, bundle), '--address', address, '--port', String(port), ...args], readyText)
  }
  const hosts = programs.writeText('hosts.json', formatHostList(deployment))
  const targets = options.hasTargets ?? true ? deployment.targets : []
  const workArgs = workMs === undefined ? [] : ['--work-ms', String(workMs)]
  await Promise.all([
    startStandIn('log', 'stand-in-log.cjs', deployment.logAddress, deployment.logPort, [], 'ready'),
    startStandIn('host-list', 'stand-in-host-list.cjs', deployment.logAddress, deployment.hostListPort, ['--hosts', hosts], 'listens'),
    ...targets.map(({ id, address, port, slots }) => startStandIn(id, 'stand-in-target.cjs', address, port, ['--id', id, '--slots', String(slots), ...workArgs], 'listens'))
  ])
}

/** Starts the stand-ins of the platform and of the targets; entries are started through the returned system. */
export async function startSystem (options: SystemOptions): Promise<System> {
  const { deployment, files } = options
  const { logAddress, logPort, hostListPort } = deployment
  const logUrl = `http://${logAddress}:${logPort}`
  const programs = createProgramSet(options.handleLine)
  const file = files.binary ?? process.execPath
  const programArgs = files.binary === undefined ? [path.join(files.dist, 'medlarcove.cjs')] : []
  const runCommand = (...args: string[]) => programs.runToEnd(file, [...programArgs, ...args])
  const stop = () => programs.stop(deployment.entries.map(({ id }) => id))
  const startEntry = async (id: string): Promise<void> => {
    const entry = deployment.entries.find((host) => host.id === id)
    if (!entry) throw new Error(`The deployment has no entry "${id}".`)
    const settings = programs.writeText(`${id}.jsonc`, formatSettings(deployment, entry))
    await programs.start(id, file, [...programArgs, 'entry', '--settings', settings])
    await Promise.race([
      waitFor(`${id} responds on its operator port`, READY_TIMEOUT_MS, () => isResponding(entry)),
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
        return waitFor(`${entry.id} has contract version ${version} in effect and lists all entries`, READY_TIMEOUT_MS, () => isServing(entry, customer, version, entries.length))
      }))
    },
    getProgram: programs.get,
    async setFaults (standIn, control) {
      if (standIn === 'log') return sendControl(logAddress, logPort, control)
      if (standIn === 'host-list') return sendControl(logAddress, hostListPort, control)
      return sendControl(standIn.address, standIn.port, control)
    },
    stop
  }
}
