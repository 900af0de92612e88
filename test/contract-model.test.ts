import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { ContractFollower } from '../src/process/contracts/contract-follower.ts'
import { createContractFollower } from '../src/process/contracts/contract-follower.ts'
import { publishContract } from '../src/process/contracts/publish-contract.ts'
import { readContractStream } from '../src/process/contracts/read-contracts.ts'
import type { ContractRecord } from '../src/process/contracts/contract-state.ts'
import { toBrand } from '../src/types.ts'
import type { CustomerId, Nonce, Offset } from '../src/types.ts'
import { checkContractText } from '../src/version/contract-check.ts'
import { decodeStreamRecord, decodeText, encodeStreamRecord, encodeText } from '../src/version/contract-record.ts'
import { CONTRACTS, historyArbitrary, runHistory } from './support/contract-histories.ts'
import type { ContractStrategy, HistoryReader, HistoryViolation, PublishResult, ViolationKind } from './support/contract-histories.ts'
import { createModelRuns } from './support/model-runs.ts'

const CUSTOMER = toBrand<CustomerId>('kyushu')
const HISTORIES = 150
/** Test timeout; scales with the number of histories. */
const MAX_TEST_MS = 120_000 * Number(process.env.MODEL_RUNS ?? 1)
const MAX_FLAWED_HISTORIES = 2_000
const FOLLOWER_OPTIONS = { checkpointEveryMs: 3_000, checkpointEveryRecords: 4, checkpointJitterMs: 300, scanLength: 3, pollMs: 1_000, retryMs: 400 }

function toReader (follower: ContractFollower): HistoryReader {
  return {
    ...follower,
    getInEffect: () => follower.getContract(CUSTOMER).match(
      ({ version, limits }) => ({ version, mark: limits.requestsPerSecond }),
      () => undefined)
  }
}

const chained: ContractStrategy = {
  createReader: (log, clock, random) =>
    toReader(createContractFollower({ log, clock, random, audit: { record: () => {} }, ...FOLLOWER_OPTIONS })),
  async publish (log, clock, text, operator) {
    const published = await publishContract({ log, clock, text, operator, timeoutMs: 5_000 })
    if (published.isOk()) return 'accepted'
    switch (published.error.kind) {
      case 'contract-rejected': return 'rejected'
      case 'log-unavailable': return 'not-written'
      default: return 'unknown'
    }
  }
}

/** Flawed: reads the stream, appends, and takes the result of the append as the result of the change. */
const trustingAppend: ContractStrategy = {
  ...chained,
  async publish (log, clock, text, operator): Promise<PublishResult> {
    const read = await readContractStream(log)
    if (read.isErr()) return 'not-written'
    const head = read.value.state.get(CUSTOMER)?.at(-1)
    const contract = checkContractText(text)._unsafeUnwrap()
    if (contract.basedOn !== (head?.contract.version ?? 0)) return 'rejected'
    const nonce = toBrand<Nonce>(operator)
    const record = encodeStreamRecord({ type: 'contract', v: 1, nonce, basedOnNonce: head?.nonce ?? '', operator, publishedAtMs: clock.wallMs(), packed: encodeText(text) })
    return (await log.append(CONTRACTS, record)).isOk() ? 'accepted' : 'not-written'
  }
}

/** Flawed: takes the contract that arrived last, from the log or from a peer, if `canReplace` allows it. */
function createArrivalReader (canReplace: (versionNow: number, versionNew: number) => boolean): ContractStrategy['createReader'] {
  return (log, clock) => {
    const records: ContractRecord[] = []
    const stop = new AbortController()
    let inEffect: { version: number, mark: number } | undefined
    let nextOffset = 0 as Offset
    const apply = (record: ContractRecord): void => {
      records.push(record)
      const decoded = decodeStreamRecord(record.data)
      if (decoded.isErr() || decoded.value.type !== 'contract') return
      const checked = decodeText(decoded.value.packed).map(checkContractText)
      if (checked.isErr() || checked.value.isErr()) return
      const { version, limits } = checked.value.value
      if (canReplace(inEffect?.version ?? 0, version)) inEffect = { version, mark: limits.requestsPerSecond }
    }
    const run = async (): Promise<void> => {
      while (!stop.signal.aborted) {
        const page = await log.read(CONTRACTS, nextOffset, { waitMs: 1_000, signal: stop.signal })
        if (page.isErr()) await clock.wait(400, stop.signal)
        else {
          page.value.records.forEach(apply)
          nextOffset = page.value.nextOffset
        }
      }
    }
    return {
      start () { run().catch(() => {}) },
      getInEffect: () => inEffect,
      getNextOffset: () => nextOffset,
      listRecords: (from) => records.filter(({ offset }) => offset >= from),
      addPeerRecords (_previousOffset, added) {
        added.forEach(apply)
        return added.length
      },
      close: async () => stop.abort()
    }
  }
}

const lastArrivalWins: ContractStrategy = { ...chained, createReader: createArrivalReader(() => true) }
/** Flawed: relies on the publisher's check before its append, so readers accept any higher or equal version. */
const checkThenAppend: ContractStrategy = { ...trustingAppend, createReader: createArrivalReader((now, added) => added >= now) }

function createProperty (strategy: ContractStrategy) {
  return fc.asyncProperty(historyArbitrary, (steps) => runHistory(strategy, steps))
}

test('in any history all readers agree, none goes back to an older version, and publishers get the true result', async () => {
  await fc.assert(createProperty(chained), createModelRuns(HISTORIES))
}, MAX_TEST_MS)

const WRONG_RESULT_KINDS: ViolationKind[] = ['false-refusal', 'two-winners', 'false-acceptance', 'lost-acceptance']
const WRONG_VERSION_KINDS: ViolationKind[] = ['went-back', 'versions-differ', 'readers-differ', 'false-refusal', 'false-acceptance']

test.each([
  ['relying on the append\'s result', trustingAppend, WRONG_RESULT_KINDS],
  ['last arrival wins', lastArrivalWins, WRONG_VERSION_KINDS],
  ['check, then append', checkThenAppend, [...WRONG_VERSION_KINDS, 'two-winners']]
])('the flawed strategy "%s" fails in some history', async (_name, strategy, kinds) => {
  const result = await fc.check(createProperty(strategy), { ...createModelRuns(MAX_FLAWED_HISTORIES), endOnFailure: true })
  expect(result.failed).toBe(true)
  expect(kinds).toContain((result.errorInstance as HistoryViolation).kind)
})
