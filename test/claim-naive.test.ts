import fc from 'fast-check'
import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { Decoder, Encoder } from 'cbor-x'
import { createError } from '../src/errors.ts'
import type { AppError } from '../src/errors.ts'
import type { ClaimAttempt, ClaimBook, ClaimVerdict, RecordedOutcome } from '../src/process/claims/claim-book.ts'
import { formatClaimStream } from '../src/process/claims/log-claim-book.ts'
import type { LogClient } from '../src/process/log-client.ts'
import type { Offset } from '../src/types.ts'
import { MODEL_WINDOW_MS, runHistory, stepArbitrary } from './support/claim-model.ts'
import type { Strategy, StrategyParts } from './support/claim-model.ts'
import type { Result } from 'neverthrow'

// Each naive form stands here so that the judge is shown to catch it.

const STREAM = formatClaimStream(0)
const LEASE_MS = 3_000
const SEED = 20_261_204
const LARGEST_HISTORIES = 1_000
const codec = { encoder: new Encoder({ tagUint8Array: false, useRecords: false }), decoder: new Decoder({ useRecords: false }) }

interface NaiveRecord { offset: Offset, key: string, writer: string, atMs: number, outcome?: RecordedOutcome }

/** Reads all that the stream holds. */
async function readAll (log: LogClient): Promise<NaiveRecord[] | undefined> {
  const bounds = await log.readBounds(STREAM)
  if (bounds.isErr()) return undefined
  const page = await log.read(STREAM, bounds.value.earliest, { limit: 10_000 })
  if (page.isErr()) return undefined
  const decoded = page.value.records.map(({ offset, data }) => {
    try {
      return { ...codec.decoder.decode(data) as NaiveRecord, offset }
    } catch {
      return undefined
    }
  })
  return decoded.filter((record): record is NaiveRecord => typeof record?.key === 'string')
}

function refuse (): Result<ClaimVerdict, AppError> {
  return err(createError('platform-down', 'The log failed.'))
}

/** Creates a book around a way of admitting a key. */
function createNaiveBook (parts: StrategyParts, admit: (attempt: ClaimAttempt, append: () => Promise<Result<Offset, AppError>>) => Promise<Result<ClaimVerdict, AppError>>): ClaimBook {
  const { log, clock, incarnation: writer } = parts
  return {
    async claimKey (attempt) {
      const { keyHash: key } = attempt
      const append = () => log.append(STREAM, codec.encoder.encode({ key, writer, atMs: clock.wallMs() }))
      return await admit(attempt, append)
    },
    flush: async () => {},
    report: () => ({ keys: 0, appends: 0, unsettled: 0 })
  }
}

function buildAdmitted ({ log, clock, incarnation: writer }: StrategyParts, { keyHash: key }: ClaimAttempt): Result<ClaimVerdict, AppError> {
  const recordOutcome = (outcome: RecordedOutcome): void => {
    log.append(STREAM, codec.encoder.encode({ key, writer, atMs: clock.wallMs(), outcome })).catch(() => {})
  }
  return ok({ kind: 'admitted', claim: { voidClaim: () => {}, recordOutcome } })
}

function findRecent (records: NaiveRecord[], attempt: ClaimAttempt, nowMs: number, withinMs: number): NaiveRecord | undefined {
  return records.findLast((record) => record.key === attempt.keyHash && nowMs - record.atMs < withinMs)
}

/** Looks whether the key is taken, and writes if not. */
const createCheckThenWrite: Strategy = (parts) => createNaiveBook(parts, async (attempt, append) => {
  const records = await readAll(parts.log)
  if (!records) return refuse()
  if (findRecent(records, attempt, parts.clock.wallMs(), MODEL_WINDOW_MS)) return ok({ kind: 'elsewhere' })
  return (await append()).isOk() ? buildAdmitted(parts, attempt) : refuse()
})

/** Takes a lease on the key in the log's order; a lease that has run out without an outcome may be taken over. */
const createLease: Strategy = (parts) => createNaiveBook(parts, async (attempt, append) => {
  const offset = await append()
  if (offset.isErr()) return refuse()
  const records = await readAll(parts.log)
  if (!records) return refuse()
  const nowMs = parts.clock.wallMs()
  const isAnswered = records.some((record) => record.key === attempt.keyHash && record.outcome && nowMs - record.atMs < MODEL_WINDOW_MS)
  const first = records.find((record) => record.key === attempt.keyHash && !record.outcome && nowMs - record.atMs < LEASE_MS)
  if (isAnswered || first?.offset !== offset.value) return ok({ kind: 'elsewhere' })
  return buildAdmitted(parts, attempt)
})

/** Checks its own memory, and takes a good answer to the append for the right to send. */
const createTrustInAnswer: Strategy = (parts) => {
  const claimedAtMs = new Map<string, number>()
  return createNaiveBook(parts, async (attempt, append) => {
    const nowMs = parts.clock.wallMs()
    if (nowMs - (claimedAtMs.get(attempt.keyHash) ?? 0) < MODEL_WINDOW_MS) return ok({ kind: 'elsewhere' })
    if ((await append()).isErr()) return refuse()
    claimedAtMs.set(attempt.keyHash, nowMs)
    for (const record of await readAll(parts.log) ?? []) claimedAtMs.set(record.key, record.atMs)
    return buildAdmitted(parts, attempt)
  })
}

/** Asserts that some history makes the judge find a key that ran twice. */
async function expectCaught (strategy: Strategy): Promise<void> {
  let caught: string[] = []
  const property = fc.asyncProperty(fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }), async (steps) => {
    const { faults } = await runHistory(strategy, steps)
    const doubled = faults.filter((fault) => fault.includes('ran at'))
    if (doubled.length > 0) caught = doubled
    return doubled.length === 0
  })
  const result = await fc.check(property, { numRuns: LARGEST_HISTORIES, seed: SEED, endOnFailure: true })
  expect(result.failed).toBe(true)
  console.log(`caught after ${result.numRuns} histories: ${caught[0]}`)
}

test('check then write runs a key twice', () => expectCaught(createCheckThenWrite))

test('a lease with expiry runs a key twice', () => expectCaught(createLease))

test('trust in the answer of the append runs a key twice', () => expectCaught(createTrustInAnswer))
