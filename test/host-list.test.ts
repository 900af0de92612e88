import { createServer } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { createHostClock, createTestClock } from '../src/clock.ts'
import type { Clock } from '../src/clock.ts'
import { createHostListHttpClient } from '../src/process/host-list-http-client.ts'
import { startHostListServer } from '../stand-ins/host-list-server.ts'
import { getLoopbackAddress } from './support/addresses.ts'
import { createIdentity, toListed } from './support/mesh.ts'

const ADDRESS = getLoopbackAddress(60)
const closers: (() => Promise<void>)[] = []
afterEach(async () => {
  for (const close of closers.splice(0)) await close()
})

async function startList (clock: Clock = createHostClock()) {
  const server = await startHostListServer({ address: ADDRESS, port: 0, clock, hosts: [toListed(createIdentity(0))] })
  closers.push(server.close)
  const baseUrl = `http://${ADDRESS}:${server.port}`
  return { server, baseUrl, client: createHostListHttpClient({ baseUrl, timeoutMs: 2_000 }) }
}

test('the client reads the host list and sees changes made through the control path', async () => {
  const { baseUrl, client } = await startList()
  expect((await client.readHosts())._unsafeUnwrap()).toEqual([toListed(createIdentity(0))])
  const hosts = [toListed(createIdentity(1), 'leaving')]
  await fetch(`${baseUrl}/control`, { method: 'POST', body: JSON.stringify({ hosts }) })
  expect((await client.readHosts())._unsafeUnwrap()).toEqual(hosts)
})

test('the stand-in with two different views of the hosts returns them alternately', async () => {
  const { server, client } = await startList()
  server.control({ otherHosts: [] })
  const reads = [(await client.readHosts())._unsafeUnwrap().length, (await client.readHosts())._unsafeUnwrap().length]
  expect(reads.sort()).toEqual([0, 1])
})

test('the stand-in shows a change only after its lag', async () => {
  const clock = createTestClock()
  const { server, client } = await startList(clock)
  server.control({ lagMs: 50, hosts: [] })
  await clock.advance(49)
  expect((await client.readHosts())._unsafeUnwrap()).toHaveLength(1)
  await clock.advance(1)
  expect((await client.readHosts())._unsafeUnwrap()).toHaveLength(0)
})

test('an outage, a slow response and a malformed list are each reported as unavailable within the timeout', async () => {
  const { server, client } = await startList()
  server.control({ isDown: true })
  expect((await client.readHosts())._unsafeUnwrapErr().kind).toBe('host-list-unavailable')
  server.control({ isDown: false, slowMs: 60_000 })
  expect((await client.readHosts())._unsafeUnwrapErr().kind).toBe('host-list-unavailable')
  const malformed = createServer((_request, response) => response.end('{"hosts":[{"id":4}]}'))
  await new Promise<void>((resolve) => malformed.listen(0, ADDRESS, resolve))
  closers.push(() => new Promise((resolve) => malformed.close(() => resolve())))
  const { port } = malformed.address() as { port: number }
  const reading = await createHostListHttpClient({ baseUrl: `http://${ADDRESS}:${port}`, timeoutMs: 300 }).readHosts()
  expect(reading._unsafeUnwrapErr().kind).toBe('host-list-unavailable')
})

test('the stand-in rejects an invalid control request', async () => {
  const { baseUrl } = await startList()
  expect((await fetch(`${baseUrl}/control`, { method: 'POST', body: '{"lag":1}' })).status).toBe(400)
})
