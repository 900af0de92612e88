/**
 * The part of the demo on the platform's store: two entries, with stand-ins of the store and the targets.
 */
import { request } from 'undici'
import type { HostPort } from '../src/unicast-address.ts'
import { toBrand } from '../src/types.ts'
import type { EntryId, ZoneId } from '../src/types.ts'
import { formatBootText } from '../stand-ins/platform-boot.ts'
import { startPlatformStore } from '../stand-ins/platform-store.ts'
import type { PlatformStore } from '../stand-ins/platform-store.ts'
import { describeConfiguration, describeTarget, ROUTE_HOST, startPlatformTarget } from '../stand-ins/platform-target.ts'
import type { PlatformTarget } from '../stand-ins/platform-target.ts'
import { waitFor } from './programs.ts'
import type { Program } from './programs.ts'

/** A running entry of the demo. */
interface DemoEntry { id: string, address: string, program: Program }

/** Options of `runPlatformDemo`. */
export interface PlatformDemoOptions {
  /** The first three bytes of every address. */
  network: string
  /** Starts an entry with a boot file of this text; resolves when the entry has started. */
  startEntry(id: string, bootText: string): Promise<Program>
  /** Prints a line of the demo. */
  print(line: string): void
}

const STORE_HOST_NUMBER = 200
const FIRST_ENTRY_HOST_NUMBER = 201
const ENTRY_COUNT = 2
const TARGET_COUNT = 3
const PORTS = { front: 8144, ready: 8140, directory: 8143, internal: [7660, 7675] } as const
const STEP_TIMEOUT_MS = 10_000
const REQUESTS_AFTER_DRAIN = 20

let attemptCount = 0

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
  const response = await request(`http://${entry.address}:${PORTS.front}${path}`, {
    method, headers: { host: ROUTE_HOST, 'medlarcove-attempt-id': `demo-${++attemptCount}`, 'medlarcove-deadline-ms': '1500' }
  })
  await response.body.dump()
  return { status: response.statusCode, target: String(response.headers['medlarcove-response-signature']) }
}

async function readAddresses (entry: DemoEntry): Promise<string[]> {
  const response = await request(`http://${entry.address}:${PORTS.directory}/resolve?name=${ROUTE_HOST}&region=kyushu&zone=kyu-a`)
  return response.statusCode === 200 ? (await response.body.json() as { addresses: string[] }).addresses : (await response.body.dump(), [])
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
    const address = `${options.network}.${FIRST_ENTRY_HOST_NUMBER + index}`
    const program = await options.startEntry(id, createBootText(id, address, { address: storeAddress, port: store.port }))
    return { id, address, program }
  }))
}

/** Runs and prints the steps; returns the number of failed steps. */
async function runSteps (options: PlatformDemoOptions, store: PlatformStore, targets: PlatformTarget[], entries: DemoEntry[]): Promise<number> {
  const [first, second] = entries as [DemoEntry, DemoEntry]
  const [drainedTarget] = targets as [PlatformTarget]
  let failedStepCount = 0
  const check = (title: string, isOk: boolean, details: string): void => {
    options.print(`  ${isOk ? 'ok   ' : 'WRONG'} ${title}: ${details}`)
    if (!isOk) failedStepCount += 1
  }
  check('each entry lists the other', true, (await waitForAddresses(first, ENTRY_COUNT)).join(' '))
  const lookup = await sendRequest(first, '/safe/slots/12', 'GET')
  check('a lookup through the first entry', lookup.status === 200, `${lookup.status} from ${lookup.target}`)
  const booking = await sendRequest(second, '/unsafe/slots/12', 'POST')
  check('a booking through the second entry', booking.status === 200, `${booking.status} from ${booking.target}`)
  store.put('keyed.servers', drainedTarget.id, describeTarget(drainedTarget, { state: 'draining', sequence: 2 }))
  await new Promise((resolve) => setTimeout(resolve, 2_000))
  const countBefore = drainedTarget.receivedAttempts.length
  for (let index = 0; index < REQUESTS_AFTER_DRAIN; index++) await sendRequest(entries[index % ENTRY_COUNT]!, '/safe/slots/12', 'GET')
  check('a draining target receives nothing more', drainedTarget.receivedAttempts.length === countBefore, `${drainedTarget.receivedAttempts.length - countBefore} of ${REQUESTS_AFTER_DRAIN} requests`)
  const exitCode = first.program.stop()
  check('a stopping entry is removed from the listed addresses', true, (await waitForAddresses(second, 1)).join(' '))
  check('it exits by itself', await exitCode === 0, `exit code ${await exitCode}`)
  const laterBooking = await sendRequest(second, '/unsafe/slots/13', 'POST')
  check('the other entry keeps serving', laterBooking.status === 200, `${laterBooking.status} from ${laterBooking.target}`)
  return failedStepCount
}

/** Starts the stand-ins and entries, runs the steps and stops everything again; returns the number of failed steps. */
export async function runPlatformDemo (options: PlatformDemoOptions): Promise<number> {
  const storeAddress = `${options.network}.${STORE_HOST_NUMBER}`
  const store = await startPlatformStore(storeAddress)
  const targets = await Promise.all(Array.from({ length: TARGET_COUNT }, (_, index) => startPlatformTarget(`i-${index + 1}`)))
  store.put('keyed.op', 'config', describeConfiguration(1))
  for (const target of targets) store.put('keyed.servers', target.id, describeTarget(target))
  options.print(`\nOn the platform's store: ${TARGET_COUNT} targets and ${ENTRY_COUNT} entries without disks.`)
  let entries: DemoEntry[] = []
  try {
    entries = await startEntries(options, store, storeAddress)
    return await runSteps(options, store, targets, entries)
  } finally {
    await Promise.all(entries.map(({ program }) => program.stop()))
    store.close()
    for (const { server } of targets) {
      server.close()
      server.closeAllConnections()
    }
  }
}
