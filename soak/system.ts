/**
 * The system of a run: a store, targets, and entries as processes, each with paths of its own to the targets that can be cut.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { createPortFinder } from '../stand-ins/free-ports.ts'
import { startFaultRelay } from '../stand-ins/fault-relay.ts'
import type { FaultRelay } from '../stand-ins/fault-relay.ts'
import { formatBootText } from '../stand-ins/platform-boot.ts'
import { startPlatformStore } from '../stand-ins/platform-store.ts'
import type { PlatformStore } from '../stand-ins/platform-store.ts'
import { ROUTE_HOST } from '../stand-ins/platform-target.ts'
import { writePortRedirection } from '../stand-ins/port-redirection.ts'
import { toBrand } from '../src/types.ts'
import type { EventLog } from './events.ts'
import type { SoakPlan } from './plan.ts'
import { startTarget, WARM_UP } from './targets.ts'
import type { SoakTarget } from './targets.ts'

/** An entry as a process. */
export interface SoakEntry {
  frontPort: number
  directoryPort: number
  /** The paths of this entry to the targets. */
  relays: FaultRelay[]
  /** Starts the process, and resolves when it is ready. */
  start(): Promise<void>
  signal(signal: NodeJS.Signals): void
  /** Resolves when the process has ended. */
  waitForExit(): Promise<void>
  /** Says whether the process is expected to end, so that its end is no finding. */
  setExpectedEnd(isExpected: boolean): void
}

/** A running system. */
export interface SoakSystem {
  store: PlatformStore
  targets: SoakTarget[]
  entries: SoakEntry[]
  close(): Promise<void>
}

const ADDRESS = '127.0.0.1'
const findFreePort = createPortFinder({ firstPort: 12_000, portsPerProcess: 500, processCount: 40 })
const GRACE_MS = 6_000
/** What the platform tolerates; the checks use the same figures. */
export const BOUNDS = {
  quotaTolerance: { windowMs: 5_000, share: 0.1, slack: 20 },
  coldTolerance: { factor: 1.5, slack: 8 },
  evacuateMs: 2_000
} as const
const READY_TIMEOUT_MS = 15_000
const POLL_MS = 30
const MAX_OUTPUT_CHARACTERS = 2_000

/** Returns the configuration of a plan. The customers in `revoked` hold other keys than their callers send. */
export function describeConfiguration ({ services, customers }: SoakPlan, version: number, revoked: ReadonlySet<number> = new Set()) {
  const columns = ['name', 'host', 'pathPrefix', 'kind', 'timeout', 'targetLatency', 'priority', 'split', 'maxAttempts', 'service']
  const rows = services.flatMap(({ name, timeoutMs }) => (['safe', 'unsafe'] as const).map((kind) =>
    [`${name}-${kind}`, ROUTE_HOST, `/${name}/${kind}/`, kind, `${timeoutMs}ms`, `${timeoutMs / 2}ms`, 1, null, 2, name]))
  const serviceRows = services.map(({ name }) => [name, '/health', 260, 'h1', false, `${WARM_UP.durationMs}ms`, WARM_UP.perSecond])
  const customerRows = customers.map(({ name, key, ratePerSecond, burst }, index) => [name, [revoked.has(index) ? `other-${key}` : key], ratePerSecond, burst])
  return {
    version,
    routes: { columns, rows },
    services: { columns: ['name', 'healthPath', 'maxConnections', 'protocol', 'tls', 'warmup', 'warmupPerS'], rows: serviceRows },
    ...(customers.length > 0 ? { tenants: { columns: ['name', 'apiKeys', 'ratePerS', 'burst'], rows: customerRows } } : {}),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeout: '3000ms', idleTimeout: '15000ms' }
  }
}

/** The processes that run; they end with this one. */
const running = new Set<ChildProcess>()
process.on('exit', () => { for (const child of running) child.kill('SIGKILL') })

/** Options of `createEntry`. */
interface EntryOptions {
  index: number
  /** Folder with the build of the program. */
  buildFolder: string
  folder: string
  store: PlatformStore
  targets: readonly SoakTarget[]
  events: EventLog
  /** Keys that must not show in its log. */
  keys: readonly string[]
}

async function createEntry ({ index, buildFolder, folder, store, targets, events, keys }: EntryOptions): Promise<SoakEntry> {
  const [frontPort, readyPort, directoryPort, peerPort] = [await findFreePort(), await findFreePort(), await findFreePort(), await findFreePort()]
  const relays: FaultRelay[] = []
  const redirected: Record<number, number> = {}
  for (const { port } of targets) {
    const relayPort = await findFreePort()
    redirected[port] = relayPort
    relays.push(await startFaultRelay({ address: ADDRESS, port: relayPort }, { address: ADDRESS, port }))
  }
  const bootFile = path.join(folder, `entry-${index}.conf`)
  const listen = { front: { address: ADDRESS, port: frontPort }, ready: { address: ADDRESS, port: readyPort }, directory: { address: ADDRESS, port: directoryPort } }
  writeFileSync(bootFile, formatBootText({ entry: toBrand(`front-${index}`), zone: toBrand(`zone-${index}`), address: ADDRESS, listen, internalPorts: [peerPort, peerPort], store: { address: ADDRESS, port: store.port }, graceMs: GRACE_MS, ...BOUNDS }))
  const redirection = writePortRedirection(folder, redirected)
  let child: ChildProcess | undefined
  let isExpectedEnd = false
  let output = ''

  const isReady = () => fetch(`http://${ADDRESS}:${readyPort}/ready`).then(({ status }) => status === 200, () => false)
  const watchOutput = (chunk: Buffer): void => {
    const text = chunk.toString()
    if (keys.some((key) => text.includes(key))) events.add({ type: 'key-shown', atMs: events.nowMs(), entry: index })
    output = (output + text).slice(-MAX_OUTPUT_CHARACTERS)
  }
  return {
    frontPort,
    directoryPort,
    relays,
    async start () {
      isExpectedEnd = false
      const env = { PATH: process.env.PATH, HOME: process.env.HOME, MEDLARCOVE_BOOT: bootFile, ...redirection.env }
      const started = spawn(process.execPath, [...redirection.args, '--max-old-space-size=256', 'target/start.cjs'], { cwd: buildFolder, env, stdio: ['ignore', 'pipe', 'pipe'] })
      child = started
      running.add(started)
      for (const stream of [started.stdout, started.stderr]) stream.on('data', watchOutput)
      started.on('exit', (code, signal) => {
        running.delete(started)
        if (!isExpectedEnd) events.add({ type: 'entry-ended', atMs: events.nowMs(), entry: index, detail: `exit code ${code}, signal ${signal}: ${output}` })
      })
      const endMs = performance.now() + READY_TIMEOUT_MS
      while (!await isReady() && performance.now() < endMs && started.exitCode === null) await wait(POLL_MS)
    },
    signal: (signal) => { child?.kill(signal) },
    async waitForExit () {
      const started = child
      if (started && started.exitCode === null && started.signalCode === null) await once(started, 'exit')
    },
    setExpectedEnd (isExpected) { isExpectedEnd = isExpected }
  }
}

/** Starts the system of a plan with the build in a folder. */
export async function startSystem (plan: SoakPlan, options: { buildFolder: string, events: EventLog, random: () => number }): Promise<SoakSystem> {
  const { buildFolder, events, random } = options
  const store = await startPlatformStore()
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-soak-'))
  store.put('keyed.op', 'config', describeConfiguration(plan, 1))
  const targets: SoakTarget[] = []
  for (const [service, each] of plan.services.entries()) {
    for (let count = 0; count < each.targetCount; count++) targets.push(await startTarget({ index: targets.length, port: await findFreePort(), service, plan: each, store, events, random }))
  }
  const entries: SoakEntry[] = []
  for (let index = 0; index < plan.entryCount; index++) entries.push(await createEntry({ index, buildFolder, folder, store, targets, events, keys: plan.customers.map(({ key }) => key) }))
  await Promise.all(entries.map((entry) => entry.start()))
  return {
    store,
    targets,
    entries,
    async close () {
      for (const entry of entries) {
        entry.setExpectedEnd(true)
        entry.signal('SIGKILL')
      }
      await Promise.all(entries.map((entry) => entry.waitForExit()))
      for (const target of targets) target.close()
      await Promise.all(entries.flatMap(({ relays }) => relays.map((relay) => relay.close())))
      store.close()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
