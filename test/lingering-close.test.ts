import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { createLingeringCloses, MAX_LINGER_MS } from '../src/connection/lingering-close.ts'
import type { BootSettings } from '../src/platform/boot-file.ts'
import { describeConfiguration, ROUTE_HOST, startPlatformTarget } from '../stand-ins/platform-target.ts'
import { startGatewaySystem, waitFor } from './support/gateway-system.ts'
import type { GatewaySystem } from './support/gateway-system.ts'
import { connectCaller, formatRequest } from './support/pipelining-caller.ts'
import type { PipeliningCaller } from './support/pipelining-caller.ts'

/** More than a caller's socket takes while it doesn't read; the rest waits at the entry's. */
const LARGE_BYTES = 2_000_000
/** More than the entry accepts of a body. */
const OVERLONG_BYTES = 3_000_000
/** Bytes that are on their way when the entry closes have reached it after this time on the loopback interface, in ms. */
const ARRIVAL_MS = 100

/** Sizes of the responses of the target by path, in bytes. */
const BODY_BYTES = new Map([['/safe/large', LARGE_BYTES], ['/safe/ahead', 300_000], ['/safe/truncated', 200_000], ['/safe/endless', 200_000], ['/safe/unfinished', 200_000]])
const TRUNCATED_PATHS = new Set(['/safe/truncated', '/safe/endless'])
/** Their responses have no length. */
const UNMEASURED_PATHS = new Set(['/safe/endless', '/safe/unfinished'])

const open: { close(): unknown }[] = []

afterEach(async () => { for (const each of open.splice(0).reverse()) await each.close() })

function wait (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Starts an entry with one target. */
async function startSystem (changes: Partial<BootSettings> = {}): Promise<GatewaySystem> {
  const target = await startPlatformTarget('i-1', (self, incoming, outgoing) => {
    const body = Buffer.alloc(BODY_BYTES.get(incoming.url ?? '') ?? 0, 'x')
    outgoing.writeHead(200, {
      ...(UNMEASURED_PATHS.has(incoming.url ?? '') ? {} : { 'content-length': body.byteLength }),
      'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'],
      'medlarcove-response-signature': self.id,
      'medlarcove-upstream-load': self.load
    })
    if (TRUNCATED_PATHS.has(incoming.url ?? '')) outgoing.write(body.subarray(1), () => setTimeout(() => outgoing.destroy(), ARRIVAL_MS))
    else if (incoming.url === '/safe/unfinished') outgoing.write(body)
    else outgoing.end(body)
  })
  const system = await startGatewaySystem([target], changes)
  open.push(system)
  system.store.put('keyed.op', 'config', describeConfiguration(2, { timeout: '10s' }))
  await waitFor(() => system.log.some(({ message, fields }) => message === 'A configuration is in effect.' && fields.version === 2))
  return system
}

/** Sends a request for a large body, and reads nothing of the response until `resume`. */
async function requestLarge (system: GatewaySystem, headers = ''): Promise<PipeliningCaller> {
  const caller = await connectCaller(system)
  caller.socket.pause()
  caller.send(formatRequest('safe', 'large', { headers, deadlineMs: 3_000 }))
  await waitFor(() => system.log.some(({ part, fields }) => part === 'request' && fields.id === 'large' && fields.end === 'whole'))
  return caller
}

// Guards against the end of a download that is thrown away, since its caller sends a request while it is on its way (review/12).
test('a planned stop cuts no response whose caller sends further requests before it has read it', async () => {
  const system = await startSystem()
  const stopped = system.gateway.stop('test')
  const caller = await requestLarge(system)
  caller.send(formatRequest('safe', 'crossing'))
  await wait(ARRIVAL_MS)
  caller.socket.resume()
  const responses = await caller.waitForClose()
  expect(responses.map(({ status, isLast, body }) => [status, isLast, body.length])).toEqual([[200, true, LARGE_BYTES]])
  await stopped
})

test('a response to a request that asks for the close reaches a caller that sends more', async () => {
  const system = await startSystem()
  const caller = await requestLarge(system, 'Connection: close\r\n')
  caller.send('x'.repeat(LARGE_BYTES))
  await wait(ARRIVAL_MS)
  caller.socket.resume()
  expect((await caller.waitForClose()).map(({ body }) => body.length)).toEqual([LARGE_BYTES])
})

test('a response reaches its caller when what follows on the connection is no request', async () => {
  const system = await startSystem()
  const caller = await requestLarge(system)
  caller.send('no request\r\n\r\n', 'x'.repeat(LARGE_BYTES))
  await wait(ARRIVAL_MS)
  caller.socket.resume()
  expect((await caller.waitForClose()).map(({ status, body }) => [status, body.length])).toEqual([[200, LARGE_BYTES], [400, 0]])
})

// Guards against a rejection that is thrown away while the caller still sends the body, as one that reads only then does.
test('a rejection reaches a caller that first sends the whole of a body that is too large', async () => {
  const system = await startSystem()
  const caller = await connectCaller(system)
  caller.socket.pause()
  caller.send(`POST /upload/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: a\r\nConnection: close\r\nContent-Length: ${OVERLONG_BYTES}\r\n\r\n`)
  for (let sent = 0; sent < OVERLONG_BYTES; sent += OVERLONG_BYTES / 10) {
    caller.send('x'.repeat(OVERLONG_BYTES / 10))
    await wait(ARRIVAL_MS / 10)
  }
  caller.socket.resume()
  expect((await caller.waitForClose()).map(({ status }) => status)).toEqual([413])
})

// Guards against a complete response that is thrown away with the truncated one behind it, while its caller sends further requests.
test('a truncated response cuts nothing of the complete one ahead of it', async () => {
  const system = await startSystem()
  const caller = await connectCaller(system)
  caller.socket.pause()
  caller.send(formatRequest('safe', 'ahead'))
  await waitFor(() => system.log.some(({ fields }) => fields.id === 'ahead' && fields.end === 'whole'))
  caller.send(formatRequest('safe', 'truncated'))
  await waitFor(() => system.log.some(({ fields }) => fields.id === 'truncated' && fields.end === 'broken'))
  caller.send(formatRequest('safe', 'crossing'))
  await wait(ARRIVAL_MS)
  caller.socket.resume()
  expect((await caller.waitForClose()).map(({ status, body }) => [status, body.length])).toEqual([[200, BODY_BYTES.get('/safe/ahead')]])
})

/** Sends a request by HTTP/1.0; returns the beginning of the response, and how its connection ends: with an error code, or `in order`. */
function readHttp10End (system: GatewaySystem, id: string): Promise<{ begin: string, end: string | undefined }> {
  const socket = connect(system.settings.listen.front.port, '127.0.0.1')
  open.push({ close: () => socket.destroy() })
  let begin = ''
  socket.on('data', (chunk: Buffer) => { begin ||= chunk.subarray(0, 12).toString() })
  socket.write(formatRequest('safe', id, { deadlineMs: 3_000 }).replace('HTTP/1.1', 'HTTP/1.0'))
  return new Promise((resolve) => {
    socket.on('error', ({ code }: NodeJS.ErrnoException) => resolve({ begin, end: code }))
    socket.on('close', () => resolve({ begin, end: 'in order' }))
  })
}

// Guards against a truncated response that its caller takes for complete: by HTTP/1.0 it ends with its connection.
test('a truncated response that would end with its connection resets it', async () => {
  expect(await readHttp10End(await startSystem(), 'endless')).toEqual({ begin: 'HTTP/1.1 200', end: 'ECONNRESET' })
})

test('a response that would end with its connection, and is not complete at the end of a stop, resets it', async () => {
  const system = await startSystem({ graceMs: 1_500 })
  const ended = readHttp10End(system, 'unfinished')
  await waitFor(() => system.targets.some(({ receivedAttempts }) => receivedAttempts.includes('unfinished')))
  await system.gateway.stop('test')
  expect(await ended).toEqual({ begin: 'HTTP/1.1 200', end: 'ECONNRESET' })
})

interface Pair { near: Socket, far: Socket }

/** Starts a plain server; each `connectPair` returns both ends of a new connection. */
async function startPairs () {
  const server = createServer({ allowHalfOpen: true })
  const fars: Socket[] = []
  await once(server.listen(0, '127.0.0.1'), 'listening')
  open.push({
    close () {
      server.close()
      for (const far of fars) far.destroy()
    }
  })
  return async (): Promise<Pair> => {
    const far = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
    fars.push(far)
    far.on('error', () => undefined)
    const [near] = await once(server, 'connection') as [Socket]
    near.on('error', () => undefined)
    return { near, far }
  }
}

test('a caller that never closes its half loses the connection after a bounded time', async () => {
  const clock = createTestClock()
  const closes = createLingeringCloses({ clock })
  const { near, far } = await (await startPairs())()
  closes.close(near, 'last')
  await once(far.resume(), 'end')
  await clock.advance(MAX_LINGER_MS - 1)
  expect([near.destroyed, closes.count()]).toEqual([false, 1])
  await clock.advance(1)
  expect(near.destroyed).toBe(true)
  await waitFor(() => closes.count() === 0)
})

test('a connection is closed as soon as the caller has closed its half', async () => {
  const closes = createLingeringCloses({ clock: createTestClock() })
  const { near, far } = await (await startPairs())()
  closes.close(near, 'last')
  far.write('too late')
  far.end()
  await waitFor(() => near.destroyed)
  expect(closes.count()).toBe(0)
})

test('the end of an entry closes the connections that still wait for their callers', async () => {
  const system = await startSystem()
  const socket = connect({ port: system.settings.listen.front.port, host: '127.0.0.1', allowHalfOpen: true })
  open.push({ close: () => socket.destroy() })
  socket.resume().write(formatRequest('safe', 'ahead', { headers: 'Connection: close\r\n' }))
  await once(socket, 'end')
  expect(await (await fetch(system.metricsUrl)).text()).toContain('medlarcove_closing_connections 1\n')
  await system.gateway.close()
  const failed = once(socket, 'error') as Promise<[NodeJS.ErrnoException]>
  while (socket.writable && !socket.destroyed) {
    socket.write('too late')
    await wait(ARRIVAL_MS / 10)
  }
  expect((await failed)[0].code).toMatch(/ECONNRESET|EPIPE/)
})

// Load: more callers than the bound never close; each holds a descriptor.
test('of too many callers that do not close, those lose the connection that have had most time', async () => {
  const maxLingering = 20
  const closes = createLingeringCloses({ clock: createTestClock(), maxLingering })
  const connectPair = await startPairs()
  const extra = 3
  const nears: Socket[] = []
  for (let index = 0; index < maxLingering + extra; index++) {
    const { near } = await connectPair()
    nears.push(near)
    closes.close(near)
  }
  expect(closes.count()).toBe(maxLingering)
  expect(nears.map(({ destroyed }) => destroyed).lastIndexOf(true)).toBe(extra - 1)
})
