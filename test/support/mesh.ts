import { ok } from 'neverthrow'
import { createHostClock } from '../../src/clock.ts'
import type { PeerIdentity } from '../../src/connection/peer-frames.ts'
import type { HostListClient, ListedHost } from '../../src/process/host-list-client.ts'
import { createPeerMesh } from '../../src/process/membership/tcp-peer-mesh.ts'
import type { PeerMeshOptions, TcpPeerMesh } from '../../src/process/membership/tcp-peer-mesh.ts'
import { toBrand } from '../../src/types.ts'
import type { EntryId, Incarnation, ZoneId } from '../../src/types.ts'
import { getLoopbackAddress } from './addresses.ts'

export const PEER_PORT = 7_100
export const CALLER_PORT = 7_000
const ZONES = 3
const FIRST_ADDRESS = 10

/** Returns the identity of entry number `index`, in its incarnation number `run`. */
export function createIdentity (index: number, run = 1): PeerIdentity {
  return {
    id: toBrand<EntryId>(`entry-${index}`),
    incarnation: toBrand<Incarnation>(`100${run}-${index}`),
    zone: toBrand<ZoneId>(`zone-${index % ZONES}`),
    address: getLoopbackAddress(FIRST_ADDRESS + index),
    port: CALLER_PORT,
    peerPort: PEER_PORT
  }
}

/** Returns an entry in the form of the platform's host list. */
export function toListed (entry: PeerIdentity, state: ListedHost['state'] = 'live'): ListedHost {
  const { id, address, port, peerPort, zone } = entry
  return { id, role: 'entry', address, port, peerPort, zone, state }
}

/** Creates a host list that a test changes directly. */
export function createFakeHostList (hosts: ListedHost[]): HostListClient & { hosts: ListedHost[] } {
  const list: HostListClient & { hosts: ListedHost[] } = { hosts, readHosts: async () => ok(list.hosts) }
  return list
}

/** Creates a mesh with short intervals. */
export function createTestMesh (self: PeerIdentity, hostList: HostListClient, options: Partial<PeerMeshOptions> = {}): TcpPeerMesh {
  return createPeerMesh({
    self,
    peerKey: 'a key for tests',
    hostList,
    clock: createHostClock(),
    timing: { heartbeatMs: 50, silentAfterMs: 400, deadAfterMs: 4_000, handshakeTimeoutMs: 400 },
    listPollMs: 50,
    redialMs: 40,
    maxRedialMs: 100,
    ...options
  })
}
