import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { createRandom } from '../replay/random.ts'
import { createTestClock } from '../src/clock.ts'
import type { DatagramAddress } from '../src/connection/datagram-socket.ts'
import { createError } from '../src/errors.ts'
import type { StoreClient } from '../src/platform/store-client.ts'
import type { KeyedRecord } from '../src/platform/store-frames.ts'
import { createEntryContacts } from '../src/process/gateway/entry-contacts.ts'
import type { EntryContacts } from '../src/process/gateway/entry-contacts.ts'
import { toBrand } from '../src/types.ts'
import type { StoreEpoch } from '../src/types.ts'
import { SILENT_LOGGER } from './support/silent-logger.ts'

const PEER_PORT = 7_660

/** Entries that write to one store; each that is greeted by another knows it from then on. */
function setup (count: number, changes: { isFirstStart?: boolean, isStoreLost?: boolean } = {}) {
  const clock = createTestClock()
  const random = createRandom(3)
  const records = new Map<string, KeyedRecord>()
  const state = { isStoreLost: changes.isStoreLost ?? false, reads: 0, appends: 0, reader: undefined as string | undefined, epoch: toBrand<StoreEpoch>(1) }
  const known = new Set<string>()
  const found: DatagramAddress[][] = []
  const store: StoreClient = {
    async readNewest () {
      state.reads += 1
      await clock.wait(5)
      if (state.isStoreLost) return err(createError('log-unavailable', 'no response'))
      return ok({ records: [...records.values()], next: records.size, isEnd: true, malformed: 0, epoch: state.epoch })
    },
    readFrom: async () => err(createError('log-unavailable', 'unused')),
    async append (_, key, value) {
      state.appends += 1
      await clock.wait(5)
      if (state.isStoreLost) return err(createError('log-unavailable', 'no response'))
      records.set(key, { key, offset: records.size, value })
      return ok(state.epoch)
    },
    getEpoch: () => state.epoch,
    report: () => ({ reads: 0, appends: 0, failures: 0, receivedBytes: 0 }),
    close: async () => undefined
  }
  const entries: EntryContacts[] = []
  const idByAddress = new Map<string, string>()
  for (let index = 0; index < count; index++) {
    const id = `front-${index}`
    const address = `10.0.0.${index + 1}`
    idByAddress.set(address, id)
    const contacts = createEntryContacts({
      self: { id: toBrand(id), zone: toBrand('zone-a'), address, port: 8_144, peerPort: PEER_PORT, run: 1, version: 0, status: { isReady: false, isLeaving: false, isBusy: false, canReadStore: true, isCutOff: false, isPartlyCutOff: false } },
      store,
      clock,
      random,
      logger: SILENT_LOGGER,
      isFirstStart: changes.isFirstStart ?? false,
      hasPeers: () => known.has(id),
      isReader: () => state.reader === id,
      handleContacts (contacts) {
        found.push([...contacts])
        if (contacts.length > 0) known.add(id)
        for (const contact of contacts) known.add(idByAddress.get(contact.address) ?? '')
      }
    })
    contacts.start()
    entries.push(contacts)
  }
  return { clock, state, records, found, known, entries }
}

test('of 120 entries that start for the first time at once, few read, and all know another one', async () => {
  const { clock, state, known } = setup(120, { isFirstStart: true })
  await clock.advance(3_000)
  expect(known.size).toBe(120)
  expect(state.appends).toBe(120)
  expect(state.reads).toBeLessThanOrEqual(12)
})

test('an entry that is alone keeps looking for others, ever more rarely', async () => {
  const { clock, state } = setup(1)
  await clock.advance(60_000)
  expect(state.reads).toBeGreaterThan(5)
  const before = state.reads
  await clock.advance(60_000)
  expect(state.reads - before).toBeLessThanOrEqual(2)
})

test('an entry that starts while the store is unavailable writes its record and reads the others once it responds', async () => {
  const { clock, state, known, records } = setup(2, { isStoreLost: true })
  await clock.advance(10_000)
  expect(records.size).toBe(0)
  state.isStoreLost = false
  await clock.advance(2_000)
  expect(records.size).toBe(2)
  expect(known.size).toBe(2)
})

test('the reader looks for others now and then although it knows some, and other entries do not', async () => {
  const { clock, state } = setup(3)
  state.reader = 'front-1'
  await clock.advance(40_000)
  const before = state.reads
  await clock.advance(120_000)
  expect(state.reads - before).toBeGreaterThanOrEqual(2)
  expect(state.reads - before).toBeLessThanOrEqual(4)
})

test('records that cannot be decoded are skipped, and the others are used', async () => {
  const { clock, records, found } = setup(1)
  const write = (key: string, value: string): void => { records.set(key, { key, offset: records.size, value: Buffer.from(value) }) }
  write('broken', '{')
  write('no-port', JSON.stringify({ address: '10.0.0.8' }))
  write('sound', JSON.stringify({ address: '10.0.0.9', peerPort: PEER_PORT }))
  await clock.advance(1_000)
  expect(found[0]).toEqual([{ address: '10.0.0.9', port: PEER_PORT }])
})

test('after a restore of the store each entry writes its record once more, also when the store fails at first', async () => {
  const { clock, state, records, entries } = setup(7)
  await clock.advance(3_000)
  records.clear()
  state.epoch = toBrand<StoreEpoch>(2)
  state.isStoreLost = true
  for (const entry of entries) entry.handleEpoch()
  await clock.advance(2_000)
  state.isStoreLost = false
  await clock.advance(2_000)
  expect(records.size).toBe(7)
  const { appends } = state
  await clock.advance(20_000)
  expect(state.appends).toBe(appends)
})
