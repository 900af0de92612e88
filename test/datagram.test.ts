import { afterEach, expect, test } from 'vitest'
import { createHostClock, createTestClock } from '../src/clock.ts'
import { createDatagramCodec, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES } from '../src/connection/datagram-codec.ts'
import { openDatagramSocket } from '../src/connection/datagram-socket.ts'
import type { DatagramSocket } from '../src/connection/datagram-socket.ts'
import { formatGossipMessage, parseGossipMessage } from '../src/connection/gossip-frames.ts'
import type { GossipMessage } from '../src/connection/gossip-frames.ts'
import { createReceiveDelay } from '../src/connection/receive-delay.ts'
import type { MemberRecord } from '../src/process/gossip/member-record.ts'
import { toBrand } from '../src/types.ts'
import { findFreePort, waitFor } from './support/gateway-system.ts'

const RECORD: MemberRecord = {
  id: toBrand('front-1'),
  zone: toBrand('zone-a'),
  address: '10.0.0.1',
  port: 8_144,
  peerPort: 7_660,
  run: 1_800_000_000_000,
  version: 3,
  status: { isReady: true, isLeaving: false, isBusy: true, canReadStore: false, isCutOff: false, isPartlyCutOff: false }
}
const UPDATES = [{ record: { ...RECORD, id: toBrand('front-2') } as MemberRecord, liveness: 'suspect' as const }]

const open: DatagramSocket[] = []
afterEach(async () => { for (const socket of open.splice(0)) await socket.close() })

function createCodec (peerKey = 'key') {
  const clock = createTestClock()
  return { clock, codec: createDatagramCodec({ peerKey, clock }) }
}

function encode (message: unknown): Buffer[] {
  return createCodec().codec.encode(message)._unsafeUnwrap()
}

test('a message is the same after encoding and decoding, in one datagram or in many', () => {
  const { codec } = createCodec()
  for (const message of [{ a: 1 }, ['x', Buffer.from([1, 2])], 'y'.repeat(40_000)]) {
    const decoded = encode(message).map((datagram) => codec.decode(datagram, 's')._unsafeUnwrap())
    expect(decoded.slice(0, -1).every((value) => value === undefined)).toBe(true)
    expect(decoded.at(-1)).toEqual(message)
  }
})

test('no datagram is larger than the smallest packet of a network, and a message that needs too many is refused', () => {
  for (const datagram of encode('y'.repeat(40_000))) expect(datagram.length).toBeLessThanOrEqual(MAX_DATAGRAM_BYTES)
  expect(createCodec().codec.encode('y'.repeat(MAX_MESSAGE_BYTES))._unsafeUnwrapErr().kind).toBe('frame-malformed')
})

test('fragments that arrive twice or in another order give the message once', () => {
  const { codec } = createCodec()
  const [first, ...rest] = encode('y'.repeat(5_000)) as [Buffer, ...Buffer[]]
  const values = [...rest.reverse(), ...rest, first].map((datagram) => codec.decode(datagram, 's')._unsafeUnwrap())
  expect(values.filter((value) => value !== undefined)).toEqual(['y'.repeat(5_000)])
})

test('a message whose fragments come too late is dropped, and the messages that are kept are bounded', async () => {
  const { codec, clock } = createCodec()
  const [first, ...rest] = encode('y'.repeat(3_000)) as [Buffer, ...Buffer[]]
  codec.decode(first, 's')
  await clock.advance(3_000)
  codec.decode(encode('z'.repeat(3_000))[0]!, 'other')
  expect(rest.map((datagram) => codec.decode(datagram, 's')._unsafeUnwrap()).at(-1)).toBe(undefined)
  for (let sender = 0; sender < 100; sender++) codec.decode(encode('z'.repeat(3_000))[0]!, `sender-${sender}`)
  expect(rest.map((datagram) => codec.decode(datagram, 'sender-0')._unsafeUnwrap()).at(-1)).toBe(undefined)
})

test('a datagram with another key, a changed byte or a wrong length is refused', () => {
  const { codec } = createCodec()
  const [datagram] = encode({ a: 1 }) as [Buffer]
  const changed = Buffer.from(datagram)
  changed[changed.length - 1]! ^= 1
  expect(createCodec('other').codec.decode(datagram, 's')._unsafeUnwrapErr().kind).toBe('peer-refused')
  expect(codec.decode(changed, 's')._unsafeUnwrapErr().kind).toBe('peer-refused')
  for (const length of [0, 1, 16, 22]) expect(codec.decode(datagram.subarray(0, length), 's')._unsafeUnwrapErr().kind).toBe('frame-malformed')
})

test('each message of the membership is the same after its wire form', () => {
  const messages: GossipMessage[] = [
    { type: 'ping', sequence: 1, from: RECORD, digest: 7, updates: UPDATES, attachment: [['t', 1, 2]] },
    { type: 'ack', sequence: 1, from: RECORD, digest: 7, updates: [], attachment: null },
    { type: 'ping-request', sequence: 2, from: RECORD, target: { address: '10.0.0.9', port: 7_660 } },
    { type: 'sync-request', from: RECORD, digest: 4_294_967_295 },
    { type: 'sync', from: RECORD, updates: UPDATES },
    { type: 'broadcast', from: RECORD, isRelay: true, delayMs: 70, payload: { type: 'x' } }
  ]
  for (const message of messages) expect(parseGossipMessage(formatGossipMessage(message))._unsafeUnwrap()).toEqual(message)
})

test('a value that is no message of the membership is refused', () => {
  for (const value of [undefined, null, 1, {}, { t: 'p' }, { t: 'x', f: [] }, { t: 'q', f: ['', 'z', 'a', 1, 1, 0, 0, 0], h: 1 }]) {
    expect(parseGossipMessage(value)._unsafeUnwrapErr().kind).toBe('frame-malformed')
  }
})

test('a socket delivers messages, and counts and reports datagrams of unknown senders without ending', async () => {
  const clock = createHostClock()
  const [port, otherPort] = [await findFreePort(), await findFreePort()]
  const received: unknown[] = []
  const faults: string[] = []
  const openSocket = async (ownPort: number, peerKey: string) => {
    const socket = (await openDatagramSocket({ address: '127.0.0.1', port: ownPort, peerKey, clock, handleMessage: (message) => { received.push(message) }, handleFault: (message) => { faults.push(message) } }))._unsafeUnwrap()
    open.push(socket)
    return socket
  }
  const socket = await openSocket(port, 'key')
  const stranger = await openSocket(otherPort, 'other key')
  stranger.send({ address: '127.0.0.1', port }, 'wrong')
  await waitFor(() => socket.report().refused === 1)
  const friend = await openSocket(await findFreePort(), 'key')
  friend.send({ address: '127.0.0.1', port }, { whole: 'x'.repeat(5_000) })
  await waitFor(() => received.length === 1)
  expect(received).toEqual([{ whole: 'x'.repeat(5_000) }])
  expect(faults).toHaveLength(1)
  expect(faults[0]).toContain('different `peerKey`')
})

test('a message on which its handler fails does not end the process, and the next one is delivered', async () => {
  const received: unknown[] = []
  const faults: string[] = []
  const clock = createHostClock()
  const handleMessage = (message: unknown): void => {
    if (message === 'fatal') throw new Error('a fault of the handler')
    received.push(message)
  }
  const options = { address: '127.0.0.1', peerKey: 'a', clock, handleMessage, handleFault: (message: string) => { faults.push(message) } }
  const ports = [await findFreePort(), await findFreePort()] as const
  const sender = (await openDatagramSocket({ ...options, port: ports[0] }))._unsafeUnwrap()
  open.push(sender, (await openDatagramSocket({ ...options, port: ports[1] }))._unsafeUnwrap())
  for (const message of ['fatal', 'sound']) sender.send({ address: '127.0.0.1', port: ports[1] }, message)
  await waitFor(() => received.length > 0)
  expect(received).toEqual(['sound'])
  expect(faults).toEqual(['Handling a message failed: a fault of the handler'])
})

test('an address that is in use is an error of the settings', async () => {
  const clock = createHostClock()
  const options = { address: '127.0.0.1', port: await findFreePort(), peerKey: 'key', clock, handleMessage: () => undefined, handleFault: () => undefined }
  open.push((await openDatagramSocket(options))._unsafeUnwrap())
  expect((await openDatagramSocket(options))._unsafeUnwrapErr().kind).toBe('settings-invalid')
})

const waitForImmediates = () => new Promise((resolve) => { setImmediate(resolve) })

test('a datagram that is read after a pause of the process may have waited for it, until the socket has been read empty', async () => {
  const clock = createTestClock()
  const delay = createReceiveDelay(clock)
  await clock.advance(1_700)
  delay.runTick()
  for (let read = 0; read < 32; read++) delay.recordRead()
  expect(delay.getMs()).toBe(1_700)
  await waitForImmediates()
  expect(delay.getMs()).toBe(1_700)
  delay.runTick()
  delay.recordRead()
  await waitForImmediates()
  expect(delay.getMs()).toBe(0)
})

// Guards against an old message that counts as new because its reader was paused.
test('a message that waited while the process was busy says so', async () => {
  const BUSY_MS = 300
  const delays: number[] = []
  const options = { address: '127.0.0.1', peerKey: 'key', clock: createHostClock(), handleFault: () => undefined }
  const port = await findFreePort()
  const receiver = (await openDatagramSocket({ ...options, port, handleMessage: (_, delayMs) => { delays.push(delayMs) } }))._unsafeUnwrap()
  const sender = (await openDatagramSocket({ ...options, port: await findFreePort(), handleMessage: () => undefined }))._unsafeUnwrap()
  open.push(receiver, sender)
  sender.send({ address: '127.0.0.1', port }, 'old')
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BUSY_MS)
  await waitFor(() => delays.length === 1)
  expect(delays[0]).toBeGreaterThanOrEqual(BUSY_MS)
})

test('a datagram to a port out of range is counted as failed and ends nothing', async () => {
  const faults: string[] = []
  const socket = (await openDatagramSocket({ address: '127.0.0.1', port: await findFreePort(), peerKey: 'key', clock: createHostClock(), handleMessage: () => undefined, handleFault: (message) => faults.push(message) }))._unsafeUnwrap()
  open.push(socket)
  for (const port of [0, -1, 65_536, 1.5]) socket.send({ address: '127.0.0.1', port }, 'x')
  expect(socket.report().failed).toBe(4)
  expect(faults[0]).toContain('127.0.0.1:0 could not be sent')
})
