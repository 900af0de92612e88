import fc from 'fast-check'
import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { Decoder, Encoder } from 'cbor-x'
import { createError } from '../src/errors.ts'
import type { AppError } from '../src/errors.ts'
import type { ClaimAttempt, ClaimStore, ClaimResult, StoredResponse } from '../src/process/claims/claim-store.ts'
import { formatClaimStream } from '../src/process/claims/log-claim-store.ts'
import type { LogClient } from '../src/process/log-client.ts'
import type { Offset } from '../src/types.ts'
import { MODEL_WINDOW_MS, runHistory, stepArbitrary } from './support/claim-model.ts'
import type { Strategy, StrategyParts } from './support/claim-model.ts'
import type { Result } from 'neverthrow'

// Runs flawed claim strategies against the claim model, to show that its checks detect a key that runs twice.

const STREAM = formatClaimStream(0)
const LEASE_MS = 3_000
const SEED = 20_261_204
const MAX_HISTORIES = 1_000
const codec = { encoder: new Encoder({ tagUint8Array: false, useRecords: false }), decoder: new Decoder({ useRecords: false }) }

interface NaiveRecord { offset: Offset, key: string, writer: string, atMs: number, outcome?: StoredResponse }

/** Reads all records of the stream. */
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

function reject (): Result<ClaimResult, AppError> {
  return err(createError('platform-down', 'The log failed.'))
}

/** Creates a claim store that admits keys by the given function. */
function createNaiveStore (parts: StrategyParts, admit: (attempt: ClaimAttempt, append: () => Promise<Result<Offset, AppError>>) => Promise<Result<ClaimResult, AppError>>): ClaimStore {
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

function buildAdmitted ({ log, clock, incarnation: writer }: StrategyParts, { keyHash: key }: ClaimAttempt): Result<ClaimResult, AppError> {
  const recordResponse = (response: StoredResponse): void => {
    log.append(STREAM, codec.encoder.encode({ key, writer, atMs: clock.wallMs(), outcome: response })).catch(() => {})
  }
  return ok<ClaimResult, AppError>({ kind: 'admitted', claim: { releaseClaim: () => {}, recordResponse } })
}

function findRecent (records: NaiveRecord[], attempt: ClaimAttempt, nowMs: number, withinMs: number): NaiveRecord | undefined {
  return records.findLast((record) => record.key === attempt.keyHash && nowMs - record.atMs < withinMs)
}

/** Reads whether the key is claimed, and appends a claim if not: two processes can both read before either appends. */
const createCheckThenAppend: Strategy = (parts) => createNaiveStore(parts, async (attempt, append) => {
  const records = await readAll(parts.log)
  if (!records) return reject()
  if (findRecent(records, attempt, parts.clock.wallMs(), MODEL_WINDOW_MS)) return ok({ kind: 'elsewhere' })
  return (await append()).isOk() ? buildAdmitted(parts, attempt) : reject()
})

/** Takes a lease on the key in log order; an expired lease without a response is taken over, even if its request still runs. */
const createLease: Strategy = (parts) => createNaiveStore(parts, async (attempt, append) => {
  const offset = await append()
  if (offset.isErr()) return reject()
  const records = await readAll(parts.log)
  if (!records) return reject()
  const nowMs = parts.clock.wallMs()
  const isAnswered = records.some((record) => record.key === attempt.keyHash && record.outcome && nowMs - record.atMs < MODEL_WINDOW_MS)
  const first = records.find((record) => record.key === attempt.keyHash && !record.outcome && nowMs - record.atMs < LEASE_MS)
  if (isAnswered || first?.offset !== offset.value) return ok({ kind: 'elsewhere' })
  return buildAdmitted(parts, attempt)
})

/** Checks only local memory, and sends when the append succeeds, whatever other claims precede it in the log. */
const createTrustInAppend: Strategy = (parts) => {
  const claimedAtMs = new Map<string, number>()
  return createNaiveStore(parts, async (attempt, append) => {
    const nowMs = parts.clock.wallMs()
    if (nowMs - (claimedAtMs.get(attempt.keyHash) ?? 0) < MODEL_WINDOW_MS) return ok({ kind: 'elsewhere' })
    if ((await append()).isErr()) return reject()
    claimedAtMs.set(attempt.keyHash, nowMs)
    for (const record of await readAll(parts.log) ?? []) claimedAtMs.set(record.key, record.atMs)
    return buildAdmitted(parts, attempt)
  })
}

/** Asserts that the model's checks find a key that ran twice in some generated history. */
async function expectCaught (strategy: Strategy): Promise<void> {
  let caught: string[] = []
  const property = fc.asyncProperty(fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }), async (steps) => {
    const { violations } = await runHistory(strategy, steps)
    const duplicateRuns = violations.filter((violation) => violation.includes('ran at'))
    if (duplicateRuns.length > 0) caught = duplicateRuns
    return duplicateRuns.length === 0
  })
  const result = await fc.check(property, { numRuns: MAX_HISTORIES, seed: SEED, endOnFailure: true })
  expect(result.failed).toBe(true)
  console.log(`caught after ${result.numRuns} histories: ${caught[0]}`)
}

test('check-then-append runs a key twice', () => expectCaught(createCheckThenAppend))

test('a lease that expires runs a key twice', () => expectCaught(createLease))

test('relying on a successful append runs a key twice', () => expectCaught(createTrustInAppend))
