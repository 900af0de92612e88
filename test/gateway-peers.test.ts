import { afterEach, expect, test } from 'vitest'
import { createHostClock } from '../src/clock.ts'
import type { BootSettings } from '../src/platform/boot-file.ts'
import { startGateway } from '../src/process/gateway/gateway.ts'
import type { Gateway } from '../src/process/gateway/gateway.ts'
import { startPlatformStore } from '../stand-ins/platform-store.ts'
import type { PlatformStore } from '../stand-ins/platform-store.ts'
import { toBrand } from '../src/types.ts'
import type { EntryId } from '../src/types.ts'
import { describeConfiguration, describeTarget, ROUTE_HOST, sendCompleteResponse, startPlatformTarget } from '../stand-ins/platform-target.ts'
import { buildSettings, createListLogger, findFreePort, sendRaw } from './support/gateway-system.ts'

const WAIT_MS = 3_000
const HOUR_MS = 3_600_000

const open: { close(): unknown }[] = []

afterEach(async () => { for (const each of open.splice(0).reverse()) await each.close() })

async function startStore (): Promise<PlatformStore> {
  const store = await startPlatformStore()
  open.push(store)
  store.put('keyed.op', 'config', describeConfiguration(1))
  store.put('keyed.servers', 'i-1', describeTarget({ port: 9 }))
  return store
}

/** Starts an entry whose wall clock is off by `wallOffsetMs`. */
async function startEntry (settings: BootSettings, wallOffsetMs = 0): Promise<Gateway> {
  const hostClock = createHostClock()
  const clock = { ...hostClock, wallMs: () => hostClock.wallMs() + wallOffsetMs }
  const gateway = (await startGateway({ settings, clock, logger: createListLogger([]), metricsPort: await findFreePort() }))._unsafeUnwrap()
  open.push(gateway)
  return gateway
}

async function listAddresses ({ listen: { directory } }: BootSettings): Promise<string[]> {
  const response = await fetch(`http://127.0.0.1:${directory.port}/resolve?name=${ROUTE_HOST}&region=kyushu&zone=kyu-a`)
  return response.status === 200 ? (await response.json() as { addresses: string[] }).addresses : []
}

async function waitForAddresses (asked: BootSettings, expected: readonly BootSettings[]): Promise<string[]> {
  const endsAtMs = performance.now() + WAIT_MS
  for (;;) {
    const addresses = await listAddresses(asked)
    if (addresses.length === expected.length || performance.now() > endsAtMs) return addresses.sort()
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
}

function toAddresses (entries: readonly BootSettings[]): string[] {
  return entries.map(({ listen: { front } }) => `${front.address}:${front.port}`).sort()
}

test('an entry that restarts after its wall clock was set back is listed again, by itself and by its peers', async () => {
  const store = await startStore()
  const entries = [await buildSettings(store), await buildSettings(store, { entry: toBrand<EntryId>('front-2') })]
  const [first, second] = entries as [BootSettings, BootSettings]
  const stopped = await startEntry(first)
  await startEntry(second)
  expect(await waitForAddresses(second, entries)).toEqual(toAddresses(entries))
  await stopped.close()
  expect(await waitForAddresses(second, [second])).toEqual(toAddresses([second]))
  await startEntry(first, -HOUR_MS)
  expect(await waitForAddresses(second, entries)).toEqual(toAddresses(entries))
  expect(await waitForAddresses(first, entries)).toEqual(toAddresses(entries))
})

test('entries apply the records that the first entry reads, without reading the topics themselves', async () => {
  const store = await startStore()
  const entries = [await buildSettings(store), await buildSettings(store, { entry: toBrand<EntryId>('front-2') }), await buildSettings(store, { entry: toBrand<EntryId>('front-3') })]
  for (const settings of entries) await startEntry(settings)
  for (const settings of entries) await waitForAddresses(settings, entries)
  store.put('keyed.op', 'config', describeConfiguration(2, { extraRoutes: [['late', ROUTE_HOST, '/late/', 'safe', '1500ms', '600ms', 1, null, 2, 'nobody']] }))
  for (const { listen: { front } } of entries) {
    const endsAtMs = performance.now() + WAIT_MS
    const send = async (): Promise<string> => (await sendRaw(front.port, `GET /late/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: a\r\nConnection: close\r\n\r\n`)).text.slice(9, 12)
    while (await send() === '404' && performance.now() < endsAtMs) await new Promise((resolve) => setTimeout(resolve, 20))
    expect(await send()).toBe('503')
  }
  const before = store.countCalls()
  await new Promise((resolve) => setTimeout(resolve, 2_000))
  // One entry reads two topics, each at most every 0.6 s; all entries read the records of entries now and then.
  expect(store.countCalls() - before).toBeLessThan(2 * 2_000 / 600 + 1 + 2 * entries.length)
})

test('two entries together send a target no more requests than the limit that it advertises allows', async () => {
  const store = await startPlatformStore()
  open.push(store)
  const receivedAtMs: number[] = []
  const target = await startPlatformTarget('i-1', (self, incoming, outgoing) => {
    receivedAtMs.push(performance.now())
    sendCompleteResponse(self, incoming, outgoing)
  })
  target.headers = { 'server-limit': '0.5' }
  open.push({ close: () => target.server.close(() => target.server.closeAllConnections()) })
  store.put('keyed.op', 'config', describeConfiguration(1))
  store.put('keyed.servers', target.id, describeTarget(target))
  const entries = [await buildSettings(store), await buildSettings(store, { entry: toBrand<EntryId>('front-2') })]
  for (const settings of entries) await startEntry(settings)
  await waitForAddresses(entries[0]!, entries)
  const send = async ({ listen: { front } }: BootSettings, id: string): Promise<string> => {
    const text = `GET /safe/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: ${id}\r\nMedlarcove-Deadline-Ms: 300\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`
    return (await sendRaw(front.port, text)).text.slice(9, 12)
  }
  const statuses = await Promise.all(Array.from({ length: 80 }, (_, index) => send(entries[index % 2]!, `attempt-${index}`)))
  // The platform allows one and a half times the limit in any 4 s, and 5 requests.
  const mostInWindow = Math.max(0, ...receivedAtMs.map((startMs) => receivedAtMs.filter((atMs) => atMs >= startMs && atMs <= startMs + 4_000).length))
  expect(mostInWindow).toBeLessThanOrEqual(8)
  expect(statuses.filter((status) => status === '503').length).toBeGreaterThanOrEqual(72)
})
