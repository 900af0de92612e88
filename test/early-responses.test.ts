import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { createTargetPool } from '../src/connection/target-pool.ts'
import { drainResponse } from '../src/request/drain-response.ts'
import { startExchange } from '../src/request/exchange.ts'
import { toBrand } from '../src/types.ts'
import { describeConfiguration, ROUTE_HOST, sendCompleteResponse, startPlatformTarget } from '../stand-ins/platform-target.ts'
import { sendRaw, sendRequest, startGatewaySystem, waitFor } from './support/gateway-system.ts'
import type { GatewaySystem } from './support/gateway-system.ts'

/** More than the operating system takes for a target that does not read, in bytes. */
const UPLOAD_BYTES = 40_000_000
const MAX_FLUSH_MS = 10_000

const systems: GatewaySystem[] = []

afterEach(async () => { for (const system of systems.splice(0)) await system.close() })

async function readBodyMemory (system: GatewaySystem): Promise<number> {
  return Number(/^medlarcove_body_memory_bytes (\S+)$/m.exec(await (await fetch(system.metricsUrl)).text())?.[1])
}

/** Starts a gateway whose target responds to uploads early, and takes the rest of the body only when it is told. */
async function setup (status: number, headers: Record<string, string> = {}) {
  const early: { socket: Socket, receivedBytes: number, isComplete: boolean, startReading(): void }[] = []
  const target = await startPlatformTarget('i-1', (self, incoming, outgoing) => {
    if (!incoming.url?.startsWith('/upload/')) {
      sendCompleteResponse(self, incoming, outgoing)
      return
    }
    const upload = { socket: incoming.socket, receivedBytes: 0, isComplete: false, startReading: () => { incoming.resume() } }
    early.push(upload)
    incoming.on('data', (chunk: Buffer) => { upload.receivedBytes += chunk.byteLength })
    incoming.on('end', () => { upload.isComplete = true })
    incoming.once('data', () => {
      incoming.pause()
      outgoing.writeHead(status, { 'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'], 'medlarcove-response-signature': self.id, 'content-length': '0', ...headers }).end()
    })
  })
  const system = await startGatewaySystem([target])
  systems.push(system)
  const configuration = describeConfiguration(2, { timeout: '10s' })
  system.store.put('keyed.op', 'config', { ...configuration, limits: { ...configuration.limits, maxBodyBytes: UPLOAD_BYTES } })
  await waitFor(() => system.log.some(({ message, fields }) => message === 'A configuration is in effect.' && fields.version === 2))
  const sendUpload = (id: string) => sendRaw(system.settings.listen.front.port, `POST /upload/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: ${id}\r\nMedlarcove-Deadline-Ms: 9000\r\nContent-Length: ${UPLOAD_BYTES}\r\nConnection: close\r\n\r\n${'x'.repeat(UPLOAD_BYTES)}`, 9_000)
  return { system, target, early, sendUpload }
}

// Guards against an entry that goes beyond its memory by the bodies that targets have answered and not taken.
test.each([
  { response: 'a success', status: 200, headers: {} as Record<string, string> },
  { response: 'a rejection', status: 503, headers: { 'medlarcove-not-executed': '1' } as Record<string, string> }
])('after $response that comes early, the rest of the body counts as memory until the target has taken it whole, and no other request waits behind it', async ({ status, headers }) => {
  const { system, target, early, sendUpload } = await setup(status, headers)
  expect((await sendUpload('early')).text.slice(9, 12)).toBe(String(status))
  await waitFor(() => system.gateway.countInProgress() === 0)
  expect(await readBodyMemory(system)).toBe(UPLOAD_BYTES)
  const next = await sendRequest(system, '/unsafe/next', { method: 'POST' })
  expect(next.status).toBe(200)
  expect(target.receivedAttempts).toEqual(['early', next.id])
  for (const { startReading } of early) startReading()
  await waitFor(() => early.every(({ isComplete }) => isComplete))
  expect(early.map(({ receivedBytes }) => receivedBytes)).toEqual([UPLOAD_BYTES])
  await waitFor(async () => await readBodyMemory(system) === 0)
})

test('a target that closes its connection after an early response frees the memory of the body', async () => {
  const { system, early, sendUpload } = await setup(500)
  expect((await sendUpload('early')).text.slice(9, 12)).toBe('500')
  await waitFor(async () => await readBodyMemory(system) === UPLOAD_BYTES)
  for (const { socket } of early) socket.resetAndDestroy()
  await waitFor(async () => await readBodyMemory(system) === 0)
})

test('a target that responds early and never takes the rest of the body loses the connection after some time, which frees the memory', async () => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.pause()
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    })
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const clock = createTestClock()
  const pool = createTargetPool({ target: { address: '127.0.0.1', port: (server.address() as AddressInfo).port }, maxConnections: 1, clock })
  let flushedCount = 0
  const exchange = startExchange(pool.acquireConnection({ requiresLiveness: false })!, {
    id: toBrand('r'),
    method: 'POST',
    path: '/',
    headers: {},
    body: Buffer.alloc(UPLOAD_BYTES),
    firstByteTimeoutMs: 60_000,
    canSend: () => true,
    handleFlushed: () => { flushedCount += 1 }
  }, clock)
  expect((await exchange.head).isOk()).toBe(true)
  expect(await drainResponse(exchange, clock)).toBe(true)
  await clock.advance(MAX_FLUSH_MS - 1)
  expect([pool.countConnections(), flushedCount]).toEqual([{ open: 1, idle: 0 }, 0])
  await clock.advance(1)
  await waitFor(() => flushedCount === 1)
  expect(pool.countConnections()).toEqual({ open: 0, idle: 0 })
  server.close()
})

/** The link between the entry and its target passes this much of an upload every `PART_GAP_MS`, in bytes: 800 KB a second. */
const PART_BYTES = 8_000
const PART_GAP_MS = 10
const SLOW_UPLOAD_BYTES = 600_000
const EARLY_BODY_BYTES = 3_000

/** Passes the bytes of a caller's connection on to a port at a limited rate, and what comes back at once; a reset is passed on too. */
function startSlowLink (port: number) {
  return createServer({ allowHalfOpen: true }, (near) => {
    const far = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
    near.on('error', () => undefined)
    const resetNear = (): void => { near.resetAndDestroy() }
    // Node.js can't reset a connection while it is ending it.
    far.on('error', () => {
      if (near.writableEnded && !near.writableFinished) near.once('finish', resetNear)
      else resetNear()
    })
    far.on('data', (chunk) => near.write(chunk))
    const forwardPart = (): void => {
      const part: unknown = near.read(Math.min(PART_BYTES, near.readableLength))
      if (part instanceof Uint8Array) far.write(part)
    }
    far.on('end', () => {
      near.end()
      // The next part was on its way when the target ended the connection.
      forwardPart()
    })
    const timer = setInterval(forwardPart, PART_GAP_MS)
    near.on('readable', () => undefined)
    near.on('close', () => {
      clearInterval(timer)
      far.destroy()
    })
  })
}

/** Starts an entry with a target behind a slow link, which answers an upload at once, without a length, and then ends the connection. */
async function setupSlowUpload (endConnection: (socket: Socket) => void) {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined)
    socket.once('data', (data) => {
      const text = data.toString('latin1')
      if (text.startsWith('GET /health')) {
        socket.end('HTTP/1.1 200 OK\r\nMedlarcove-Instance-Id: i-1\r\nMedlarcove-Upstream-Load: 0,0,4,100\r\nConnection: close\r\nContent-Length: 0\r\n\r\n')
        return
      }
      const id = /medlarcove-attempt-id: (\S+)/i.exec(text)?.[1]
      socket.write(`HTTP/1.1 200 OK\r\nMedlarcove-Attempt-Id: ${id}\r\nMedlarcove-Response-Signature: i-1\r\nConnection: close\r\n\r\n${'y'.repeat(EARLY_BODY_BYTES)}`)
      endConnection(socket)
    })
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const link = startSlowLink((server.address() as AddressInfo).port)
  await once(link.listen(0, '127.0.0.1'), 'listening')
  const target = await startPlatformTarget('i-1')
  target.server.close()
  const system = await startGatewaySystem([Object.assign(target, { port: (link.address() as AddressInfo).port })])
  systems.push({ ...system, async close () { await system.close(); server.close(); link.close() } })
  const configuration = describeConfiguration(2, { timeout: '5s' })
  system.store.put('keyed.op', 'config', configuration)
  await waitFor(() => system.log.some(({ message, fields }) => message === 'A configuration is in effect.' && fields.version === 2))
  const head = `POST /upload/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: early\r\nMedlarcove-Deadline-Ms: 4000\r\nContent-Length: ${SLOW_UPLOAD_BYTES}\r\n\r\n`
  return { upload: () => sendRaw(system.settings.listen.front.port, head + 'x'.repeat(SLOW_UPLOAD_BYTES), 4_000) }
}

// Guards against a part of a response that the caller gets as complete: a target that closes its socket is seen to end in order at first.
test.each([
  { form: 'reset at once', endConnection: (socket: Socket) => { setTimeout(() => socket.resetAndDestroy(), 20) } },
  { form: 'closed after 5 ms', endConnection: (socket: Socket) => { setTimeout(() => socket.destroy(), 5) } },
  { form: 'closed after 30 ms', endConnection: (socket: Socket) => { setTimeout(() => socket.destroy(), 30) } },
  { form: 'closed after 100 ms', endConnection: (socket: Socket) => { setTimeout(() => socket.destroy(), 100) } }
])('an early response without a length whose connection is $form, in the middle of a slow upload, is truncated for the caller', async ({ endConnection }) => {
  const { upload } = await setupSlowUpload(endConnection)
  const { text, isClosed } = await upload()
  expect(isClosed).toBe(true)
  expect(text).not.toMatch(/\r\n0\r\n\r\n$/)
})

test('an early response without a length that ends in order, in the middle of a slow upload, is complete for the caller', async () => {
  const { upload } = await setupSlowUpload((socket) => { socket.end().resume() })
  const { text } = await upload()
  expect(text.startsWith('HTTP/1.1 200')).toBe(true)
  expect(text).toMatch(/\r\n0\r\n\r\n$/)
})
