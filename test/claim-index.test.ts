import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createClaimIndex } from '../src/process/claims/claim-index.ts'
import type { ClaimDecision, ClaimIndex } from '../src/process/claims/claim-index.ts'
import type { ClaimEntry, ClaimRecord } from '../src/process/claims/claim-record.ts'
import type { Offset } from '../src/types.ts'

const START_MS = 1_800_000_000_000
const WINDOW_MS = 600_000
const KEYS = ['a', 'b', 'c'].map((letter) => letter.repeat(32))
const DIGEST = 'd'.repeat(32)
const RUNS = 3_000
const SEED = 20_261_204

interface StreamRecord { record: ClaimRecord, appendedAtMs: number }

const entryArbitrary = fc.record({
  kind: fc.constantFrom('claim' as const, 'claim' as const, 'claim' as const, 'void' as const, 'outcome' as const),
  writer: fc.nat(2),
  key: fc.nat(KEYS.length - 1),
  seq: fc.nat(6),
  slackMs: fc.nat(5_000)
})
const recordArbitrary = fc.record({
  entry: entryArbitrary, skewMs: fc.integer({ min: -20_000, max: 20_000 }), passedMs: fc.constantFrom(0, 1, 5_000, 100_000, 300_000, 590_000, 700_000)
})

function createEntry ({ kind, key, seq, slackMs }: { kind: ClaimEntry['kind'], key: number, seq: number, slackMs: number }): ClaimEntry {
  const base = { seq, key: KEYS[key]! }
  switch (kind) {
    case 'claim': return { ...base, kind, digest: DIGEST, windowMs: WINDOW_MS + slackMs }
    case 'void': return { ...base, kind, windowMs: WINDOW_MS + slackMs }
    case 'outcome': return { ...base, kind, outcome: { status: 200, headers: {} } }
  }
}

/** Generates a stream of several writers with clock errors of up to 20 s, including duplicate nonces. */
const streamArbitrary: fc.Arbitrary<StreamRecord[]> = fc.array(recordArbitrary, { minLength: 2, maxLength: 40 }).map((parts) => {
  let nowMs = START_MS
  return parts.map(({ entry, skewMs, passedMs }) => {
    nowMs += passedMs
    return { record: { type: 'claims', v: 1, writer: `writer-${entry.writer}`, atMs: nowMs + skewMs, entries: [createEntry(entry)] }, appendedAtMs: nowMs }
  })
})

function applyAll (index: ClaimIndex, records: readonly StreamRecord[]): ClaimDecision[][] {
  return records.map(({ record, appendedAtMs }) => index.applyRecord(record, appendedAtMs))
}

function createFullIndex (): ClaimIndex {
  return createClaimIndex({ from: 'first-record' })
}

test('resuming from a snapshot gives the same decisions as reading from the first record', () => {
  fc.assert(fc.property(streamArbitrary, fc.nat(40), (stream, cut) => {
    const at = cut % stream.length
    const first = createFullIndex()
    applyAll(first, stream.slice(0, at))
    const snapshot = first.buildSnapshot(at as Offset)
    const resumed = createClaimIndex({ from: 'snapshot', snapshot })
    expect(applyAll(resumed, stream.slice(at))).toEqual(applyAll(first, stream.slice(at)))
  }), { numRuns: RUNS, seed: SEED })
})

test('a reader that starts in the middle grants only what every complete reader grants, and decides the same once it is complete', () => {
  let granted = 0
  let completeCount = 0
  fc.assert(fc.property(streamArbitrary, fc.nat(40), (stream, cut) => {
    const at = cut % stream.length
    const full = createFullIndex()
    applyAll(full, stream.slice(0, at))
    const partial = createClaimIndex({ from: 'middle', maxWindowMs: WINDOW_MS + 5_000 })
    for (const { record, appendedAtMs } of stream.slice(at)) {
      const expected = full.applyRecord(record, appendedAtMs)
      const wasComplete = partial.isComplete()
      const [decision] = partial.applyRecord(record, appendedAtMs)
      if (decision?.kind === 'granted') expect(expected[0]?.kind).toBe('granted')
      if (wasComplete) expect(decision).toEqual(expected[0])
      granted += decision?.kind === 'granted' ? 1 : 0
      completeCount += wasComplete ? 1 : 0
    }
  }), { numRuns: RUNS, seed: SEED })
  expect(granted).toBeGreaterThan(RUNS / 4)
  expect(completeCount).toBeGreaterThan(RUNS / 4)
})

test('a claim whose tombstone came before it is not granted and does not hold the key', () => {
  const index = createFullIndex()
  const claim = { kind: 'claim' as const, seq: 1, key: KEYS[0]!, digest: DIGEST, windowMs: WINDOW_MS }
  const apply = (writer: string, entry: ClaimEntry) => index.applyRecord({ type: 'claims', v: 1, writer, atMs: START_MS, entries: [entry] }, START_MS)
  apply('w', { kind: 'void', seq: 1, key: KEYS[0]!, windowMs: WINDOW_MS })
  expect(apply('w', claim)).toEqual([{ kind: 'void', seq: 1 }])
  expect(apply('other', claim)).toMatchObject([{ kind: 'granted' }])
})

test('a tombstone or response of another writer has no effect', () => {
  const index = createFullIndex()
  const apply = (writer: string, entry: ClaimEntry) => index.applyRecord({ type: 'claims', v: 1, writer, atMs: START_MS, entries: [entry] }, START_MS)
  apply('w', { kind: 'claim', seq: 1, key: KEYS[0]!, digest: DIGEST, windowMs: WINDOW_MS })
  apply('other', { kind: 'void', seq: 1, key: KEYS[0]!, windowMs: WINDOW_MS })
  apply('other', { kind: 'outcome', seq: 1, key: KEYS[0]!, outcome: { status: 200, headers: {} } })
  expect(apply('third', { kind: 'claim', seq: 1, key: KEYS[0]!, digest: DIGEST, windowMs: WINDOW_MS })).toMatchObject([{ kind: 'lost', holder: { writer: 'w', outcome: undefined } }])
})

test('one fast clock, of the writer or of the log, does not expire a claim early', () => {
  const AHEAD_MS = WINDOW_MS * 2
  for (const [writerMs, logMs] of [[AHEAD_MS, 1], [1, AHEAD_MS]] as const) {
    const index = createFullIndex()
    const claim = (seq: number): ClaimEntry => ({ kind: 'claim', seq, key: KEYS[0]!, digest: DIGEST, windowMs: WINDOW_MS })
    index.applyRecord({ type: 'claims', v: 1, writer: 'w', atMs: START_MS, entries: [claim(1)] }, START_MS)
    const late = index.applyRecord({ type: 'claims', v: 1, writer: 'x', atMs: START_MS + writerMs, entries: [claim(2)] }, START_MS + logMs)
    expect(late).toMatchObject([{ kind: 'lost' }])
  }
})
