import { createHash, randomBytes } from 'node:crypto'
import { once } from 'node:events'
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { request } from 'undici'
import { afterEach, expect, test } from 'vitest'
import { startDataPath } from './support/data-path.ts'
import { createCallerConnection } from '../src/request/caller-connection.ts'
import { buildService } from './support/target-service.ts'

const stops: (() => void)[] = []

afterEach(() => { for (const stop of stops.splice(0)) stop() })

async function setup (listeners: RequestListener[], changes: Parameters<typeof startDataPath>[1] = {}) {
  const path = await startDataPath(listeners, changes)
  stops.push(path.close)
  return path
}

function answerText (text: string): RequestListener {
  return (incoming, outgoing) => { outgoing.writeHead(200, { 'x-request-id': String(incoming.headers['x-request-id']) }).end(text) }
}

/** Serves a file with range requests, but closes the connection after `breakAfter` bytes. */
function serveFile (file: Buffer, etag: string, breakAfter = Infinity): RequestListener {
  return (incoming: IncomingMessage, outgoing: ServerResponse) => {
    const start = Number(/bytes=(\d+)-/.exec(incoming.headers.range ?? '')?.[1] ?? 0)
    const isPartial = incoming.headers.range !== undefined && incoming.headers['if-range'] === etag
    const body = isPartial ? file.subarray(start) : file
    const range = isPartial ? { 'content-range': `bytes ${start}-${file.length - 1}/${file.length}` } : {}
    outgoing.writeHead(isPartial ? 206 : 200, { etag, 'content-length': String(body.length), ...range })
    if (breakAfter >= body.length) {
      outgoing.end(body)
      return
    }
    outgoing.write(body.subarray(0, breakAfter), () => outgoing.destroy())
  }
}

test('a response has the execution status and the contract version', async () => {
  const path = await setup([answerText('hello')])
  const response = await request(`${path.url}/slots/1`)
  expect(await response.body.text()).toBe('hello')
  expect(response.headers).toMatchObject({ 'x-medlarcove-fate': 'ran', 'x-medlarcove-version': '7' })
  expect(response.headers['x-request-id']).toBeUndefined()
})

test('a truncated response closes the caller\'s connection without a clean end', async () => {
  const file = randomBytes(200_000)
  const path = await setup([serveFile(file, 'W/"weak"', 100_000)])
  const response = await request(`${path.url}/slots/1`)
  await expect(response.body.arrayBuffer()).rejects.toThrow()
  expect(path.broken).toEqual(['answer-truncated'])
})

test('a truncated response without a length closes the caller\'s connection too', async () => {
  const path = await setup([(_, outgoing) => {
    outgoing.writeHead(200)
    outgoing.write('part', () => outgoing.destroy())
  }])
  const response = await request(`${path.url}/slots/1`)
  await expect(response.body.text()).rejects.toThrow()
})

// Guards against a truncated response that its caller takes for complete: by HTTP/1.0 it ends with its connection.
test('a truncated response without a length resets the connection of a caller that speaks HTTP/1.0', async () => {
  const path = await setup([(_, outgoing) => {
    outgoing.writeHead(200)
    outgoing.write('part', () => outgoing.destroy())
  }])
  const socket = connect(Number(new URL(path.url).port), '127.0.0.1')
  socket.write('GET /slots/1 HTTP/1.0\r\n\r\n')
  socket.resume()
  await expect(once(socket, 'close')).rejects.toMatchObject({ code: 'ECONNRESET' })
})

test('a truncated download with a strong entity tag is resumed at another target and is complete', async () => {
  const file = randomBytes(500_000)
  const path = await setup([serveFile(file, '"v1"', 123_456), serveFile(file, '"v1"', 123_456), serveFile(file, '"v1"')])
  const response = await request(`${path.url}/slots/1`)
  const body = Buffer.from(await response.body.arrayBuffer())
  expect(createHash('sha256').update(body).digest('hex')).toBe(createHash('sha256').update(file).digest('hex'))
})

test('a download is not resumed with bytes of another version', async () => {
  const path = await setup([serveFile(randomBytes(500_000), '"v1"', 123_456), serveFile(randomBytes(500_000), '"v2"')])
  const responses = await Promise.allSettled([1, 2].map(async () => {
    const response = await request(`${path.url}/slots/1`)
    return { tag: response.headers.etag, size: (await response.body.arrayBuffer()).byteLength }
  }))
  for (const response of responses) {
    if (response.status === 'fulfilled') expect(response.value).toEqual({ tag: '"v2"', size: 500_000 })
  }
})

test('a response to another request is dropped together with its connection', async () => {
  const connections = new Set<unknown>()
  let crossedSocket: unknown
  const answerCrossedFirst: RequestListener = (incoming, outgoing) => {
    const isFirst = crossedSocket === undefined
    if (isFirst) crossedSocket = incoming.socket
    else connections.add(incoming.socket)
    const id = isFirst ? 'another' : String(incoming.headers['x-request-id'])
    outgoing.writeHead(200, { 'x-request-id': id }).end(isFirst ? 'not yours' : 'yours')
  }
  const path = await setup([answerCrossedFirst, answerCrossedFirst])
  for (let round = 0; round < 8; round++) {
    const response = await request(`${path.url}/slots/1`)
    expect(await response.body.text()).toBe('yours')
  }
  expect(connections.has(crossedSocket)).toBe(false)
})

test('the execution status is unknown when every response belongs to another request', async () => {
  const path = await setup([(_, outgoing) => { outgoing.writeHead(200, { 'x-request-id': 'another' }).end('not yours') }])
  const response = await request(`${path.url}/slots/1`)
  expect(response.statusCode).toBe(502)
  expect(response.headers['x-medlarcove-fate']).toBe('unknown')
  expect(await response.body.json()).toMatchObject({ kind: 'answer-mismatched' })
})

test('a request that gets no connection to any target fails with `target-unreachable`', async () => {
  const path = await setup([])
  expect(path.url).toBeTruthy()
  const unreachable = await setup([answerText('never')])
  for (const pool of unreachable.pools.values()) pool.close()
  const call = unreachable.buildCall({ headers: {}, method: 'GET', url: '/slots/1' } as IncomingMessage, createCallerConnection())
  call.links.getPool = () => ({ acquireConnection: () => undefined, countConnections: () => ({ open: 0, idle: 0 }), close: () => undefined })
  const { fetchResponse } = await import('../src/request/idempotent-request.ts')
  const result = await fetchResponse(call)
  expect(result._unsafeUnwrapErr().kind).toBe('target-unreachable')
})

test('a shed request is retried at another target and, when all shed it, reported as not-run', async () => {
  const shed: RequestListener = (_, outgoing) => { outgoing.writeHead(503, { 'x-shed': '1' }).end() }
  const mixed = await setup([shed, answerText('fine')])
  expect(await (await request(`${mixed.url}/slots/1`)).body.text()).toBe('fine')
  const all = await setup([shed, shed])
  const response = await request(`${all.url}/slots/1`)
  expect(response.statusCode).toBe(503)
  expect(response.headers['x-medlarcove-fate']).toBe('not-run')
  expect(await response.body.json()).toMatchObject({ kind: 'target-shed' })
})

test('a server error leaves the execution status unknown', async () => {
  const path = await setup([(_, outgoing) => { outgoing.writeHead(500).end('oops') }])
  const response = await request(`${path.url}/slots/1`)
  expect(response.statusCode).toBe(500)
  expect(response.headers['x-medlarcove-fate']).toBe('unknown')
  expect(await response.body.text()).toBe('oops')
})

test('a slow request is hedged to another target and the losing attempt is cancelled', async () => {
  let reached = 0
  let cancelled = 0
  const answerNever: RequestListener = (_, outgoing) => {
    reached += 1
    outgoing.on('close', () => { if (!outgoing.writableFinished) cancelled += 1 })
  }
  const path = await setup([answerNever, answerText('fast')], { hedging: { afterMs: 20, budgetShare: 1 } })
  const responses = await Promise.all([1, 2, 3, 4].map(async () => (await request(`${path.url}/slots/1`)).body.text()))
  expect(responses).toEqual(['fast', 'fast', 'fast', 'fast'])
  expect(path.set.listTargets().map((target) => target.inFlight)).toEqual([0, 0])
  // A hedged request may lose before its connection is open; each one that reached the slow target must be cancelled there.
  expect(reached).toBeGreaterThan(0)
  expect(reached).toBeLessThanOrEqual(path.set.report().hedges)
  await expect.poll(() => cancelled - reached).toBe(0)
})

test('a caller that disconnects releases the slot and closes the connection to the target', async () => {
  let closed = 0
  const path = await setup([(_, outgoing) => { outgoing.on('close', () => { closed += 1 }) }])
  const stop = new AbortController()
  const pending = request(`${path.url}/slots/1`, { signal: stop.signal }).catch(() => 'left')
  await expect.poll(() => path.set.listTargets()[0]!.inFlight).toBe(1)
  stop.abort()
  expect(await pending).toBe('left')
  await expect.poll(() => path.set.listTargets()[0]!.inFlight).toBe(0)
  await expect.poll(() => closed).toBe(1)
})

test('a slow caller applies backpressure to the target instead of filling memory', async () => {
  let sentBytes = 0
  const chunk = Buffer.alloc(65_536)
  const path = await setup([(_, outgoing) => {
    const write = (): void => {
      while (sentBytes < 200_000_000 && outgoing.write(chunk)) sentBytes += chunk.length
    }
    outgoing.on('drain', write)
    write()
  }])
  const response = await request(`${path.url}/slots/1`)
  response.body.once('readable', () => undefined)
  let previous = -1
  await expect.poll(() => {
    const isStill = previous === sentBytes
    previous = sentBytes
    return isStill
  }, { interval: 200, timeout: 20_000 }).toBe(true)
  expect(sentBytes).toBeLessThan(50_000_000)
  response.body.destroy()
})

test('connections that went silent are replaced, and their target is not ejected', async () => {
  const silent = new Set<unknown>()
  const sockets = new Set<unknown>()
  const path = await setup([(incoming, outgoing) => {
    sockets.add(incoming.socket)
    if (silent.has(incoming.socket)) return
    outgoing.end('fine')
  }], { operations: [{ ...buildService(1).operations[0]!, deadlineMs: 3_000 }], hedging: { afterMs: 10_000, budgetShare: 0 } })
  const send = async () => (await request(`${path.url}/slots/1`)).statusCode
  expect(await Promise.all([send(), send(), send(), send()])).toEqual([200, 200, 200, 200])
  for (const socket of sockets) silent.add(socket)
  const codes = [await send(), await send(), await send(), await send()]
  expect(codes.filter((code) => code !== 200).length).toBeLessThanOrEqual(2)
  expect(codes.at(-1)).toBe(200)
  expect(path.set.listTargets()[0]!.state).toBe('serving')
})
