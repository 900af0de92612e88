import { createServer } from 'node:http'
import { Duplex } from 'node:stream'
import { setTimeout as wait } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { createHostClock } from '../src/clock.ts'
import { createGatewayRequests } from '../src/process/gateway/gateway-requests.ts'
import type { GatewayRequestsOptions } from '../src/process/gateway/gateway-requests.ts'
import type { GatewayState } from '../src/process/gateway/gateway-state.ts'
import { createShutdown } from '../src/process/gateway/shutdown.ts'
import { describeConfiguration, ROUTE_HOST, sendCompleteResponse, startPlatformTarget } from '../stand-ins/platform-target.ts'
import { createListLogger, sendRaw, startGatewaySystem, waitFor } from './support/gateway-system.ts'
import type { GatewaySystem } from './support/gateway-system.ts'

const systems: GatewaySystem[] = []
const LOAD_REPORT_EXPIRY_MS = 20

afterEach(async () => { for (const system of systems.splice(0)) await system.close() })

test('a request that comes late in a planned stop is completed, or rejected as not run; none is passed on and cut', async () => {
  const targets = await Promise.all(Array.from({ length: 6 }, (_, index) => startPlatformTarget(`i-${index}`, (self, incoming, outgoing) => {
    setTimeout(() => sendCompleteResponse(self, incoming, outgoing), 1_300)
  })))
  const system = await startGatewaySystem(targets, { graceMs: 6_000 })
  systems.push(system)
  const send = async (id: string): Promise<string> => {
    const text = `POST /unsafe/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: ${id}\r\nMedlarcove-Deadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`
    return (await sendRaw(system.settings.listen.front.port, text, 3_000)).text.slice(9, 12)
  }
  const stopped = system.gateway.stop('SIGTERM')
  const statuses = new Map<string, Promise<string>>()
  for (let index = 0; index < 54; index++) {
    const id = `late-${index}`
    statuses.set(id, send(id))
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
  await stopped
  const passedOn = new Set(targets.flatMap(({ receivedAttempts }) => receivedAttempts))
  // One that reaches its deadline gets 504.
  for (const id of passedOn) expect(['200', '504'], id).toContain(await statuses.get(id))
  const rejected = [...statuses].filter(([id]) => !passedOn.has(id))
  // The last ones may come when the process has closed its port.
  for (const [id, status] of rejected) expect(['503', ''], id).toContain(await status)
}, 20_000)

// Guards against an entry that closes the connections of requests it still holds at the end of the grace period.
test('at the end of the grace period every request gets a response that says truly whether it may have run', async () => {
  const silent = await startPlatformTarget('i-1', () => undefined)
  const system = await startGatewaySystem([silent], { graceMs: 2_000 })
  systems.push(system)
  system.store.put('keyed.op', 'config', describeConfiguration(2, { timeout: '15s' }))
  await waitFor(() => system.log.some(({ message, fields }) => message === 'A configuration is in effect.' && fields.version === 2))
  const send = async (id: string, length: number, body = '') => {
    const head = `POST /unsafe/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: ${id}\r\nMedlarcove-Deadline-Ms: 15000\r\n`
    const { text } = await sendRaw(system.settings.listen.front.port, `${head}Content-Length: ${length}\r\n\r\n${body}`, 10_000)
    return { id, status: text.slice(9, 12), executionStatus: /"fate":"([a-z-]+)"/.exec(text)?.[1] }
  }
  const atTarget = ['at-target-1', 'at-target-2'].map((id) => send(id, 0))
  await waitFor(() => silent.receivedAttempts.length === atTarget.length)
  silent.load = '4,400,4,100'
  // A load report of the last 6 ms would still say that the target is free.
  await wait(LOAD_REPORT_EXPIRY_MS)
  const others = [send('queued-1', 0), send('queued-2', 3, 'abc'), send('half-a-body', 9, 'abc')]
  await waitFor(() => system.gateway.countInProgress() === atTarget.length + others.length)
  await system.gateway.stop('SIGTERM')
  expect(await Promise.all(atTarget)).toEqual(['at-target-1', 'at-target-2'].map((id) => ({ id, status: '502', executionStatus: 'unknown' })))
  expect(await Promise.all(others)).toEqual(['queued-1', 'queued-2', 'half-a-body'].map((id) => ({ id, status: '503', executionStatus: 'not-run' })))
  expect(silent.receivedAttempts.toSorted()).toEqual(['at-target-1', 'at-target-2'])
})

// Guards against a response that is cut although nothing of it was sent, so that an error could be sent in its place.
test('a response whose head has come and whose body has not gets an error at the timeout of its route and at the end of the process', async () => {
  const target = await startPlatformTarget('i-1', (self, incoming, outgoing) => {
    outgoing.writeHead(200, { 'medlarcove-attempt-id': incoming.headers['medlarcove-attempt-id'], 'medlarcove-response-signature': self.id, 'content-length': '5' }).flushHeaders()
  })
  const system = await startGatewaySystem([target], { graceMs: 2_000 })
  systems.push(system)
  const send = async (id: string, deadlineMs: number) => {
    const text = `POST /unsafe/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: ${id}\r\nMedlarcove-Deadline-Ms: ${deadlineMs}\r\nContent-Length: 0\r\n\r\n`
    const response = await sendRaw(system.settings.listen.front.port, text, 5_000)
    return { status: response.text.slice(9, 12), executionStatus: /"fate":"([a-z-]+)"/.exec(response.text)?.[1], signature: /response-signature/i.exec(response.text)?.[0] }
  }
  const late = send('late', 300)
  await waitFor(() => target.abortedAttempts.includes('late'))
  system.store.put('keyed.op', 'config', describeConfiguration(2, { timeout: '15s' }))
  await waitFor(() => system.log.some(({ message, fields }) => message === 'A configuration is in effect.' && fields.version === 2))
  const stopped = send('stopped', 15_000)
  await waitFor(() => target.receivedAttempts.includes('stopped'))
  await system.gateway.stop('SIGTERM')
  expect(await stopped).toEqual({ status: '502', executionStatus: 'unknown', signature: undefined })
  expect(await late).toEqual({ status: '504', executionStatus: 'unknown', signature: undefined })
})

// Guards against a process that ends with the rest of a response that its caller has not read yet.
for (const ending of ['sent', 'closed'] as const) {
  test(`a response that its caller has not taken yet counts as in progress until it is ${ending}`, async () => {
    const withoutConfiguration = { getInEffect: () => undefined } as unknown as GatewayState
    const clock = createHostClock()
    const requests = createGatewayRequests({ state: withoutConfiguration, clock, shutdown: createShutdown(clock), logger: createListLogger([]).forPart('request'), isCutOff: () => false } as unknown as GatewayRequestsOptions)
    let startReading: () => void = () => undefined
    const isReading = new Promise<void>((resolve) => { startReading = resolve })
    const caller = new Duplex({ read () {}, write (_chunk, _encoding, done) { isReading.then(() => done(), done) } })
    const handled = new Promise<void>((resolve, reject) => {
      createServer((incoming, outgoing) => { requests.handleRequest(incoming, outgoing).then(resolve, reject) }).emit('connection', caller)
    })
    caller.push('GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n')
    await handled
    expect(requests.countInProgress()).toBe(1)
    if (ending === 'sent') startReading()
    else caller.destroy()
    await waitFor(() => requests.countInProgress() === 0)
  })
}
