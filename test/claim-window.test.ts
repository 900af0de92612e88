import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { formatClaimStream } from '../src/process/claims/log-claim-store.ts'
import type { LogClaimStore, LogClaimStoreOptions } from '../src/process/claims/log-claim-store.ts'
import { createFakeLog } from './support/fake-log.ts'
import type { FakeLogClient } from './support/fake-log.ts'
import { createProcessGate } from './support/process-gate.ts'
import type { ProcessGate } from './support/process-gate.ts'
import { createAttempt, createTestStore, describeResult, CLAIM_WINDOW_MS } from './support/claim-fixtures.ts'

const STREAM = formatClaimStream(0)
const RETENTION_MS = CLAIM_WINDOW_MS / 4
const RESPONSE = { status: 201, headers: {}, body: new Uint8Array([7]) }

interface TestProcess { store: LogClaimStore, gate: ProcessGate, client: FakeLogClient }

/** Sets up a log that keeps records for a quarter of the claim window. */
function setup () {
  const clock = createTestClock()
  const log = createFakeLog({ clock })
  let started = 0
  const startProcess = async (options: Partial<LogClaimStoreOptions> = {}): Promise<TestProcess> => {
    const gate = createProcessGate()
    const client = log.createClient(gate)
    const settings: Partial<LogClaimStoreOptions> = { retentionMs: RETENTION_MS, maxWindowMs: CLAIM_WINDOW_MS, ...options }
    const store = createTestStore(client, gate.createClock(clock), `incarnation-${started++}`, settings)
    for (let step = 0; step < 20; step++) await clock.advance(10)
    return { store, gate, client }
  }
  /** Advances the clock while the log removes records past their retention. */
  const advanceWithRetention = async (ms: number): Promise<void> => {
    const STEP_MS = 60_000
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      await clock.advance(Math.min(STEP_MS, ms - passedMs))
      log.store.dropOlderThan(clock.wallMs() - RETENTION_MS)
    }
  }
  const claim = async (store: LogClaimStore, key: string) => {
    const progress = { isSettled: false }
    const running = store.claimKey(createAttempt(clock, key)).finally(() => { progress.isSettled = true })
    while (!progress.isSettled) await clock.advance(200)
    return running
  }
  const claimKind = async (store: LogClaimStore, key: string): Promise<string> => describeResult(await claim(store, key))
  return { clock, log, startProcess, advanceWithRetention, claim, claimKind }
}

async function stopProcess ({ store, gate }: TestProcess): Promise<void> {
  gate.kill()
  const closing = store.close()
  await Promise.race([closing, new Promise((resolve) => setImmediate(resolve))])
}

test('claims and responses outlive the log\'s retention, for a process that starts without state', async () => {
  const { startProcess, advanceWithRetention, claim, claimKind } = setup()
  const first = await startProcess()
  await claim(first.store, 'held')
  const answered = (await claim(first.store, 'answered'))._unsafeUnwrap()
  if (answered.kind === 'admitted') answered.claim.recordResponse(RESPONSE)
  await advanceWithRetention(3 * RETENTION_MS)
  await stopProcess(first)
  const second = await startProcess()
  expect(second.store.isReady()).toBe(true)
  expect(await claimKind(second.store, 'held')).toBe('elsewhere')
  const result = (await claim(second.store, 'answered'))._unsafeUnwrap()
  expect(result).toMatchObject({ kind: 'repeated', outcome: { status: 201 } })
  await advanceWithRetention(CLAIM_WINDOW_MS)
  expect(await claimKind(second.store, 'held')).toBe('admitted')
})

test('several processes write few checkpoints, and each checkpoint is complete', async () => {
  const { startProcess, advanceWithRetention, claimKind } = setup()
  const processes = [await startProcess({ random: () => 0.1 }), await startProcess({ random: () => 0.5 }), await startProcess({ random: () => 0.9 })]
  for (let number = 0; number < 10; number++) await claimKind(processes[number % 3]!.store, `k${number}`)
  await advanceWithRetention(2 * RETENTION_MS)
  const written = processes.reduce((sum, { store }) => sum + store.report().checkpoints, 0)
  expect(written).toBeGreaterThanOrEqual(4)
  expect(written).toBeLessThanOrEqual(12)
  const newProcess = await startProcess()
  expect(newProcess.store.report().keys).toBe(10)
})

test('a checkpoint in several parts is loaded completely, and one that lacks a part is not used', async () => {
  const { clock, log, startProcess, claimKind } = setup()
  const first = await startProcess({ claimWaitMs: 10_000 })
  const running = Promise.all(Array.from({ length: 2_500 }, (_, number) => first.store.claimKey(createAttempt(clock, `k${number}`))))
  await clock.advance(2_000)
  await running
  const afterClaims = log.store.readBounds(STREAM).next
  for (let step = 0; step < 50; step++) await clock.advance(RETENTION_MS / 100)
  expect(first.store.report().checkpoints).toBeGreaterThan(0)
  expect(log.store.readBounds(STREAM).next - afterClaims).toBeGreaterThan(1)
  await stopProcess(first)
  log.store.dropBefore(STREAM, afterClaims)
  const restored = await startProcess()
  expect(restored.store.report().keys).toBe(2_500)
  await stopProcess(restored)
  log.dropOldest([STREAM], 1)
  const newProcess = await startProcess()
  expect(newProcess.store.report().keys).toBe(0)
  expect(newProcess.store.report().unproven).toBe(1)
  expect(await claimKind(newProcess.store, 'k1')).toBe('platform-down')
})

test('a claim that is appended while a checkpoint is being written is kept', async () => {
  const { clock, log, startProcess, claimKind } = setup()
  const writer = await startProcess()
  const other = await startProcess({ retentionMs: CLAIM_WINDOW_MS * 100 })
  await claimKind(writer.store, 'early')
  const before = log.store.readBounds(STREAM).next
  writer.client.addAppendFaults('refused')
  while (writer.client.countAppendFaults() > 0) await clock.advance(50)
  await claimKind(other.store, 'meanwhile')
  for (let step = 0; step < 10; step++) await clock.advance(100)
  expect(writer.store.report().checkpoints).toBe(1)
  log.store.dropBefore(STREAM, before)
  const newProcess = await startProcess()
  expect(newProcess.store.isReady()).toBe(true)
  for (const key of ['early', 'meanwhile']) expect(await claimKind(newProcess.store, key)).toBe('elsewhere')
})

test('a process that was paused past the retention reloads its state and does not admit claimed keys', async () => {
  const { clock, startProcess, advanceWithRetention, claimKind } = setup()
  const paused = await startProcess()
  const other = await startProcess()
  await claimKind(paused.store, 'before')
  paused.gate.pause()
  await claimKind(other.store, 'during')
  await advanceWithRetention(2 * RETENTION_MS)
  paused.gate.resume()
  for (let step = 0; step < 20; step++) await clock.advance(100)
  expect(paused.store.isReady()).toBe(true)
  for (const key of ['before', 'during']) expect(await claimKind(paused.store, key)).toBe('elsewhere')
})

test('a process without complete state rejects claims until a peer with complete state writes a checkpoint', async () => {
  const { clock, log, startProcess, claimKind } = setup()
  const complete = await startProcess()
  for (const key of ['a', 'b', 'c', 'd']) await claimKind(complete.store, key)
  log.dropOldest([STREAM], 1)
  complete.gate.pause()
  const newProcess = await startProcess()
  expect(await claimKind(newProcess.store, 'a')).toBe('platform-down')
  expect(await claimKind(newProcess.store, 'new')).toBe('platform-down')
  complete.gate.resume()
  await clock.advance(15_000)
  expect(newProcess.store.isReady()).toBe(true)
  expect(await claimKind(newProcess.store, 'a')).toBe('elsewhere')
  expect(await claimKind(newProcess.store, 'new')).toBe('admitted')
})

test('when no process has the complete state, keys are admitted again after their claim window', async () => {
  const { log, startProcess, advanceWithRetention, claimKind } = setup()
  const first = await startProcess({ retentionMs: CLAIM_WINDOW_MS * 100 })
  for (const key of ['a', 'b', 'c']) await claimKind(first.store, key)
  await stopProcess(first)
  log.dropOldest([STREAM], 0)
  const newProcess = await startProcess()
  await advanceWithRetention(CLAIM_WINDOW_MS - 120_000)
  expect(await claimKind(newProcess.store, 'a')).toBe('platform-down')
  expect(newProcess.store.report().unproven).toBe(1)
  await advanceWithRetention(300_000)
  expect(await claimKind(newProcess.store, 'a')).toBe('admitted')
  expect(await claimKind(newProcess.store, 'a')).toBe('elsewhere')
  await advanceWithRetention(CLAIM_WINDOW_MS + 300_000)
  expect(newProcess.store.isReady()).toBe(true)
})
