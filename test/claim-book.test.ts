import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { encodeClaimRecord, LARGEST_RECORD_BYTES } from '../src/process/claims/claim-record.ts'
import { formatClaimStream } from '../src/process/claims/log-claim-book.ts'
import type { LogClaimBook, LogClaimBookOptions } from '../src/process/claims/log-claim-book.ts'
import { createFakeLog } from './support/fake-log.ts'
import type { FakeLogClient } from './support/fake-log.ts'
import { createProcessGate } from './support/process-gate.ts'
import type { ProcessGate } from './support/process-gate.ts'
import { createAttempt, createTestBook, describeVerdict, WINDOW_MS } from './support/claim-fixtures.ts'
import type { ClaimVerdict } from '../src/process/claims/claim-book.ts'

const STREAM = formatClaimStream(0)
const OUTCOME = { status: 201, headers: { 'content-type': 'text/plain' }, body: new Uint8Array([1, 2, 3]) }

/** Starts books over one log and waits until they are ready. */
async function startBooks (count: number, options: Partial<LogClaimBookOptions> = {}) {
  const clock = createTestClock()
  const log = createFakeLog({ clock })
  const clients: FakeLogClient[] = []
  const gates: ProcessGate[] = []
  const books: LogClaimBook[] = []
  const addBook = async (): Promise<LogClaimBook> => {
    const gate = createProcessGate()
    const client = log.createClient(gate)
    const book = createTestBook(client, gate.createClock(clock), `incarnation-${books.length}`, options)
    gates.push(gate)
    clients.push(client)
    books.push(book)
    await clock.advance(20)
    return book
  }
  for (let number = 0; number < count; number++) await addBook()
  /** Runs an attempt to its verdict, moving the clock. */
  const claim = async (book: LogClaimBook, key: string, body?: string, waitMs?: number) => {
    const progress = { isOver: false }
    const running = book.claimKey(createAttempt(clock, key, body, waitMs)).finally(() => { progress.isOver = true })
    while (!progress.isOver) await clock.advance(20)
    return running
  }
  const claimAdmitted = async (book: LogClaimBook, key: string) => {
    const verdict = (await claim(book, key))._unsafeUnwrap()
    if (verdict.kind !== 'admitted') throw new Error(`expected admitted, got ${verdict.kind}`)
    return verdict.claim
  }
  return { clock, log, clients, gates, books, addBook, claim, claimAdmitted }
}

function getBody (verdict: ClaimVerdict): number[] | undefined {
  return verdict.kind === 'repeated' && verdict.outcome.body ? [...verdict.outcome.body] : undefined
}

test('a key is admitted once, whichever book is asked', async () => {
  const { books, claim } = await startBooks(3)
  const kinds = []
  for (const book of [...books, ...books]) kinds.push(describeVerdict(await claim(book, 'k')))
  expect(kinds).toEqual(['admitted', 'elsewhere', 'elsewhere', 'elsewhere', 'elsewhere', 'elsewhere'])
})

test('of many attempts at once exactly one is admitted', async () => {
  const { clock, books } = await startBooks(4)
  const running = Promise.all(books.flatMap((book) => [1, 2, 3].map(() => book.claimKey(createAttempt(clock, 'k')))))
  await clock.advance(1_000)
  const kinds = (await running).map(describeVerdict)
  expect(kinds.filter((kind) => kind === 'admitted')).toHaveLength(1)
  expect(kinds.filter((kind) => kind === 'elsewhere')).toHaveLength(11)
})

test('a recorded outcome is given to the same request only', async () => {
  const { clock, books, claim, claimAdmitted } = await startBooks(2)
  const admitted = await claimAdmitted(books[0]!, 'k')
  admitted.recordOutcome(OUTCOME)
  await clock.advance(1_000)
  for (const book of books) {
    expect(getBody((await claim(book, 'k'))._unsafeUnwrap())).toEqual([1, 2, 3])
    expect(describeVerdict(await claim(book, 'k', 'other'))).toBe('key-reused')
  }
})

test('a body too large to keep is left out of the outcome', async () => {
  const { clock, books, claim, claimAdmitted } = await startBooks(2)
  const admitted = await claimAdmitted(books[0]!, 'k')
  admitted.recordOutcome({ ...OUTCOME, body: new Uint8Array(5_000) })
  await clock.advance(1_000)
  const verdict = (await claim(books[1]!, 'k'))._unsafeUnwrap()
  expect(verdict).toMatchObject({ kind: 'repeated', outcome: { status: 201 } })
  expect(getBody(verdict)).toBeUndefined()
})

test('a void frees the key and ends the right to send', async () => {
  const { clock, books, claim, claimAdmitted } = await startBooks(2)
  const admitted = await claimAdmitted(books[0]!, 'k')
  expect(admitted.canSend!()).toBe(true)
  admitted.voidClaim()
  expect(admitted.canSend!()).toBe(false)
  await clock.advance(200)
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('admitted')
})

test('a void after the outcome changes nothing', async () => {
  const { clock, books, claim, claimAdmitted } = await startBooks(2)
  const admitted = await claimAdmitted(books[0]!, 'k')
  admitted.recordOutcome(OUTCOME)
  admitted.voidClaim()
  await clock.advance(1_000)
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('repeated')
})

test('the right to send ends with the deadline', async () => {
  const { clock, books, claimAdmitted } = await startBooks(1)
  const admitted = await claimAdmitted(books[0]!, 'k')
  await clock.advance(6_000)
  expect(admitted.canSend!()).toBe(false)
})

test('an append whose answer is lost after its effect is settled by reading it back', async () => {
  const { books, clients, claim } = await startBooks(2)
  clients[0]!.addAppendFaults('answer-lost')
  expect(describeVerdict(await claim(books[0]!, 'k'))).toBe('admitted')
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('elsewhere')
  expect(books[0]!.report().unsettled).toBe(1)
})

test('an append that never landed is answered not-run and leaves the key free', async () => {
  const { clock, books, clients, claim } = await startBooks(2)
  clients[0]!.addAppendFaults('never-landed')
  expect(describeVerdict(await claim(books[0]!, 'k'))).toBe('platform-down')
  await clock.advance(200)
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('admitted')
})

test('an append that lands after its claimant gave up admits nobody and blocks nobody', async () => {
  const { clock, log, books, clients, claim } = await startBooks(2)
  clients[0]!.addAppendFaults('late-lost')
  expect(describeVerdict(await claim(books[0]!, 'k'))).toBe('platform-down')
  await clock.advance(500)
  expect(log.releaseLateAppend()).toBe(true)
  await clock.advance(500)
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('admitted')
})

test('a late append that lands before its void is voided after it', async () => {
  const { clock, log, books, clients, claim } = await startBooks(2)
  clients[0]!.addAppendFaults('late-lost', 'refused', 'refused', 'refused', 'refused')
  expect(describeVerdict(await claim(books[0]!, 'k'))).toBe('platform-down')
  log.releaseLateAppend()
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('elsewhere')
  await clock.advance(10_000)
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('admitted')
})

test('a refused append is answered not-run at once', async () => {
  const { books, clients, claim } = await startBooks(1)
  clients[0]!.addAppendFaults('refused')
  expect(describeVerdict(await claim(books[0]!, 'k'))).toBe('platform-down')
  expect(books[0]!.report().notices).toBe(0)
})

test('during an outage claims are refused without an append for each, and work again afterwards', async () => {
  const { clock, log, books, claim } = await startBooks(1)
  log.setOutage(true)
  for (let attempt = 0; attempt < 50; attempt++) expect(describeVerdict(await claim(books[0]!, `k${attempt}`))).toBe('platform-down')
  expect(books[0]!.report().appends).toBeLessThan(15)
  log.setOutage(false)
  await clock.advance(5_000)
  expect(describeVerdict(await claim(books[0]!, 'k0'))).toBe('admitted')
})

test('a process that was paused for long is not admitted after its deadline', async () => {
  const { clock, log, books, gates, claim } = await startBooks(2)
  const running = books[0]!.claimKey(createAttempt(clock, 'k'))
  while (log.store.readBounds(STREAM).next === 0) await new Promise((resolve) => setImmediate(resolve))
  gates[0]!.pause()
  await clock.advance(60_000)
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('elsewhere')
  gates[0]!.resume()
  await clock.advance(1_000)
  expect(describeVerdict(await running)).toBe('deadline-passed')
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('admitted')
})

test('many claims share one append', async () => {
  const { clock, books } = await startBooks(1)
  const running = Promise.all(Array.from({ length: 1_000 }, (_, number) => books[0]!.claimKey(createAttempt(clock, `k${number}`))))
  await clock.advance(1_000)
  expect((await running).map(describeVerdict).every((kind) => kind === 'admitted')).toBe(true)
  expect(books[0]!.report().appends).toBeLessThan(10)
})

test('a key is free again after its window', async () => {
  const { clock, books, claim, claimAdmitted } = await startBooks(2)
  await claimAdmitted(books[0]!, 'k')
  await clock.advance(WINDOW_MS - 60_000)
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('elsewhere')
  await clock.advance(66_000)
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('admitted')
  expect(describeVerdict(await claim(books[0]!, 'k'))).toBe('elsewhere')
})

test('the window counts from the last instant at which the request may be sent', async () => {
  const { clock, books, claim, claimAdmitted } = await startBooks(2)
  const admitted = await claimAdmitted(books[0]!, 'k')
  await clock.advance(4_900)
  expect(admitted.canSend!()).toBe(true)
  await clock.advance(WINDOW_MS - 1_000)
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('elsewhere')
})

test('a repeated attempt gets the answer of the one in progress, or takes its place when that is void', async () => {
  const { clock, books, claimAdmitted } = await startBooks(2)
  for (const ending of ['repeated', 'admitted']) {
    const admitted = await claimAdmitted(books[0]!, ending)
    const running = books.map((book) => book.claimKey(createAttempt(clock, ending)))
    await clock.advance(300)
    if (ending === 'repeated') admitted.recordOutcome(OUTCOME)
    else admitted.voidClaim()
    await clock.advance(3_000)
    const kinds = (await Promise.all(running)).map(describeVerdict)
    expect(kinds).toContain(ending)
    expect(kinds.filter((kind) => kind === 'admitted').length).toBeLessThanOrEqual(1)
  }
})

test('an answer is repeated before it stands on the log', async () => {
  const { log, books, claim, claimAdmitted } = await startBooks(1)
  const admitted = await claimAdmitted(books[0]!, 'k')
  log.setOutage(true)
  admitted.recordOutcome(OUTCOME)
  expect(getBody((await claim(books[0]!, 'k'))._unsafeUnwrap())).toEqual([1, 2, 3])
})

test('keys that have left their window are dropped from memory', async () => {
  const { clock, books, claim } = await startBooks(1)
  for (let number = 0; number < 20; number++) await claim(books[0]!, `old${number}`)
  await clock.advance(WINDOW_MS + 120_000)
  await claim(books[0]!, 'new')
  expect(books[0]!.report().keys).toBe(1)
})

test('malformed, oversized and foreign records are skipped alike and counted', async () => {
  const { clock, log, books, addBook, claim } = await startBooks(2)
  const claimEntry = { kind: 'claim' as const, seq: 1, key: 'a'.repeat(32), digest: 'b'.repeat(32), windowMs: 1_000 }
  const record = { type: 'claims' as const, v: 1 as const, writer: 'w', atMs: 1, entries: [claimEntry] }
  const foreign = [
    new Uint8Array(0),
    new Uint8Array([0xff, 0x00, 0x13]),
    encodeClaimRecord({ ...record, v: 2 as 1 }),
    encodeClaimRecord({ ...record, writer: 'x'.repeat(500) }),
    encodeClaimRecord({ ...record, entries: [{ ...claimEntry, seq: -1 }] }),
    encodeClaimRecord({ ...record, type: 'other' as 'claims' }),
    new Uint8Array(LARGEST_RECORD_BYTES + 1)
  ]
  for (const data of foreign) log.store.appendRecord(STREAM, data)
  await clock.advance(100)
  expect(describeVerdict(await claim(books[0]!, 'k'))).toBe('admitted')
  const late = await addBook()
  expect(describeVerdict(await claim(late, 'k'))).toBe('elsewhere')
  for (const book of books) expect(book.report().skipped).toBe(foreign.length)
})

test('flush writes waiting outcomes, or ends at its deadline', async () => {
  const { clock, log, books, claimAdmitted } = await startBooks(1, { outcomeLingerMs: 60_000 })
  const admitted = await claimAdmitted(books[0]!, 'k')
  admitted.recordOutcome(OUTCOME)
  let isFlushed = false
  const flushing = books[0]!.flush(clock.monotonicMs() + 1_000).then(() => { isFlushed = true })
  await clock.advance(100)
  await flushing
  expect(isFlushed).toBe(true)
  expect(books[0]!.report().notices).toBe(0)
  log.setOutage(true)
  admitted.recordOutcome(OUTCOME)
  const second = await startBooks(1)
  const held = await second.claimAdmitted(second.books[0]!, 'k')
  second.log.setOutage(true)
  held.recordOutcome(OUTCOME)
  const ending = second.books[0]!.flush(second.clock.monotonicMs() + 1_000)
  await second.clock.advance(1_100)
  await ending
  expect(second.books[0]!.report().notices).toBe(1)
})

test('a closed book refuses, and what it held stays claimed', async () => {
  const { books, claim, claimAdmitted } = await startBooks(2)
  await claimAdmitted(books[0]!, 'k')
  await books[0]!.close()
  expect(describeVerdict(await claim(books[0]!, 'k2'))).toBe('platform-down')
  expect(describeVerdict(await claim(books[1]!, 'k'))).toBe('elsewhere')
})
