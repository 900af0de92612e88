import { createServer } from 'node:http'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { createHostClock } from '../src/clock.ts'
import { createHttpLogClient } from '../src/process/log-http-client.ts'
import type { LogHttpClient, LogHttpClientOptions } from '../src/process/log-http-client.ts'
import { toBrand } from '../src/types.ts'
import type { Offset, StreamName } from '../src/types.ts'
import { startLogServer } from '../stand-ins/log-server.ts'
import type { LogServer } from '../stand-ins/log-server.ts'
import { getLoopbackAddress } from './support/addresses.ts'

const STREAM = toBrand<StreamName>('s')
const START = toBrand<Offset>(0)
const clock = createHostClock()
let server: LogServer
let clients: LogHttpClient[] = []

beforeEach(async () => {
  server = await startLogServer({ address: getLoopbackAddress(2), port: 0 })
})

afterEach(async () => {
  await Promise.all(clients.map((client) => client.close()))
  clients = []
  await server.close()
})

function createClient (options: Partial<LogHttpClientOptions> = {}): LogHttpClient {
  const client = createHttpLogClient({ url: server.url, clock, ...options })
  clients.push(client)
  return client
}

async function setFaults (faults: object): Promise<void> {
  const response = await fetch(`${server.url}/control`, { method: 'POST', body: JSON.stringify(faults) })
  expect(response.status).toBe(200)
}

function countRecords (): number {
  return server.store.readBounds(STREAM).next
}

async function appendAndGetKind (client: LogHttpClient): Promise<string> {
  const result = await client.append(STREAM, Uint8Array.of(1))
  return result.match(() => 'taken', (error) => error.kind)
}

test('records are read in order with their bytes, and a waiting read returns a later append', async () => {
  const client = createClient()
  const waiting = client.read(STREAM, START, { waitMs: 5_000 })
  expect((await client.append(STREAM, Uint8Array.of(1, 2)))._unsafeUnwrap()).toBe(0)
  const page = (await waiting)._unsafeUnwrap()
  expect(page.records.map((record) => [record.offset, ...record.data])).toEqual([[0, 1, 2]])
  expect(page.nextOffset).toBe(1)
})

test('an append whose response is lost is reported as unknown, and its record is on the log', async () => {
  const client = createClient()
  await setFaults({ loseNextAnswers: 1 })
  expect(await appendAndGetKind(client)).toBe('log-unknown')
  expect(countRecords()).toBe(1)
  expect(await appendAndGetKind(client)).toBe('taken')
})

test('an append that the log delays beyond the time limit is reported as unknown and takes effect later', async () => {
  const client = createClient({ appendTimeoutMs: 50 })
  await setFaults({ delayAppendsMs: 200 })
  expect(await appendAndGetKind(client)).toBe('log-unknown')
  expect(countRecords()).toBe(0)
  const page = await createClient().read(STREAM, START, { waitMs: 5_000 })
  expect(page._unsafeUnwrap().records).toHaveLength(1)
})

test('an append reported as unavailable was never stored', async () => {
  await setFaults({ outage: 'refuse' })
  expect(await appendAndGetKind(createClient())).toBe('log-unavailable')
  await setFaults({ outage: 'reset' })
  expect(await appendAndGetKind(createClient())).toBe('log-unknown')
  const closed = createClient({ url: `http://${getLoopbackAddress(3)}:1` })
  expect(await appendAndGetKind(closed)).toBe('log-unavailable')
  expect(countRecords()).toBe(0)
})

test('after consecutive failures the client rejects appends at once, until a trial append succeeds', async () => {
  const client = createClient({ appendTimeoutMs: 50 })
  await setFaults({ outage: 'hang' })
  for (let call = 0; call < 3; call++) expect(await appendAndGetKind(client)).toBe('log-unknown')
  expect(client.report().isRefusingAppends).toBe(true)
  expect(await appendAndGetKind(client)).toBe('log-unavailable')
  await setFaults({ outage: 'none' })
  let kind = await appendAndGetKind(client)
  while (kind !== 'taken') {
    await clock.wait(20)
    kind = await appendAndGetKind(client)
  }
  expect(client.report().isRefusingAppends).toBe(false)
})

test('connections on which the log no longer responds are replaced by new ones', async () => {
  const client = createClient({ readTimeoutMs: 50, appendTimeoutMs: 100 })
  expect(await appendAndGetKind(client)).toBe('taken')
  await setFaults({ silenceConnections: true })
  expect(await appendAndGetKind(client)).toBe('log-unknown')
  expect(await appendAndGetKind(client)).toBe('taken')
  expect(client.report().connectionsReplaced).toBe(1)
})

test('a log that is slower than the read timeout is still read, because the timeout grows', async () => {
  const client = createClient({ readTimeoutMs: 20, maxReadTimeoutMs: 2_000 })
  await setFaults({ slowMs: 100 })
  let page = await client.read(STREAM, START)
  for (let attempt = 0; page.isErr() && attempt < 500; attempt++) {
    await clock.wait(20)
    page = await client.read(STREAM, START)
  }
  expect(page.isOk()).toBe(true)
})

test('a read from an offset that the log no longer keeps fails with log-gap', async () => {
  const client = createClient()
  await appendAndGetKind(client)
  await setFaults({ dropBefore: { stream: 's', offset: 1 } })
  expect((await client.read(STREAM, START))._unsafeUnwrapErr().kind).toBe('log-gap')
  expect((await client.readBounds(STREAM))._unsafeUnwrap()).toEqual({ earliest: 1, next: 1 })
})

test('a response that does not come from a log is reported as an error', async () => {
  const address = getLoopbackAddress(4)
  const other = createServer((request, response) => response.end(request.url))
  await new Promise<void>((resolve) => other.listen(0, address, resolve))
  const { port } = other.address() as { port: number }
  const client = createClient({ url: `http://${address}:${port}` })
  expect((await client.read(STREAM, START))._unsafeUnwrapErr().kind).toBe('log-unavailable')
  expect(await appendAndGetKind(client)).toBe('log-unknown')
  await client.close()
  await new Promise((resolve) => other.close(resolve))
})
