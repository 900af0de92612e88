import { connect } from 'node:net'
import { err } from 'neverthrow'
import { afterEach, expect, test, vi } from 'vitest'
import { encodeFrame, MAX_FRAME_BYTES } from '../src/connection/frame-codec.ts'
import { computeLinkTiming } from '../src/connection/peer-link.ts'
import { createError } from '../src/errors.ts'
import type { ForwardedRequest, PeerMessage } from '../src/process/membership/peer-mesh.ts'
import type { TcpPeerMesh } from '../src/process/membership/tcp-peer-mesh.ts'
import { toBrand } from '../src/types.ts'
import type { Offset } from '../src/types.ts'
import { startFaultRelay } from '../stand-ins/fault-relay.ts'
import type { FaultRelay } from '../stand-ins/fault-relay.ts'
import { createFakeHostList, createIdentity, createTestMesh, PEER_PORT, toListed } from './support/mesh.ts'

const LISTEN_OFFSET = 20
const POLL_OPTIONS = { timeout: 20_000, interval: 10 }
const closers: (() => Promise<void>)[] = []
afterEach(async () => {
  for (const close of closers.splice(0)) await close()
})

async function startMesh (mesh: TcpPeerMesh): Promise<TcpPeerMesh> {
  closers.push(() => mesh.close())
  expect((await mesh.start()).isOk()).toBe(true)
  return mesh
}

function getState (mesh: TcpPeerMesh, index: number): string | undefined {
  return mesh.listPeers().find((peer) => peer.id === `entry-${index}`)?.state
}

const request: ForwardedRequest = {
  customer: toBrand('millers'),
  service: toBrand('slots'),
  method: 'POST',
  path: '/charge',
  headers: { 'idempotency-key': 'k1' },
  body: new TextEncoder().encode('{}'),
  remainingMs: 5_000
}

test('entries connect to each other, deliver messages and report contract offsets', async () => {
  const identities = [0, 1, 2].map((index) => createIdentity(index))
  const list = createFakeHostList(identities.map((entry) => toListed(entry)))
  const [first, second, third] = await Promise.all(identities.map((entry) => startMesh(createTestMesh(entry, list))))
  for (const mesh of [first!, second!, third!]) {
    await expect.poll(() => mesh.listLiveEntries(), POLL_OPTIONS).toEqual(['entry-0', 'entry-1', 'entry-2'])
  }
  const seen: [string, PeerMessage][] = []
  third!.watchMessages((from, message) => seen.push([from, message]))
  first!.sendTo(toBrand('entry-2'), { type: 'contract-pull', from: toBrand<Offset>(7) })
  first!.setContractOffset(toBrand<Offset>(41))
  await expect.poll(() => seen, POLL_OPTIONS).toEqual([['entry-0', { type: 'contract-pull', from: 7 }]])
  await expect.poll(() => third!.listPeers().find((peer) => peer.id === 'entry-0')?.contractOffset, POLL_OPTIONS).toBe(41)
  expect(first!.report().malformedFrames + first!.report().refused).toBe(0)
})

test('a forwarded request gets its response; without a link, or over the frame limit, it fails as never sent', async () => {
  const identities = [0, 1].map((index) => createIdentity(index))
  const list = createFakeHostList(identities.map((entry) => toListed(entry)))
  const [first, second] = await Promise.all(identities.map((entry) => startMesh(createTestMesh(entry, list))))
  second!.handleForwards(async (received) => ({ status: 201, headers: { at: received.path }, body: received.body, fate: 'ran' }))
  await expect.poll(() => getState(first!, 1), POLL_OPTIONS).toBe('live')
  const response = (await first!.forwardRequest(toBrand('entry-1'), request))._unsafeUnwrap()
  expect({ ...response, body: Buffer.from(response.body).toString() }).toEqual({ status: 201, headers: { at: '/charge' }, body: '{}', fate: 'ran' })
  expect((await first!.forwardRequest(toBrand('entry-9'), request))._unsafeUnwrapErr().kind).toBe('peer-unreachable')
  const tooLarge = { ...request, body: new Uint8Array(MAX_FRAME_BYTES) }
  expect((await first!.forwardRequest(toBrand('entry-1'), tooLarge))._unsafeUnwrapErr().kind).toBe('peer-unreachable')
  expect(getState(first!, 1)).toBe('live')
})

test('a forwarded request whose link breaks fails as possibly run', async () => {
  const identities = [0, 1].map((index) => createIdentity(index))
  const list = createFakeHostList(identities.map((entry) => toListed(entry)))
  const [first, second] = await Promise.all(identities.map((entry) => startMesh(createTestMesh(entry, list))))
  let isReceived = false
  second!.handleForwards(() => {
    isReceived = true
    return new Promise(() => {})
  })
  await expect.poll(() => getState(first!, 1), POLL_OPTIONS).toBe('live')
  const forwarding = first!.forwardRequest(toBrand('entry-1'), request)
  await expect.poll(() => isReceived, POLL_OPTIONS).toBe(true)
  await second!.close()
  expect((await forwarding)._unsafeUnwrapErr().kind).toBe('peer-broken')
})

test('a leaving entry stays leaving although the list shows it as live, until a later incarnation replaces it', async () => {
  const identities = [0, 1].map((index) => createIdentity(index))
  const list = createFakeHostList(identities.map((entry) => toListed(entry)))
  const [first, second] = await Promise.all(identities.map((entry) => startMesh(createTestMesh(entry, list))))
  await expect.poll(() => getState(first!, 1), POLL_OPTIONS).toBe('live')
  second!.markLeaving()
  await expect.poll(() => getState(first!, 1), POLL_OPTIONS).toBe('leaving')
  await vi.waitFor(() => expect(second!.report().traffic.receivedFrames).toBeGreaterThan(10), POLL_OPTIONS)
  expect(first!.listLiveEntries()).toEqual(['entry-0'])
  await second!.close()
  await expect.poll(() => getState(first!, 1), POLL_OPTIONS).toBe('gone')
  await startMesh(createTestMesh(createIdentity(1, 2), list))
  await expect.poll(() => getState(first!, 1), POLL_OPTIONS).toBe('live')
})

test('an earlier incarnation that resumes is rejected and notified that it has been replaced', async () => {
  const list = createFakeHostList([toListed(createIdentity(0))])
  const first = await startMesh(createTestMesh(createIdentity(0), list))
  await startMesh(createTestMesh(createIdentity(1, 2), list))
  await expect.poll(() => getState(first, 1), POLL_OPTIONS).toBe('live')
  const earlier = await startMesh(createTestMesh({ ...createIdentity(1, 1), address: createIdentity(5).address }, list))
  await expect.poll(() => getState(earlier, 1), POLL_OPTIONS).toBe('leaving')
  expect(first.listPeers().find((peer) => peer.id === 'entry-1')?.incarnation).toBe(createIdentity(1, 2).incarnation)
})

test('during an outage of the host list an entry starts from a seed, finds the other entries through it and keeps its peers', async () => {
  const identities = [0, 1, 2].map((index) => createIdentity(index))
  const list = createFakeHostList(identities.slice(0, 2).map((entry) => toListed(entry)))
  const [first, second] = await Promise.all(identities.slice(0, 2).map((entry) => startMesh(createTestMesh(entry, list))))
  await expect.poll(() => getState(first!, 1), POLL_OPTIONS).toBe('live')
  const noList = { readHosts: async () => err(createError('host-list-unavailable', 'down')) }
  list.readHosts = noList.readHosts
  const { address, peerPort } = identities[0]!
  const third = await startMesh(createTestMesh(identities[2]!, noList, { seeds: [{ address, peerPort }] }))
  for (const mesh of [first!, second!, third]) {
    await expect.poll(() => mesh.listLiveEntries(), POLL_OPTIONS).toEqual(['entry-0', 'entry-1', 'entry-2'])
    await expect.poll(() => mesh.report().listFailures, POLL_OPTIONS).toBeGreaterThan(0)
  }
})

test('peers without the key are rejected and counted', async () => {
  const list = createFakeHostList([0, 1].map((index) => toListed(createIdentity(index))))
  const first = await startMesh(createTestMesh(createIdentity(0), list))
  const stranger = await startMesh(createTestMesh(createIdentity(1), list, { peerKey: 'another key' }))
  await expect.poll(() => Math.min(stranger.report().refused, first.report().refused), POLL_OPTIONS).toBeGreaterThan(0)
  expect(first.listLiveEntries()).toEqual(['entry-0'])
})

test('connections that send malformed or oversized frames are closed and counted, and the mesh keeps working', async () => {
  const identities = [0, 1].map((index) => createIdentity(index))
  const list = createFakeHostList(identities.map((entry) => toListed(entry)))
  const [first, second] = await Promise.all(identities.map((entry) => startMesh(createTestMesh(entry, list))))
  const garbage = [Buffer.from('GET / HTTP/1.1\r\n\r\n'), Buffer.from([0, 16, 0, 0]), encodeFrame({ type: 'hello' }), encodeFrame([1, 2, 3]), Buffer.alloc(4)]
  for (const bytes of garbage) {
    const socket = connect({ host: identities[0]!.address, port: PEER_PORT })
    socket.on('error', () => {})
    socket.write(bytes)
    await new Promise<void>((resolve) => socket.once('close', () => resolve()).resume())
  }
  expect(first!.report().refused).toBe(garbage.length)
  await expect.poll(() => second!.listLiveEntries(), POLL_OPTIONS).toEqual(['entry-0', 'entry-1'])
})

/** Starts two meshes that are connected only through relays, whichever dials. */
async function startRelayedPair (): Promise<{ meshes: [TcpPeerMesh, TcpPeerMesh], relays: [FaultRelay, FaultRelay] }> {
  const identities = [0, 1].map((index) => createIdentity(index))
  const list = createFakeHostList(identities.map((entry) => toListed(entry)))
  const started = identities.map(async (self, index) => {
    const listenAddress = createIdentity(LISTEN_OFFSET + index).address
    const relay = await startFaultRelay({ address: self.address, port: PEER_PORT }, { address: listenAddress, port: PEER_PORT })
    closers.push(() => relay.close())
    return { relay, mesh: await startMesh(createTestMesh(self, list, { listenAddress })) }
  })
  const [first, second] = await Promise.all(started)
  await expect.poll(() => [getState(first!.mesh, 1), getState(second!.mesh, 0)], POLL_OPTIONS).toEqual(['live', 'live'])
  return { meshes: [first!.mesh, second!.mesh], relays: [first!.relay, second!.relay] }
}

for (const fault of ['freezeOpen', 'dropAnswersOnOpen'] as const) {
  test(`a link that goes silent by ${fault} is replaced by a new one, and the peer stays live`, async () => {
    const { meshes, relays } = await startRelayedPair()
    const changes: string[] = []
    for (const mesh of meshes) mesh.watchEntries((live) => changes.push(live.join(' ')))
    for (const relay of relays) relay[fault]()
    // One end may detect and replace the silent link before the other does.
    await expect.poll(() => Math.max(...meshes.map((mesh) => mesh.report().silentLinks)), POLL_OPTIONS).toBeGreaterThan(0)
    const arrived = new Set<string>()
    for (const mesh of meshes) mesh.watchMessages((from) => arrived.add(from))
    // Messages may be lost while the old link is open, so they are sent until they arrive.
    await expect.poll(() => {
      for (const mesh of meshes) mesh.broadcast({ type: 'contract-pull', from: toBrand<Offset>(1) })
      return [...arrived].sort()
    }, POLL_OPTIONS).toEqual(['entry-0', 'entry-1'])
    for (const mesh of meshes) await expect.poll(() => mesh.report().links, POLL_OPTIONS).toBe(1)
    expect(changes).toEqual([])
  })
}

test('an entry that cannot be reached by a new connection is suspect, and live again once one succeeds', async () => {
  const { meshes: [first, second], relays } = await startRelayedPair()
  for (const relay of relays) {
    relay.setRefusing(true)
    relay.freezeOpen()
  }
  await expect.poll(() => [getState(first, 1), getState(second, 0)], POLL_OPTIONS).toEqual(['suspect', 'suspect'])
  expect([first.listLiveEntries(), second.listLiveEntries()]).toEqual([['entry-0'], ['entry-1']])
  for (const relay of relays) relay.setRefusing(false)
  await expect.poll(() => [getState(first, 1), getState(second, 0)], POLL_OPTIONS).toEqual(['live', 'live'])
})

test('an entry sends at most 60 heartbeats a second in a fleet of any size, and a link is silent after three missed ones', () => {
  const base = { heartbeatMs: 200, silentAfterMs: 600, deadAfterMs: 4_000, handshakeTimeoutMs: 400 }
  for (let peers = 1; peers <= 1_000; peers++) {
    const timing = computeLinkTiming(base, peers)
    expect(peers * 1000 / timing.heartbeatMs).toBeLessThanOrEqual(60)
    expect(timing.silentAfterMs / timing.heartbeatMs).toBeCloseTo(3)
  }
  expect(computeLinkTiming(base, 5)).toEqual(base)
})
