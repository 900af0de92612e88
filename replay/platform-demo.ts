/**
 * The demo's second path: two entries on the platform's store, with its stand-ins.
 */
import { request } from 'undici'
import type { HostPort } from '../src/platform/boot-file.ts'
import { toBrand } from '../src/types.ts'
import type { EntryId, ZoneId } from '../src/types.ts'
import { formatBootText } from '../stand-ins/platform-boot.ts'
import { startPlatformStore } from '../stand-ins/platform-store.ts'
import type { PlatformStore } from '../stand-ins/platform-store.ts'
import { describeConfiguration, describeTarget, HOST, startPlatformTarget } from '../stand-ins/platform-target.ts'
import type { PlatformTarget } from '../stand-ins/platform-target.ts'
import { waitFor } from './programs.ts'
import type { Program } from './programs.ts'

/** Where an entry of the demo is. */
interface DemoEntry { id: string, address: string, program: Program }

/** How to play the path. */
export interface PlatformDemoOptions {
  /** The first three bytes of every address. */
  network: string
  /** Starts an entry whose boot file has this text. */
  startEntry(id: string, bootText: string): Promise<Program>
  print(line: string): void
}

const STORE_HOST = 200
const FIRST_ENTRY_HOST = 201
const ENTRY_COUNT = 2
const TARGET_COUNT = 3
const PORTS = { front: 8144, ready: 8140, directory: 8143, internal: [7660, 7675] } as const
const STEP_TIMEOUT_MS = 10_000
const REQUESTS_AFTER_DRAIN = 20

let attempts = 0

function createBootText (id: string, address: string, store: HostPort): string {
  const [first, last] = PORTS.internal
  return formatBootText({
    entry: toBrand<EntryId>(id),
    zone: toBrand<ZoneId>('kyu-a'),
    address,
    listen: { front: { address, port: PORTS.front }, ready: { address, port: PORTS.ready }, directory: { address, port: PORTS.directory } },
    internalPorts: [first, last],
    store
  })
}

async function sendRequest (entry: DemoEntry, path: string, method: 'GET' | 'POST'): Promise<{ status: number, target: string }> {
  const answer = await request(`http://${entry.address}:${PORTS.front}${path}`, {
    method, headers: { host: HOST, 'medlarcove-attempt-id': `demo-${++attempts}`, 'medlarcove-deadline-ms': '1500' }
  })
  await answer.body.dump()
  return { status: answer.statusCode, target: String(answer.headers['medlarcove-response-signature']) }
}

async function readAddresses (entry: DemoEntry): Promise<string[]> {
  const answer = await request(`http://${entry.address}:${PORTS.directory}/resolve?name=${HOST}&region=kyushu&zone=kyu-a`)
  return answer.statusCode === 200 ? (await answer.body.json() as { addresses: string[] }).addresses : (await answer.body.dump(), [])
}

function waitForAddresses (entry: DemoEntry, count: number): Promise<string[]> {
  return waitFor(`${entry.id} lists ${count} entries`, STEP_TIMEOUT_MS, async () => {
    const addresses = await readAddresses(entry)
    return addresses.length === count ? addresses : undefined
  })
}

async function startEntries (options: PlatformDemoOptions, store: PlatformStore, storeAddress: string): Promise<DemoEntry[]> {
  return Promise.all(Array.from({ length: ENTRY_COUNT }, async (_, index) => {
    const id = `front-${index + 1}`
    const address = `${options.network}.${FIRST_ENTRY_HOST + index}`
    const program = await options.startEntry(id, createBootText(id, address, { address: storeAddress, port: store.port }))
    return { id, address, program }
  }))
}

/** Makes one path through the entries; returns how many steps went wrong. */
async function runPath (options: PlatformDemoOptions, store: PlatformStore, targets: PlatformTarget[], entries: DemoEntry[]): Promise<number> {
  const [first, second] = entries as [DemoEntry, DemoEntry]
  const [drained] = targets as [PlatformTarget]
  let faults = 0
  const check = (title: string, isRight: boolean, seen: string): void => {
    options.print(`  ${isRight ? 'ok   ' : 'WRONG'} ${title}: ${seen}`)
    if (!isRight) faults += 1
  }
  check('both entries know each other', true, (await waitForAddresses(first, ENTRY_COUNT)).join(' '))
  const lookup = await sendRequest(first, '/safe/slots/12', 'GET')
  check('a lookup through the first entry', lookup.status === 200, `${lookup.status} from ${lookup.target}`)
  const booking = await sendRequest(second, '/unsafe/slots/12', 'POST')
  check('a booking through the second entry', booking.status === 200, `${booking.status} from ${booking.target}`)
  store.put('keyed.servers', drained.id, describeTarget(drained, { state: 'draining', sequence: 2 }))
  await new Promise((resolve) => setTimeout(resolve, 2_000))
  const before = drained.seen.length
  for (let turn = 0; turn < REQUESTS_AFTER_DRAIN; turn++) await sendRequest(entries[turn % ENTRY_COUNT]!, '/safe/slots/12', 'GET')
  check('a draining target gets nothing more', drained.seen.length === before, `${drained.seen.length - before} of ${REQUESTS_AFTER_DRAIN} requests`)
  const exitCode = first.program.stop()
  check('a stopping entry leaves the addresses', true, (await waitForAddresses(second, 1)).join(' '))
  check('it ends by itself', await exitCode === 0, `exit code ${await exitCode}`)
  const after = await sendRequest(second, '/unsafe/slots/13', 'POST')
  check('the other goes on', after.status === 200, `${after.status} from ${after.target}`)
  return faults
}

/** Plays the path and ends everything it started; returns how many steps went wrong. */
export async function runPlatformDemo (options: PlatformDemoOptions): Promise<number> {
  const storeAddress = `${options.network}.${STORE_HOST}`
  const store = await startPlatformStore(storeAddress)
  const targets = await Promise.all(Array.from({ length: TARGET_COUNT }, (_, index) => startPlatformTarget(`i-${index + 1}`)))
  store.put('keyed.op', 'config', describeConfiguration(1))
  for (const target of targets) store.put('keyed.servers', target.id, describeTarget(target))
  options.print(`\nThe platform's path: a store, ${TARGET_COUNT} targets and ${ENTRY_COUNT} entries without disks.`)
  let entries: DemoEntry[] = []
  try {
    entries = await startEntries(options, store, storeAddress)
    return await runPath(options, store, targets, entries)
  } finally {
    await Promise.all(entries.map(({ program }) => program.stop()))
    store.close()
    for (const { server } of targets) {
      server.close()
      server.closeAllConnections()
    }
  }
}
