import type { IncomingMessage } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { describeTarget, sendCompleteResponse, startPlatformTarget } from '../stand-ins/platform-target.ts'
import type { PlatformTarget } from '../stand-ins/platform-target.ts'
import { sendRequest, startGatewaySystem, waitFor } from './support/gateway-system.ts'
import type { GatewaySystem } from './support/gateway-system.ts'

const systems: GatewaySystem[] = []

afterEach(async () => { for (const system of systems.splice(0)) await system.close() })

async function setup (targets: PlatformTarget[]): Promise<GatewaySystem> {
  const system = await startGatewaySystem(targets)
  systems.push(system)
  return system
}

// Guards against a caller that runs its request again since the target's status made it believe that it had not run (review/6).
for (const status of [408, 421, 429, 503]) {
  test(`a request that ran and failed with ${status} without the target's word that it did not run gets 502 if it must not run twice, and that response otherwise`, async () => {
    const targets = await Promise.all(['i-1', 'i-2'].map((id) => startPlatformTarget(id, (_, incoming, outgoing) => {
      outgoing.writeHead(status, { 'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'], 'medlarcove-response-signature': id }).end('failed')
    })))
    const system = await setup(targets)
    const unsafe = await sendRequest(system, '/unsafe/a', { method: 'POST' })
    expect(unsafe.status).toBe(502)
    expect(unsafe.text).toContain('"fate":"unknown"')
    expect(unsafe.text).not.toContain('medlarcove-response-signature')
    expect(targets.flatMap(({ receivedAttempts }) => receivedAttempts)).toEqual([unsafe.id])
    const safe = await sendRequest(system, '/safe/a')
    expect(safe.status).toBe(status)
    expect(safe.text).toContain('medlarcove-response-signature')
  })
}

test('a request that one target rejected unrun and another ran and failed with 503 gets 502', async () => {
  const unsafeAttempts: string[] = []
  const targets = await Promise.all(['i-1', 'i-2'].map((id) => startPlatformTarget(id, (target, incoming, outgoing) => {
    if (incoming.method !== 'POST') {
      sendCompleteResponse(target, incoming, outgoing)
      return
    }
    unsafeAttempts.push(id)
    const said = unsafeAttempts.length === 1 ? { 'medlarcove-not-executed': '1' } : { 'medlarcove-response-signature': id }
    outgoing.writeHead(503, { 'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'], ...said }).end()
  })))
  const system = await setup(targets)
  // They refill the retry budget.
  for (let round = 0; round < 12; round++) await sendRequest(system, '/safe/a')
  const response = await sendRequest(system, '/unsafe/a', { method: 'POST' })
  expect(unsafeAttempts.toSorted()).toEqual(['i-1', 'i-2'])
  expect(response.status).toBe(502)
})

test('a target that fails a request with 503 and Retry-After gets no more requests until then, although that response is not passed on', async () => {
  const target = await startPlatformTarget('i-1', (_, incoming, outgoing) => {
    outgoing.writeHead(503, { 'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'], 'medlarcove-response-signature': 'i-1', 'retry-after': '30' }).end()
  })
  const system = await setup([target])
  const failed = await sendRequest(system, '/unsafe/a', { method: 'POST' })
  expect(failed.status).toBe(502)
  expect(failed.text).not.toContain('retry-after')
  expect((await sendRequest(system, '/unsafe/b', { method: 'POST' })).status).toBe(503)
  expect(target.receivedAttempts).toEqual([failed.id])
})

test('a target that fails each request is ejected, although its responses are relayed whole', async () => {
  const failing = await startPlatformTarget('i-1', (target, incoming, outgoing) => {
    outgoing.writeHead(500, { 'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'], 'medlarcove-response-signature': target.id }).end('failed')
  })
  const system = await setup([failing])
  for (let round = 0; round < 2; round++) expect((await sendRequest(system, '/unsafe/a', { method: 'POST' })).status).toBe(500)
  expect(system.log.some(({ message, fields }) => message === 'Ejected a target.' && fields.because === 'too many of its recent requests failed')).toBe(true)
})

test('a target that rejects with Retry-After gets neither requests nor load probes until that time is over', async () => {
  const targets = [await startPlatformTarget('i-1'), await startPlatformTarget('i-2')]
  const [paused, other] = targets as [PlatformTarget, PlatformTarget]
  let isRejecting = true
  let probeCount = 0
  paused.server.on('request', (incoming: IncomingMessage) => { probeCount += Number(incoming.url === '/health') })
  paused.handleRequest = (incoming, outgoing) => {
    if (!isRejecting) sendCompleteResponse(paused, incoming, outgoing)
    else outgoing.writeHead(503, { 'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'], 'medlarcove-not-executed': '1', 'retry-after': '1.5' }).end()
  }
  const system = await setup(targets)
  await waitFor(async () => {
    await sendRequest(system, '/safe/a')
    return paused.receivedAttempts.length > 0
  })
  const rejectedAtMs = performance.now()
  isRejecting = false
  const [requestsBefore, probesBefore] = [paused.receivedAttempts.length, probeCount]
  const counts = []
  while (performance.now() < rejectedAtMs + 1_400) {
    expect((await sendRequest(system, '/safe/a')).status).toBe(200)
    // What was on its way when the time was over does not count.
    if (performance.now() < rejectedAtMs + 1_400) counts.push({ requests: paused.receivedAttempts.length, probes: probeCount })
  }
  expect(counts.at(-1)).toEqual({ requests: requestsBefore, probes: probesBefore })
  expect(other.receivedAttempts.length).toBeGreaterThan(0)
  await waitFor(async () => {
    await sendRequest(system, '/safe/a')
    return paused.receivedAttempts.length > requestsBefore
  })
})

// Guards against requests to a target within its Retry-After, since that was forgotten with its record.
test('a target that rejects with Retry-After gets no requests until then, also when its record goes and comes back', async () => {
  const targets = [await startPlatformTarget('i-1'), await startPlatformTarget('i-2')]
  const [paused] = targets as [PlatformTarget, PlatformTarget]
  paused.handleRequest = (incoming, outgoing) => {
    outgoing.writeHead(503, { 'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'], 'medlarcove-not-executed': '1', 'retry-after': '30' }).end()
  }
  const system = await setup(targets)
  await waitFor(async () => {
    await sendRequest(system, '/safe/a')
    return paused.receivedAttempts.length > 0
  })
  const before = paused.receivedAttempts.length
  system.store.put('keyed.servers', 'i-1')
  await waitFor(() => system.log.some(({ message }) => message === 'A target is removed.'))
  system.store.put('keyed.servers', 'i-1', describeTarget(paused, { sequence: 2 }))
  await waitFor(() => system.log.filter(({ message }) => message === 'A target is added.').length > 0)
  for (let round = 0; round < 10; round++) expect((await sendRequest(system, '/safe/a')).status).toBe(200)
  expect(paused.receivedAttempts.length).toBe(before)
  // Another run has not said so.
  paused.handleRequest = (incoming, outgoing) => sendCompleteResponse(paused, incoming, outgoing)
  system.store.put('keyed.servers', 'i-1', describeTarget(paused, { born: 2 }))
  await waitFor(async () => {
    await sendRequest(system, '/safe/a')
    return paused.receivedAttempts.length > before
  })
})

test('when all targets reject with a Retry-After beyond the deadline, a request is rejected at once with that time, and not sent', async () => {
  const target = await startPlatformTarget('i-1', (_, incoming, outgoing) => {
    outgoing.writeHead(503, { 'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'], 'medlarcove-not-executed': '1', 'retry-after': '30' }).end()
  })
  const system = await setup([target])
  expect((await sendRequest(system, '/unsafe/a', { method: 'POST' })).status).toBe(503)
  const response = await sendRequest(system, '/unsafe/b', { method: 'POST' })
  expect(response.status).toBe(503)
  expect(Number(/retry-after: ([\d.]+)/.exec(response.text)?.[1])).toBeGreaterThan(25)
  expect(target.receivedAttempts.length).toBe(1)
})
