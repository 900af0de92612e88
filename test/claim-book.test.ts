import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { encodeClaimRecord, MAX_RECORD_BYTES } from '../src/process/claims/claim-record.ts'
import { formatClaimStream } from '../src/process/claims/log-claim-store.ts'
import type { LogClaimStore, LogClaimStoreOptions } from '../src/process/claims/log-claim-store.ts'
import { createFakeLog } from './support/fake-log.ts'
import type { FakeLogClient } from './support/fake-log.ts'
import { createProcessGate } from './support/process-gate.ts'
import type { ProcessGate } from './support/process-gate.ts'
import { createAttempt, createTestStore, describeResult, CLAIM_WINDOW_MS } from './support/claim-fixtures.ts'
import type { ClaimResult } from '../src/process/claims/claim-store.ts'

const STREAM = formatClaimStream(0)
const RESPONSE = { status: 201, headers: { 'content-type': 'text/plain' }, body: new Uint8Array([1, 2, 3]) }

/** Starts claim stores on one log and waits until they are ready. */
async function startStores (count: number, options: Partial<LogClaimStoreOptions> = {}) {
  const clock = createTestClock()
  const log = createFakeLog({ clock })
  const clients: FakeLogClient[] = []
  const gates: ProcessGate[] = []
  const stores: LogClaimStore[] = []
  const addStore = async (): Promise<LogClaimStore> => {
    const gate = createProcessGate()
    const client = log.createClient(gate)
    const store = createTestStore(client, gate.createClock(clock), `incarnation-${stores.length}`, options)
    gates.push(gate)
    clients.push(client)
    stores.push(store)
    await clock.advance(20)
    return store
  }
  for (let number = 0; number < count; number++) await addStore()
  /** Runs an attempt until it settles, advancing the clock. */
  const claim = async (store: LogClaimStore, key: string, body?: string, waitMs?: number) => {
    const progress = { isSettled: false }
    const running = store.claimKey(createAttempt(clock, key, body, waitMs)).finally(() => { progress.isSettled = true })
    while (!progress.isSettled) await clock.advance(20)
    return running
  }
  const claimAdmitted = async (store: LogClaimStore, key: string) => {
    const result = (await claim(store, key))._unsafeUnwrap()
    if (result.kind !== 'admitted') throw new Error(`expected admitted, got ${result.kind}`)
    return result.claim
  }
  return { clock, log, clients, gates, stores, addStore, claim, claimAdmitted }
}

function getBody (result: ClaimResult): number[] | undefined {
  return result.kind === 'repeated' && result.outcome.body ? [...result.outcome.body] : undefined
}

test('a key is admitted once, whichever store receives the attempt', async () => {
  const { stores, claim } = await startStores(3)
  const kinds = []
  for (const store of [...stores, ...stores]) kinds.push(describeResult(await claim(store, 'k')))
  expect(kinds).toEqual(['admitted', 'elsewhere', 'elsewhere', 'elsewhere', 'elsewhere', 'elsewhere'])
})

test('exactly one of many concurrent attempts is admitted', async () => {
  const { clock, stores } = await startStores(4)
  const running = Promise.all(stores.flatMap((store) => [1, 2, 3].map(() => store.claimKey(createAttempt(clock, 'k')))))
  await clock.advance(1_000)
  const kinds = (await running).map(describeResult)
  expect(kinds.filter((kind) => kind === 'admitted')).toHaveLength(1)
  expect(kinds.filter((kind) => kind === 'elsewhere')).toHaveLength(11)
})

test('a stored response is returned to the same request only', async () => {
  const { clock, stores, claim, claimAdmitted } = await startStores(2)
  const admitted = await claimAdmitted(stores[0]!, 'k')
  admitted.recordResponse(RESPONSE)
  await clock.advance(1_000)
  for (const store of stores) {
    expect(getBody((await claim(store, 'k'))._unsafeUnwrap())).toEqual([1, 2, 3])
    expect(describeResult(await claim(store, 'k', 'other'))).toBe('key-reused')
  }
})

test('a stored response omits a body that is too large', async () => {
  const { clock, stores, claim, claimAdmitted } = await startStores(2)
  const admitted = await claimAdmitted(stores[0]!, 'k')
  admitted.recordResponse({ ...RESPONSE, body: new Uint8Array(5_000) })
  await clock.advance(1_000)
  const result = (await claim(stores[1]!, 'k'))._unsafeUnwrap()
  expect(result).toMatchObject({ kind: 'repeated', outcome: { status: 201 } })
  expect(getBody(result)).toBeUndefined()
})

test('releasing a claim frees its key and forbids sending', async () => {
  const { clock, stores, claim, claimAdmitted } = await startStores(2)
  const admitted = await claimAdmitted(stores[0]!, 'k')
  expect(admitted.canSend!()).toBe(true)
  admitted.releaseClaim()
  expect(admitted.canSend!()).toBe(false)
  await clock.advance(200)
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('admitted')
})

test('releasing a claim after its response was recorded has no effect', async () => {
  const { clock, stores, claim, claimAdmitted } = await startStores(2)
  const admitted = await claimAdmitted(stores[0]!, 'k')
  admitted.recordResponse(RESPONSE)
  admitted.releaseClaim()
  await clock.advance(1_000)
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('repeated')
})

test('a claim cannot be sent after its deadline', async () => {
  const { clock, stores, claimAdmitted } = await startStores(1)
  const admitted = await claimAdmitted(stores[0]!, 'k')
  await clock.advance(6_000)
  expect(admitted.canSend!()).toBe(false)
})

test('a claim whose append took effect but whose response was lost is settled by reading it back', async () => {
  const { stores, clients, claim } = await startStores(2)
  clients[0]!.addAppendFaults('answer-lost')
  expect(describeResult(await claim(stores[0]!, 'k'))).toBe('admitted')
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('elsewhere')
  expect(stores[0]!.report().unsettled).toBe(1)
})

test('a claim whose append never took effect is rejected and leaves the key free', async () => {
  const { clock, stores, clients, claim } = await startStores(2)
  clients[0]!.addAppendFaults('never-landed')
  expect(describeResult(await claim(stores[0]!, 'k'))).toBe('platform-down')
  await clock.advance(200)
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('admitted')
})

test('an append that takes effect after its attempt ended neither admits nor blocks the key', async () => {
  const { clock, log, stores, clients, claim } = await startStores(2)
  clients[0]!.addAppendFaults('late-lost')
  expect(describeResult(await claim(stores[0]!, 'k'))).toBe('platform-down')
  await clock.advance(500)
  expect(log.releaseLateAppend()).toBe(true)
  await clock.advance(500)
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('admitted')
})

test('a late append that takes effect before its tombstone is released by that tombstone', async () => {
  const { clock, log, stores, clients, claim } = await startStores(2)
  clients[0]!.addAppendFaults('late-lost', 'refused', 'refused', 'refused', 'refused')
  expect(describeResult(await claim(stores[0]!, 'k'))).toBe('platform-down')
  log.releaseLateAppend()
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('elsewhere')
  await clock.advance(10_000)
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('admitted')
})

test('a refused append rejects the attempt at once and leaves no tombstone', async () => {
  const { stores, clients, claim } = await startStores(1)
  clients[0]!.addAppendFaults('refused')
  expect(describeResult(await claim(stores[0]!, 'k'))).toBe('platform-down')
  expect(stores[0]!.report().notices).toBe(0)
})

test('during an outage claims are rejected without an append for each, and are admitted again afterwards', async () => {
  const { clock, log, stores, claim } = await startStores(1)
  log.setOutage(true)
  for (let attempt = 0; attempt < 50; attempt++) expect(describeResult(await claim(stores[0]!, `k${attempt}`))).toBe('platform-down')
  expect(stores[0]!.report().appends).toBeLessThan(15)
  log.setOutage(false)
  await clock.advance(5_000)
  expect(describeResult(await claim(stores[0]!, 'k0'))).toBe('admitted')
})

test('an attempt of a process that was paused past the deadline is not admitted', async () => {
  const { clock, log, stores, gates, claim } = await startStores(2)
  const running = stores[0]!.claimKey(createAttempt(clock, 'k'))
  while (log.store.readBounds(STREAM).next === 0) await new Promise((resolve) => setImmediate(resolve))
  gates[0]!.pause()
  await clock.advance(60_000)
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('elsewhere')
  gates[0]!.resume()
  await clock.advance(1_000)
  expect(describeResult(await running)).toBe('deadline-passed')
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('admitted')
})

test('many claims share one append', async () => {
  const { clock, stores } = await startStores(1)
  const running = Promise.all(Array.from({ length: 1_000 }, (_, number) => stores[0]!.claimKey(createAttempt(clock, `k${number}`))))
  await clock.advance(1_000)
  expect((await running).map(describeResult).every((kind) => kind === 'admitted')).toBe(true)
  expect(stores[0]!.report().appends).toBeLessThan(10)
})

test('a key is free again after its claim window', async () => {
  const { clock, stores, claim, claimAdmitted } = await startStores(2)
  await claimAdmitted(stores[0]!, 'k')
  await clock.advance(CLAIM_WINDOW_MS - 60_000)
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('elsewhere')
  await clock.advance(66_000)
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('admitted')
  expect(describeResult(await claim(stores[0]!, 'k'))).toBe('elsewhere')
})

test('the claim window counts from the deadline, the last instant at which the request may be sent', async () => {
  const { clock, stores, claim, claimAdmitted } = await startStores(2)
  const admitted = await claimAdmitted(stores[0]!, 'k')
  await clock.advance(4_900)
  expect(admitted.canSend!()).toBe(true)
  await clock.advance(CLAIM_WINDOW_MS - 1_000)
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('elsewhere')
})

test('a duplicate attempt gets the response to the one in progress, or is admitted when that one is released', async () => {
  const { clock, stores, claimAdmitted } = await startStores(2)
  for (const ending of ['repeated', 'admitted']) {
    const admitted = await claimAdmitted(stores[0]!, ending)
    const running = stores.map((store) => store.claimKey(createAttempt(clock, ending)))
    await clock.advance(300)
    if (ending === 'repeated') admitted.recordResponse(RESPONSE)
    else admitted.releaseClaim()
    await clock.advance(3_000)
    const kinds = (await Promise.all(running)).map(describeResult)
    expect(kinds).toContain(ending)
    expect(kinds.filter((kind) => kind === 'admitted').length).toBeLessThanOrEqual(1)
  }
})

test('a response is returned to later attempts before it is written to the log', async () => {
  const { log, stores, claim, claimAdmitted } = await startStores(1)
  const admitted = await claimAdmitted(stores[0]!, 'k')
  log.setOutage(true)
  admitted.recordResponse(RESPONSE)
  expect(getBody((await claim(stores[0]!, 'k'))._unsafeUnwrap())).toEqual([1, 2, 3])
})

test('keys whose claim window has ended are dropped from memory', async () => {
  const { clock, stores, claim } = await startStores(1)
  for (let number = 0; number < 20; number++) await claim(stores[0]!, `old${number}`)
  await clock.advance(CLAIM_WINDOW_MS + 120_000)
  await claim(stores[0]!, 'new')
  expect(stores[0]!.report().keys).toBe(1)
})

test('malformed, oversized and unknown records are skipped by every reader and counted', async () => {
  const { clock, log, stores, addStore, claim } = await startStores(2)
  const claimEntry = { kind: 'claim' as const, seq: 1, key: 'a'.repeat(32), digest: 'b'.repeat(32), windowMs: 1_000 }
  const record = { type: 'claims' as const, v: 1 as const, writer: 'w', atMs: 1, entries: [claimEntry] }
  const invalidRecords = [
    new Uint8Array(0),
    new Uint8Array([0xff, 0x00, 0x13]),
    encodeClaimRecord({ ...record, v: 2 as 1 }),
    encodeClaimRecord({ ...record, writer: 'x'.repeat(500) }),
    encodeClaimRecord({ ...record, entries: [{ ...claimEntry, seq: -1 }] }),
    encodeClaimRecord({ ...record, type: 'other' as 'claims' }),
    new Uint8Array(MAX_RECORD_BYTES + 1)
  ]
  for (const data of invalidRecords) log.store.appendRecord(STREAM, data)
  await clock.advance(100)
  expect(describeResult(await claim(stores[0]!, 'k'))).toBe('admitted')
  const lateStore = await addStore()
  expect(describeResult(await claim(lateStore, 'k'))).toBe('elsewhere')
  for (const store of stores) expect(store.report().skipped).toBe(invalidRecords.length)
})

test('flush writes waiting responses, or ends at its deadline', async () => {
  const { clock, log, stores, claimAdmitted } = await startStores(1, { responseLingerMs: 60_000 })
  const admitted = await claimAdmitted(stores[0]!, 'k')
  admitted.recordResponse(RESPONSE)
  let isFlushed = false
  const flushing = stores[0]!.flush(clock.monotonicMs() + 1_000).then(() => { isFlushed = true })
  await clock.advance(100)
  await flushing
  expect(isFlushed).toBe(true)
  expect(stores[0]!.report().notices).toBe(0)
  log.setOutage(true)
  admitted.recordResponse(RESPONSE)
  const second = await startStores(1)
  const admittedThere = await second.claimAdmitted(second.stores[0]!, 'k')
  second.log.setOutage(true)
  admittedThere.recordResponse(RESPONSE)
  const ending = second.stores[0]!.flush(second.clock.monotonicMs() + 1_000)
  await second.clock.advance(1_100)
  await ending
  expect(second.stores[0]!.report().notices).toBe(1)
})

test('a closed store rejects attempts, and its claims stay in effect', async () => {
  const { stores, claim, claimAdmitted } = await startStores(2)
  await claimAdmitted(stores[0]!, 'k')
  await stores[0]!.close()
  expect(describeResult(await claim(stores[0]!, 'k2'))).toBe('platform-down')
  expect(describeResult(await claim(stores[1]!, 'k'))).toBe('elsewhere')
})
