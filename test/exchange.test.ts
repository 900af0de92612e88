import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { createHostClock } from '../src/clock.ts'
import { createTargetPool } from '../src/connection/target-pool.ts'
import { startExchange } from '../src/request/exchange.ts'
import { toBrand } from '../src/types.ts'
import type { RequestId } from '../src/types.ts'

const clock = createHostClock()
const servers: Server[] = []

afterEach(() => { for (const server of servers.splice(0)) server.close() })

async function startExchangeWith (respond: (socket: Socket) => void, body?: Uint8Array) {
  const server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => respond(socket))
  })
  servers.push(server)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const pool = createTargetPool({ target: { address: '127.0.0.1', port }, maxConnections: 1, clock })
  const request = { id: toBrand<RequestId>('r'), method: body ? 'POST' : 'GET', path: '/', headers: {}, body, firstByteTimeoutMs: 1_000, canSend: () => true }
  return startExchange(pool.acquireConnection({ requiresLiveness: false })!, request, clock)
}

function readEnd (exchange: Awaited<ReturnType<typeof startExchangeWith>>): Promise<string> {
  return new Promise((resolve) => {
    let text = ''
    exchange.pipe({
      write: (chunk) => { text += Buffer.from(chunk).toString(); return true },
      end: () => resolve(`complete: ${text}`),
      fail: (error) => resolve(error.kind)
    })
  })
}

const HEADS = {
  'without a length': 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
  'with a length and its last connection': 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\n',
  'with a length': 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'
}

for (const [name, head] of Object.entries(HEADS)) {
  test(`a response ${name} that is reset while it is paused is reported as truncated`, async () => {
    const exchange = await startExchangeWith((socket) => {
      socket.write(`${head}half`)
      setTimeout(() => socket.resetAndDestroy(), 20)
    })
    expect((await exchange.head).isOk()).toBe(true)
    await clock.wait(60)
    expect(await readEnd(exchange)).toBe('answer-truncated')
  })
}

test('a response without a length whose connection is closed normally while it is paused is complete', async () => {
  const exchange = await startExchangeWith((socket) => { socket.end(`${HEADS['without a length']}all of it`) })
  expect((await exchange.head).isOk()).toBe(true)
  await clock.wait(30)
  expect(await readEnd(exchange)).toBe('complete: all of it')
})

for (const [name, head] of Object.entries({ 'without a length': HEADS['without a length'], 'with a length': HEADS['with a length and its last connection'] })) {
  test(`a response ${name} whose connection ends right after its head does not end the process`, async () => {
    const exchange = await startExchangeWith((socket) => { socket.end(head) })
    expect((await exchange.head).isOk()).toBe(true)
    await clock.wait(30)
    expect(await readEnd(exchange)).toBe(name === 'with a length' ? 'answer-truncated' : 'complete: ')
  })
}

test('a response whose last part is paused when its connection ends is complete', async () => {
  const exchange = await startExchangeWith((socket) => { socket.end(`${HEADS['without a length']}all of it`) })
  expect((await exchange.head).isOk()).toBe(true)
  const parts: string[] = []
  const end = await new Promise<string>((resolve) => {
    exchange.pipe({
      write (chunk) {
        parts.push(Buffer.from(chunk).toString())
        setTimeout(() => exchange.resume(), 30)
        return false
      },
      end: () => resolve('complete'),
      fail: (error) => resolve(error.kind)
    })
  })
  expect([...parts, end]).toEqual(['all of it', 'complete'])
})

/** More than the operating system takes for a target that does not read, in bytes. */
const UPLOAD_BYTES = 40_000_000

/** Starts an upload whose target responds at once, without a length, and reads nothing more until `goOn`. */
function startEarlyUpload (bytes: number, goOn: (socket: Socket) => void) {
  return startExchangeWith((socket) => {
    socket.pause()
    goOn(socket)
  }, Buffer.alloc(bytes, 'x'))
}

// Guards against a part of a response that a caller gets as complete: its target closed its socket in the middle of an upload. Seen
// from here the connection ends in order, and is reset only when the next bytes of the upload arrive there.
for (const bytes of [300_000, UPLOAD_BYTES]) {
  for (const delayMs of [0, 5, 30]) {
    test(`a response without a length whose connection ends and is reset ${delayMs} ms later, in an upload of ${bytes} bytes, is reported as truncated`, async () => {
      const exchange = await startEarlyUpload(bytes, (socket) => {
        socket.end(`${HEADS['without a length']}half`)
        setTimeout(() => socket.resetAndDestroy(), delayMs)
      })
      expect((await exchange.head).isOk()).toBe(true)
      expect(await readEnd(exchange)).toBe('answer-truncated')
    })
  }
}

test('a response without a length that ends in order while the upload goes on is complete', async () => {
  const exchange = await startEarlyUpload(UPLOAD_BYTES, (socket) => { socket.end(`${HEADS['without a length']}all of it`) })
  expect((await exchange.head).isOk()).toBe(true)
  expect(await readEnd(exchange)).toBe('complete: all of it')
})

test('a response without a length that comes after the whole upload and ends in order is complete', async () => {
  const exchange = await startExchangeWith((socket) => {
    socket.resume()
    setTimeout(() => socket.end(`${HEADS['without a length']}all of it`), 30)
  }, Buffer.alloc(300_000, 'x'))
  expect((await exchange.head).isOk()).toBe(true)
  expect(await readEnd(exchange)).toBe('complete: all of it')
})
