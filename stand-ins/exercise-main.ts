/**
 * Exercises the bundled gateway during the build, so that the compiled code which the build writes contains the functions
 * that a restarted gateway runs first: reading the store, joining its peers and serving requests.
 *
 * Arguments: the path of the start program and the Node.js options to run it with.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import type { HostPort } from '../src/unicast-address.ts'
import { toBrand } from '../src/types.ts'
import type { EntryId, ZoneId } from '../src/types.ts'
import { formatBootText } from './platform-boot.ts'
import type { BootFields } from './platform-boot.ts'
import { startPlatformStore } from './platform-store.ts'
import type { PlatformStore } from './platform-store.ts'
import { describeConfiguration, describeTarget, ROUTE_HOST, sendCompleteResponse, startPlatformTarget } from './platform-target.ts'
import type { PlatformTarget } from './platform-target.ts'

const ADDRESS = '127.0.0.1'
const ENTRY_IDS = ['front-1', 'front-2'] as const
const TARGET_COUNT = 4
const REQUEST_COUNT = 240
const GRACE_MS = 1_500
const READY_POLL_MS = 20
const READY_TIMEOUT_MS = 10_000
/** Every request to the first target whose number is divisible by this is rejected, so that retries run too. */
const REJECTED_SHARE = 5
const STATUS_OK = 200
const STATUS_UNAVAILABLE = 503
const REQUEST_KINDS = [
  { method: 'GET', path: '/safe/a' },
  { method: 'POST', path: '/unsafe/a', body: 'a booking' },
  { method: 'GET', path: '/download/a' }
] as const satisfies readonly ExerciseRequest[]

async function findFreePort (): Promise<number> {
  const server = createServer()
  server.listen(0, ADDRESS)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}

async function createBootFields (id: string, storePort: number, peerPort: number): Promise<BootFields> {
  const findEndpoint = async (): Promise<HostPort> => ({ address: ADDRESS, port: await findFreePort() })
  return {
    entry: toBrand<EntryId>(id),
    zone: toBrand<ZoneId>('kyu-a'),
    address: ADDRESS,
    listen: { front: await findEndpoint(), ready: await findEndpoint(), directory: await findEndpoint() },
    internalPorts: [peerPort, peerPort],
    store: { address: ADDRESS, port: storePort },
    graceMs: GRACE_MS
  }
}

async function startTarget (id: string, isRejecting: boolean): Promise<PlatformTarget> {
  let count = 0
  return await startPlatformTarget(id, (target, incoming, outgoing) => {
    count += 1
    if (isRejecting && count % REJECTED_SHARE === 0) outgoing.writeHead(STATUS_UNAVAILABLE, { 'medlarcove-not-executed': '1' }).end()
    else sendCompleteResponse(target, incoming, outgoing)
  })
}

/** Options of `sendRequest`. */
interface ExerciseRequest { method?: string, path: string, body?: string, headers?: Record<string, string> }

const agent = new Agent({ keepAlive: true })

/** Sends a request and reads the response to its end; returns its status. */
async function sendRequest ({ address, port }: HostPort, { method = 'GET', path: requestPath, body, headers = {} }: ExerciseRequest): Promise<number> {
  const outgoing = request({ host: address, port, agent, method, path: requestPath, headers })
  outgoing.end(body)
  const [response] = await once(outgoing, 'response') as [IncomingMessage]
  response.resume()
  await once(response, 'end')
  return response.statusCode ?? 0
}

async function waitUntilReady ({ listen }: BootFields): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS
  while (performance.now() < endMs) {
    // Until the gateway listens, the connection is refused.
    const status = await sendRequest(listen.ready, { path: '/ready' }).catch(() => 0)
    if (status === STATUS_OK) return
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS))
  }
  throw new Error('the gateway was not ready in time')
}

async function sendRequests ({ listen }: BootFields): Promise<void> {
  for (let index = 0; index < REQUEST_COUNT; index++) {
    const headers = { host: ROUTE_HOST, 'medlarcove-attempt-id': `exercise-${index}`, 'medlarcove-deadline-ms': '1500' }
    await sendRequest(listen.front, { ...REQUEST_KINDS[index % REQUEST_KINDS.length]!, headers })
  }
  await sendRequest(listen.directory, { path: `/resolve?name=${ROUTE_HOST}&region=kyushu&zone=kyu-a` })
}

/** Starts the stand-ins and two gateways, of which the first writes its compiled code when it exits, and sends requests. */
async function runExercise (program: string, nodeOptions: readonly string[]): Promise<void> {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-exercise-'))
  const store: PlatformStore = await startPlatformStore()
  const targets = await Promise.all(Array.from({ length: TARGET_COUNT }, (_, index) => startTarget(`i-${index + 1}`, index === 0)))
  const children: ChildProcess[] = []
  try {
    store.put('keyed.op', 'config', describeConfiguration(1))
    for (const target of targets) store.put('keyed.servers', target.id, describeTarget(target))
    const entries = await Promise.all(ENTRY_IDS.map(async (id) => createBootFields(id, store.port, await findFreePort())))
    for (const [index, entry] of entries.entries()) {
      const bootFile = path.join(folder, `${entry.entry}.conf`)
      writeFileSync(bootFile, formatBootText(entry))
      const args = [...nodeOptions, program, ...(index === 0 ? ['--write-code'] : [])]
      children.push(spawn(process.execPath, args, { env: { ...process.env, MEDLARCOVE_BOOT: bootFile }, stdio: ['ignore', 'ignore', 'inherit'] }))
    }
    await Promise.all(entries.map(waitUntilReady))
    for (const entry of entries) await sendRequests(entry)
    const [writer] = children as [ChildProcess]
    const exited = once(writer, 'exit')
    writer.kill('SIGTERM')
    const [exitCode] = await exited
    if (exitCode !== 0) throw new Error(`the gateway exited with ${exitCode}`)
  } finally {
    for (const child of children) child.kill('SIGKILL')
    store.close()
    for (const { server } of targets) {
      server.close()
      server.closeAllConnections()
    }
    rmSync(folder, { recursive: true })
  }
}

const [program = '', ...nodeOptions] = process.argv.slice(2)
runExercise(program, nodeOptions).catch((cause: unknown) => {
  console.error(`exercise: ${cause instanceof Error ? cause.message : String(cause)}`)
  process.exitCode = 1
})
