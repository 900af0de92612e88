import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import type { BootSettings } from '../../src/platform/boot-file.ts'
import { toBrand } from '../../src/types.ts'
import type { EntryId } from '../../src/types.ts'
import { formatBootText } from '../../stand-ins/platform-boot.ts'
import type { PlatformStore } from '../../stand-ins/platform-store.ts'
import type { PlatformTarget } from '../../stand-ins/platform-target.ts'
import { writePortRedirection } from '../../stand-ins/port-redirection.ts'
import { startFaultRelay } from '../../stand-ins/fault-relay.ts'
import type { FaultRelay } from '../../stand-ins/fault-relay.ts'
import { PLATFORM_PROGRAM } from './gateway-program.ts'
import { buildSettings, findFreePort, waitFor } from './gateway-system.ts'

/** A gateway as a process that reaches the targets on paths of its own, which can be cut. */
export interface PartitionedGateway {
  settings: BootSettings
  getOutput(): string
  /** Cuts the process off from all targets. Open connections hang; new ones hang too, or are closed at once. */
  cut(newConnections: 'hang' | 'close'): void
  heal(): void
  close(): Promise<void>
}

const ADDRESS = '127.0.0.1'
/** Starts a gateway beside others that use the same store, and waits until it is ready. */
export async function startPartitionedGateway (store: PlatformStore, targets: readonly PlatformTarget[]): Promise<PartitionedGateway> {
  const ports: Record<number, number> = {}
  const relays: FaultRelay[] = []
  for (const target of targets) {
    const port = await findFreePort()
    ports[target.port] = port
    relays.push(await startFaultRelay({ address: ADDRESS, port }, { address: ADDRESS, port: target.port }))
  }
  const settings = await buildSettings(store, { entry: toBrand<EntryId>('front-cut') })
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-partition-'))
  const bootFile = path.join(folder, 'boot.conf')
  writeFileSync(bootFile, formatBootText(settings))
  const redirection = writePortRedirection(folder, ports)
  const env = { ...process.env, MEDLARCOVE_BOOT: bootFile, ...redirection.env }
  const child = spawn(process.execPath, [...redirection.args, ...PLATFORM_PROGRAM], { env, stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => { output += chunk.toString() })
  const exited = new Promise((resolve) => { child.once('exit', resolve) })
  const isReady = () => fetch(`http://${ADDRESS}:${settings.listen.ready.port}/ready`).then(({ status }) => status === 200, () => false)
  await waitFor(async () => child.exitCode !== null || await isReady())
  return {
    settings,
    getOutput: () => output,
    cut (newConnections) {
      for (const relay of relays) {
        relay.freezeOpen()
        if (newConnections === 'hang') relay.setFreezing(true)
        else relay.setRefusing(true)
      }
    },
    heal () {
      for (const relay of relays) {
        relay.setFreezing(false)
        relay.setRefusing(false)
        relay.closeFrozen()
      }
    },
    async close () {
      child.kill('SIGKILL')
      await exited
      for (const relay of relays) await relay.close()
      rmSync(folder, { recursive: true })
    }
  }
}
