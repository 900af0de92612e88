import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import type { BootSettings } from '../../src/platform/boot-file.ts'
import { formatBootText } from '../../stand-ins/platform-boot.ts'
import { startPlatformStore } from '../../stand-ins/platform-store.ts'
import type { PlatformStore } from '../../stand-ins/platform-store.ts'
import { describeConfiguration, describeTarget, ROUTE_HOST, startPlatformTarget } from '../../stand-ins/platform-target.ts'
import type { PlatformTarget } from '../../stand-ins/platform-target.ts'
import { buildSettings, sendRaw, waitFor } from './gateway-system.ts'

/** The command of the deploy file, without `node`; the global setup of the tests builds it. */
export const PLATFORM_PROGRAM = ['--max-old-space-size=256', 'target/start.cjs']

/** A gateway as a process, with a store and one target. */
export interface GatewayProgram {
  child: ChildProcess
  exited: Promise<number | null>
  store: PlatformStore
  target: PlatformTarget
  settings: BootSettings
  bootFile: string
  getOutput(): string
  close(): void
}

/** Options of `startGatewayProgram`. */
export interface GatewayProgramOptions {
  program?: readonly string[]
  settings?: Partial<BootSettings>
  /** Writes further records before the gateway starts. */
  prepare?(store: PlatformStore, target: PlatformTarget): void
}

/** Starts a gateway as a process and waits until it is ready or has ended. */
export async function startGatewayProgram ({ program = PLATFORM_PROGRAM, settings: changes, prepare }: GatewayProgramOptions = {}): Promise<GatewayProgram> {
  const store = await startPlatformStore()
  const target = await startPlatformTarget('i-1')
  store.put('keyed.op', 'config', describeConfiguration(1))
  store.put('keyed.servers', 'i-1', describeTarget(target))
  prepare?.(store, target)
  const settings = await buildSettings(store, { graceMs: 1_200, ...changes })
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-gateway-'))
  const bootFile = path.join(folder, 'boot.conf')
  writeFileSync(bootFile, formatBootText(settings))
  const child: ChildProcess = spawn(process.execPath, program, { env: { ...process.env, MEDLARCOVE_BOOT: bootFile }, stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream?.on('data', (chunk: Buffer) => { output += chunk.toString() })
  const exited = new Promise<number | null>((resolve) => { child.once('exit', (code) => resolve(code)) })
  const readyUrl = `http://127.0.0.1:${settings.listen.ready.port}/ready`
  const isReady = () => fetch(readyUrl).then(({ status }) => status === 200, () => false)
  await waitFor(async () => child.exitCode !== null || await isReady())
  return {
    child,
    exited,
    store,
    target,
    settings,
    bootFile,
    getOutput: () => output,
    close () {
      child.kill('SIGKILL')
      store.close()
      target.server.closeAllConnections()
      target.server.close()
      rmSync(folder, { recursive: true })
    }
  }
}

/** Sends a request on the route `/safe/` on a connection of its own. */
export function sendSafeRequest (settings: BootSettings, id: string) {
  return sendRaw(settings.listen.front.port, `GET /safe/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: ${id}\r\nConnection: close\r\n\r\n`)
}
