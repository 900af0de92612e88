import { spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { Agent, request } from 'undici'
import { afterEach, expect, test } from 'vitest'
import { getLoopbackAddress } from './support/addresses.ts'

const PORT = 8301
let addressIndex = 1
const stops: (() => Promise<void>)[] = []

afterEach(async () => {
  for (const stop of stops.splice(0)) await stop()
})

async function startTarget (...extra: string[]) {
  const address = getLoopbackAddress(addressIndex++)
  const child = spawn(process.execPath, ['dist/stand-in-target.cjs', '--id', 't1', '--address', address, '--port', String(PORT), '--work-ms', '1', ...extra])
  const agent = new Agent({ connections: 32 })
  const exited = new Promise<number | null>((resolve) => child.once('exit', resolve))
  stops.push(async () => {
    await agent.destroy()
    child.kill('SIGKILL')
    await exited
  })
  await new Promise((resolve) => child.stdout.once('data', resolve))
  const base = `http://${address}:${PORT}`
  const send = (path: string, options: Parameters<typeof request>[1] = {}) => request(base + path, { dispatcher: agent, ...options })
  // Uses a new connection, so that control works even when the other connections are silenced or closed.
  const applyFaults = async (patch: object) => {
    const dispatcher = new Agent()
    const response = await request(`${base}/control`, { method: 'POST', body: JSON.stringify(patch), dispatcher })
    await response.body.dump()
    await dispatcher.destroy()
    return response.statusCode
  }
  const readRuns = async () => (await (await send('/ledger-of-runs')).body.json()) as { runs: { key: string, state: string }[], counts: Record<string, number> }
  return { child, exited, send, applyFaults, readRuns }
}

test('runs a request once, echoes its id and records it in the ledger of runs', async () => {
  const target = await startTarget()
  const response = await target.send('/slots/7/charge', { method: 'POST', headers: { 'idempotency-key': 'k1', 'x-request-id': 'r1' }, body: '{}' })
  expect(response.statusCode).toBe(200)
  expect(response.headers['x-request-id']).toBe('r1')
  expect(await response.body.json()).toMatchObject({ target: 't1', key: 'k1' })
  expect((await target.readRuns()).runs).toMatchObject([{ key: 'k1', state: 'done' }])
})

test('frees the slot when the caller disconnects, and does not record work that never began', async () => {
  const target = await startTarget('--slots', '1', '--work-ms', '10000', '--distribution', 'constant', '--connect-ms', '0')
  const first = new AbortController()
  const second = new AbortController()
  const firstResult = target.send('/a', { signal: first.signal, headers: { 'idempotency-key': 'a' } }).catch(() => 'disconnected')
  while ((await target.readRuns()).runs.length === 0);
  const secondResult = target.send('/b', { signal: second.signal, headers: { 'idempotency-key': 'b' } }).catch(() => 'disconnected')
  second.abort()
  await secondResult
  first.abort()
  await firstResult
  while ((await target.readRuns()).runs.some((run) => run.state === 'running'));
  expect((await target.readRuns()).runs).toMatchObject([{ key: 'a', state: 'cancelled' }])
})

test('responds to a shed request with the shed header and does not run it', async () => {
  const target = await startTarget()
  await target.applyFaults({ shedShare: 1 })
  const response = await target.send('/a')
  await response.body.dump()
  expect([response.statusCode, response.headers['x-shed']]).toEqual([503, '1'])
  expect(await target.readRuns()).toMatchObject({ runs: [], counts: { shed: 1 } })
})

test('fails requests without running them, or after running them with errorsRun', async () => {
  const target = await startTarget()
  await target.applyFaults({ errorShare: 1 })
  await (await target.send('/a')).body.dump()
  expect((await target.readRuns()).runs).toEqual([])
  await target.applyFaults({ errorsRun: true })
  const response = await target.send('/a')
  await response.body.dump()
  expect(response.statusCode).toBe(500)
  expect((await target.readRuns()).runs).toHaveLength(1)
})

test('marks responses while draining, and delays the state of the health endpoint by healthLagMs', async () => {
  const target = await startTarget()
  await target.applyFaults({ isLeaving: true, healthLagMs: 100_000 })
  const response = await target.send('/a')
  await response.body.dump()
  expect(response.headers['x-target-leaving']).toBe('1')
  expect(await (await target.send('/health')).body.json()).toMatchObject({ state: 'ready', slots: 4 })
  await target.applyFaults({ healthLagMs: 0 })
  expect(await (await target.send('/health')).body.json()).toMatchObject({ state: 'leaving' })
})

test('silences open connections while new ones work', async () => {
  const target = await startTarget()
  await (await target.send('/a')).body.dump()
  await target.applyFaults({ silenceOpen: true })
  await expect(target.send('/b', { headersTimeout: 300 })).rejects.toThrow()
  const newResponse = await request(`http://${getLoopbackAddress(addressIndex - 1)}:${PORT}/health`, { dispatcher: new Agent() })
  expect(await newResponse.body.json()).toMatchObject({ state: 'ready' })
})

test('closes the connection of a truncated response, and sends a crossed response with the id of another request', async () => {
  const target = await startTarget()
  await target.applyFaults({ truncateNext: 1 })
  const truncated = await target.send('/a')
  await expect(truncated.body.text()).rejects.toThrow()
  await (await target.send('/b', { headers: { 'x-request-id': 'r1' } })).body.dump()
  await target.applyFaults({ crossNext: 1 })
  const crossed = await target.send('/c', { headers: { 'x-request-id': 'r2' } })
  await crossed.body.dump()
  expect(crossed.headers['x-request-id']).toBe('r1')
})

test('serves a range of a download that completes the first part, and the complete file when the entity tag differs', async () => {
  const target = await startTarget()
  const complete = await target.send('/ledgers/coop-1?bytes=200000')
  const completeBytes = Buffer.from(await complete.body.arrayBuffer())
  expect(completeBytes.length).toBe(200_000)
  const tag = String(complete.headers.etag)
  const rest = await target.send('/ledgers/coop-1?bytes=200000', { headers: { range: 'bytes=70000-', 'if-range': tag } })
  expect([rest.statusCode, rest.headers['content-range']]).toEqual([206, 'bytes 70000-199999/200000'])
  const joined = Buffer.concat([completeBytes.subarray(0, 70_000), Buffer.from(await rest.body.arrayBuffer())])
  expect(createHash('sha256').update(joined).digest('hex')).toBe(createHash('sha256').update(completeBytes).digest('hex'))
  const changed = await target.send('/ledgers/coop-1?bytes=200000', { headers: { range: 'bytes=70000-', 'if-range': '"other"' } })
  await changed.body.dump()
  expect(changed.statusCode).toBe(200)
})

test('undoes a fault after its time, and rejects an unknown fault', async () => {
  const target = await startTarget()
  expect(await target.applyFaults({ slowFactr: 2 })).toBe(400)
  expect(await target.applyFaults({ shedShare: 1, forMs: 1 })).toBe(200)
  const readShare = async () => ((await (await target.send('/control')).body.json()) as { shedShare: number }).shedShare
  while (await readShare() === 1);
})

test('drains on SIGTERM and then exits with code 0', async () => {
  const target = await startTarget('--leave-ms', '50')
  const download = await target.send('/ledgers/big?bytes=300000')
  target.child.kill('SIGTERM')
  expect((await download.body.arrayBuffer()).byteLength).toBe(300_000)
  expect(await target.exited).toBe(0)
})
