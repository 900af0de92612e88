import { connect } from 'node:net'
import { text } from 'node:stream/consumers'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { createDeployment } from '../replay/deployment.ts'
import { readTargetRecords } from '../replay/check-invariants.ts'
import { startSystem } from '../replay/system.ts'
import type { System } from '../replay/system.ts'
import { getLoopbackAddress } from './support/addresses.ts'

const network = getLoopbackAddress(0).split('.').slice(0, 3).join('.')
const deployment = createDeployment({ sample: 'kyushu', root: '.', network, entryCount: 1, maxTargetsPerService: 1 })
const [entry] = deployment.entries
const origin = `http://${entry?.address}:${entry?.callerPort}`
let system: System

beforeAll(async () => {
  system = await startSystem({ deployment, files: { dist: `${process.cwd()}/dist` }, workMs: 1 })
  await system.startEntries()
  await system.publishContract()
})

afterAll(async () => { await system?.stop() })

interface RejectedRequest { path: string, method?: string, headers?: Record<string, string>, body?: string, status: number, kind: string }

const LARGE_BODY = JSON.stringify({ filler: 'x'.repeat(100_000) })
const JSON_TYPE = { 'content-type': 'application/json' }
const REJECTED_REQUESTS: RejectedRequest[] = [
  { path: '/', status: 400, kind: 'malformed-request' },
  { path: '/kyushu', status: 400, kind: 'malformed-request' },
  { path: '/osaka/booking/slots/1', status: 404, kind: 'unknown-customer' },
  { path: '/kyushu/weather/today', status: 404, kind: 'unknown-service' },
  { path: '/kyushu/booking/nothing', status: 404, kind: 'unknown-operation' },
  { path: '/kyushu/booking/slots/1', method: 'DELETE', status: 405, kind: 'method-not-allowed' },
  { path: '/kyushu/booking/slots/1/charge', method: 'POST', status: 400, kind: 'key-missing' },
  { path: '/kyushu/booking/slots/1/charge', method: 'POST', headers: { ...JSON_TYPE, 'idempotency-key': 'large' }, body: LARGE_BODY, status: 413, kind: 'body-too-large' }
]

test.each(REJECTED_REQUESTS)('$method $path is rejected as $kind and reported as not run', async ({ path, method, headers, body, status, kind }) => {
  const response = await fetch(`${origin}${path}`, { method, headers, body })
  expect(response.status).toBe(status)
  expect(response.headers.get('x-medlarcove-fate')).toBe('not-run')
  expect(response.headers.get('content-type')).toContain('application/problem+json')
  expect(await response.json()).toMatchObject({ kind, status, fate: 'not-run', advice: expect.any(String) })
})

async function sendRaw (data: string): Promise<string> {
  const socket = connect(entry?.callerPort ?? 0, entry?.address)
  socket.end(data)
  return text(socket)
}

test('bytes that are not HTTP get a response with status 400 and a closed connection', async () => {
  expect(await sendRaw('gibberish\r\n\r\n')).toMatch(/^HTTP\/1\.1 400 /)
})

test('a header that is too large is rejected', async () => {
  const response = await sendRaw(`GET /kyushu/booking/slots/1 HTTP/1.1\r\nhost: entry\r\nx-filler: ${'x'.repeat(40_000)}\r\n\r\n`)
  expect(response).toMatch(/^HTTP\/1\.1 431 /)
})

test('a request with both content-length and transfer-encoding is rejected, which prevents request smuggling', async () => {
  const response = await sendRaw('POST /kyushu/booking/slots/1/charge HTTP/1.1\r\nhost: entry\r\nidempotency-key: two\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n')
  expect(response).toMatch(/^HTTP\/1\.1 400 /)
})

test('an addresses request without a customer, or for an unknown one, is rejected', async () => {
  expect((await fetch(`${origin}/.medlarcove/addresses`)).status).toBe(400)
  expect((await fetch(`${origin}/.medlarcove/addresses?customer=osaka`)).status).toBe(404)
})

test('an idempotency key used for another request is rejected and the other request does not run', async () => {
  const send = (body: string) => fetch(`${origin}/kyushu/booking/slots/7/charge`, { method: 'POST', headers: { ...JSON_TYPE, 'idempotency-key': 'reused' }, body })
  expect((await send('{"amount":1}')).status).toBe(200)
  const second = await send('{"amount":2}')
  expect(second.status).toBe(422)
  expect(await second.json()).toMatchObject({ kind: 'key-reused', fate: 'not-run' })
})

test('after these requests the entry still serves, and only the one valid charge has run', async () => {
  expect((await fetch(`${origin}/kyushu/booking/slots/1`)).status).toBe(200)
  const runs = (await readTargetRecords(deployment.targets)).flatMap((note) => note.runs)
  expect(runs.filter(({ operation }) => operation.startsWith('POST')).map(({ key }) => key)).toEqual(['reused'])
})

test('the status page shows the contract and the target, and the metrics count a rejected request', async () => {
  const status = JSON.parse(await system.runCommand('status', '--json', '--entry', `${entry?.address}:${entry?.operatorPort}`))
  expect(status).toMatchObject({ contracts: [{ customer: 'kyushu', accepted: 1, inForce: 1 }] })
  const text = await system.runCommand('status', '--entry', `${entry?.address}:${entry?.operatorPort}`)
  expect(text).toContain('kyushu: version 1 in force, 1 accepted')
  expect(text).toMatch(/slot-01 {2}zone-a {2}(cold|serving) {2}0 in flight/)
  const metrics = await (await fetch(`http://${entry?.address}:${entry?.operatorPort}/metrics`)).text()
  expect(metrics).toMatch(/medlarcove_requests_total\{customer="unlisted",service="unlisted",fate="not-run",kind="unknown-customer"\} 1/)
})
