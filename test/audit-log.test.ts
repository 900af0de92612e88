import { afterEach, beforeEach, expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import type { TestClock } from '../src/clock.ts'
import { AUDIT_STREAM, createAuditLog, decodeAuditBatch } from '../src/process/audit/audit-log.ts'
import type { AuditLog } from '../src/process/audit/audit-log.ts'
import type { AuditEvent } from '../src/process/audit/audit-trail.ts'
import { toBrand } from '../src/types.ts'
import type { EntryId, Offset } from '../src/types.ts'
import { createFakeLog } from './support/fake-log.ts'
import type { FakeLog, FakeLogClient } from './support/fake-log.ts'
import { createProcessGate } from './support/process-gate.ts'

const SECOND_MS = 1_000
let clock: TestClock
let fake: FakeLog
let client: FakeLogClient
let audit: AuditLog

beforeEach(() => {
  clock = createTestClock()
  fake = createFakeLog({ clock })
  client = fake.createClient(createProcessGate())
  audit = createAuditLog({ log: client, clock, entry: toBrand<EntryId>('e1'), maxWaitingEvents: 5 })
  audit.start()
})

afterEach(async () => {
  const closing = audit.close()
  await clock.advance(SECOND_MS)
  await closing
})

function recordMany (count: number): void {
  for (let index = 0; index < count; index++) audit.record({ type: 'checkpoint-written', offset: toBrand<Offset>(index) })
}

function listWritten (): AuditEvent[] {
  const page = fake.store.readRecords(AUDIT_STREAM, toBrand<Offset>(0))
  return page?.records.flatMap(({ data }) => decodeAuditBatch(data)?.records ?? []).map(({ event }) => event) ?? []
}

test('events of one interval are written in one append', async () => {
  recordMany(3)
  await clock.advance(SECOND_MS)
  expect(listWritten()).toHaveLength(3)
  expect(fake.store.readBounds(AUDIT_STREAM).next).toBe(1)
  expect(audit.report()).toEqual({ written: 3, waiting: 0, lost: 0 })
})

test('events dropped because the buffer is full are counted, and the trail states how many were lost', async () => {
  recordMany(8)
  expect(audit.report()).toEqual({ written: 0, waiting: 5, lost: 3 })
  await clock.advance(SECOND_MS)
  expect(listWritten()[0]).toEqual({ type: 'events-lost', count: 3 })
  expect(listWritten()).toHaveLength(6)
})

test('events wait during an outage and are written after it', async () => {
  fake.setOutage(true)
  recordMany(2)
  await clock.advance(5 * SECOND_MS)
  expect(audit.report()).toEqual({ written: 0, waiting: 2, lost: 0 })
  fake.setOutage(false)
  await clock.advance(SECOND_MS)
  expect(listWritten()).toHaveLength(2)
})

test('a batch whose response was lost is written again with the same id', async () => {
  client.addAppendFaults('answer-lost')
  recordMany(2)
  await clock.advance(2 * SECOND_MS)
  const page = fake.store.readRecords(AUDIT_STREAM, toBrand<Offset>(0))
  const batches = page?.records.map(({ data }) => decodeAuditBatch(data)) ?? []
  expect(batches).toHaveLength(2)
  expect(batches[0]).toEqual(batches[1])
  expect(audit.report()).toEqual({ written: 2, waiting: 0, lost: 0 })
})

test('a flush writes the waiting events, or ends at its deadline', async () => {
  recordMany(2)
  const flushed = audit.flush(clock.monotonicMs() + SECOND_MS)
  await clock.advance(1)
  await flushed
  expect(audit.report().waiting).toBe(0)
  fake.setOutage(true)
  recordMany(2)
  const failing = audit.flush(clock.monotonicMs() + SECOND_MS)
  await clock.advance(2 * SECOND_MS)
  await failing
  expect(audit.report().waiting).toBe(2)
})
