/**
 * Cost of peer links and of the member table for one entry, by their size: bytes, processor time and memory.
 */
import { createServer } from 'node:net'
import { parseArgs } from 'node:util'
import { ok } from 'neverthrow'
import { startProgram } from '../replay/programs.ts'
import { createHostClock } from '../src/clock.ts'
import type { PeerIdentity } from '../src/connection/peer-frames.ts'
import { DEFAULT_LINK_TIMING, servePeerLink } from '../src/connection/peer-link.ts'
import { createMemberTable } from '../src/process/membership/member-table.ts'
import { createPeerMesh } from '../src/process/membership/tcp-peer-mesh.ts'
import { toBrand } from '../src/types.ts'
import type { EntryId, Incarnation, Offset, ZoneId } from '../src/types.ts'
import { createRow, measureRun, readOwnCpuMs, readUsedBytes } from './capacity-slope.ts'
import type { CapacityPoint, CapacityRow } from './capacity-slope.ts'

const PEER_KEY = 'a key for the capacity bench'
const PEER_PORT = 7_300
const CALLER_PORT = 7_000
const ZONE_COUNT = 36
const SETTLE_MS = 3_000
const MS_PER_SECOND = 1_000
const LINK_COUNTS = [6, 12, 24, 48]
const MEMBER_COUNTS = [6, 100, 1_000, 4_000]
/** Interval at which an entry goes through its member table: once for each heartbeat. */
const MAINTENANCE_INTERVAL_MS = DEFAULT_LINK_TIMING.heartbeatMs

function createPeer (network: string, index: number): PeerIdentity {
  return {
    id: toBrand<EntryId>(`entry-${String(index).padStart(5, '0')}`),
    incarnation: toBrand<Incarnation>(`1800000000000-${index}`),
    zone: toBrand<ZoneId>(`zone-${index % ZONE_COUNT}`),
    address: `${network}.${index % 250 + 1}`,
    port: CALLER_PORT,
    peerPort: PEER_PORT
  }
}

/** Runs peers that only keep their links alive, until the process is ended. */
export async function runCapacityPeers (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { network: { type: 'string' }, count: { type: 'string' } } })
  const clock = createHostClock()
  for (let index = 1; index <= Number(values.count); index++) {
    const self = createPeer(values.network ?? '', index)
    const events = { handleOpen: () => true, handleFrame: () => {}, handleBeat: () => {}, handleSilent: () => {}, handleMalformed: () => {} }
    const describeSelf = () => ({ offset: toBrand<Offset>(1), isLeaving: false, isBusy: false })
    const options = { self, peerKey: PEER_KEY, role: 'acceptor' as const, clock, getTiming: () => DEFAULT_LINK_TIMING, events, describeSelf }
    const server = createServer((socket) => { servePeerLink(socket, options).catch(console.error) })
    await new Promise<void>((resolve) => server.listen(self.peerPort, self.address, resolve))
  }
  console.log('peers listen')
  return new Promise(() => {})
}

async function measureLinks (network: string, count: number, lengthMs: number): Promise<CapacityPoint> {
  const program = await startProgram({
    name: 'peers', file: process.execPath, args: [process.argv[1] ?? '', 'capacity-peers', '--network', network, '--count', String(count)], readyText: 'listen'
  })
  const clock = createHostClock()
  const hosts = Array.from({ length: count }, (_, index) => ({ ...createPeer(network, index + 1), role: 'entry' as const, state: 'live' as const }))
  const beforeBytes = readUsedBytes()
  const mesh = createPeerMesh({ self: createPeer(network, 0), peerKey: PEER_KEY, clock, hostList: { readHosts: async () => ok(hosts) } })
  try {
    await mesh.start()
    await clock.wait(SETTLE_MS)
    const links = mesh.report().links
    if (links !== count) throw new Error(`${links} of ${count} peer links are open`)
    const usedBytes = readUsedBytes() - beforeBytes
    const [traffic, cpuMs, startMs] = [mesh.report().traffic, readOwnCpuMs(), clock.monotonicMs()]
    await clock.wait(lengthMs)
    const seconds = (clock.monotonicMs() - startMs) / MS_PER_SECOND
    const after = mesh.report().traffic
    return {
      size: count,
      figures: {
        sentBytesPerSecond: (after.sentBytes - traffic.sentBytes) / seconds,
        sentFramesPerSecond: (after.sentFrames - traffic.sentFrames) / seconds,
        cpuMsPerSecond: (readOwnCpuMs() - cpuMs) / seconds,
        memoryBytes: usedBytes
      }
    }
  } finally {
    await mesh.close()
    await program.stop()
  }
}

/** Measures the peer mesh of one entry at several numbers of links, each for `lengthMs`. */
export async function measurePeerLinks (network: string, lengthMs: number): Promise<CapacityRow> {
  const points: CapacityPoint[] = []
  for (const count of LINK_COUNTS) points.push(await measureLinks(network, count, lengthMs))
  return createRow('peers', 'link', points)
}

/** Measures the memory of the member table and the processor time of going through it once per heartbeat. */
export function measureMemberTable (): CapacityRow {
  const points = MEMBER_COUNTS.map((size) => {
    const beforeBytes = readUsedBytes()
    const table = createMemberTable({ self: createPeer('10.0.0', 0), clock: createHostClock() })
    for (let index = 1; index <= size; index++) table.applyContact(createPeer('10.0.0', index))
    const memoryBytes = readUsedBytes() - beforeBytes
    const flushMs = measureRun(20, () => {
      for (const fact of table.listFacts()) JSON.stringify(fact)
      table.listLive()
      table.listPeers()
    })
    return { size, figures: { cpuMsPerSecond: flushMs * MS_PER_SECOND / MAINTENANCE_INTERVAL_MS, memoryBytes } }
  })
  return createRow('member table', 'known entry', points)
}
