import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { createError } from '../src/errors.ts'
import type { FollowOptions, StoreClient } from '../src/platform/store-client.ts'
import { computePageAgeMs } from '../src/process/discovery/page-age.ts'
import { createTopicFollower } from '../src/process/discovery/topic-follower.ts'
import { toBrand } from '../src/types.ts'
import type { StoreEpoch } from '../src/types.ts'
import { SILENT_LOGGER } from './support/silent-logger.ts'

const EPOCH = toBrand<StoreEpoch>(1)
const DEFAULT_TIMEOUT_MS = 800

/** Follows a store that responds after `responseMs`, and never responds to calls that reach it while it is unavailable. */
function setup (responseMs: number) {
  const clock = createTestClock()
  const state = { isAway: false, calls: 0, appliedAtMs: -1 }
  const read = async ({ timeoutMs = DEFAULT_TIMEOUT_MS, waitMs = 0 }: Partial<FollowOptions>) => {
    state.calls += 1
    const isLost = state.isAway
    const tookMs = responseMs + waitMs
    if (isLost || responseMs > timeoutMs) {
      await clock.wait(timeoutMs + waitMs)
      return err(createError('log-unavailable', 'no response'))
    }
    await clock.wait(tookMs)
    return ok({ records: [], next: 1, isEnd: true, malformed: 0, epoch: EPOCH })
  }
  const store: StoreClient = {
    readNewest: (_, options = {}) => read(options),
    readFrom: (_, __, options) => read(options),
    append: async () => ok(EPOCH),
    getEpoch: () => EPOCH,
    report: () => ({ reads: 0, appends: 0, failures: 0, receivedBytes: 0 }),
    close: async () => undefined
  }
  const follower = createTopicFollower({
    topic: 't',
    store,
    clock,
    random: () => 0.5,
    logger: SILENT_LOGGER,
    waitMs: 1_400,
    pauseMs: 0,
    applyRecords (records) {
      state.appliedAtMs = clock.monotonicMs()
      return [...records]
    }
  })
  follower.start()
  return { clock, state, follower }
}

// A version must be in effect 2 s after it is written, and an entry must follow the store again 3 s after its recovery.
test('a store that did not respond is read again within 3 s of its recovery, whenever it recovers', async () => {
  for (let awayMs = 300; awayMs < 9_000; awayMs += 470) {
    const { clock, state, follower } = setup(5)
    await clock.advance(1_000)
    state.isAway = true
    await clock.advance(awayMs)
    state.isAway = false
    const returnedAtMs = clock.monotonicMs()
    await clock.advance(3_000)
    expect(state.appliedAtMs).toBeGreaterThan(returnedAtMs)
    follower.close()
  }
})

test('a store that responds more slowly than the usual timeout is still read', async () => {
  const { clock, state, follower } = setup(1_500)
  await clock.advance(10_000)
  expect(state.appliedAtMs).toBeGreaterThan(0)
  follower.close()
})

test('the number of reads of an unavailable store is bounded', async () => {
  const { clock, state, follower } = setup(5)
  await clock.advance(10)
  state.isAway = true
  const before = state.calls
  await clock.advance(10_000)
  expect(state.calls - before).toBeLessThan(20)
  follower.close()
})

test('a page is as old as its call, an empty one as the end of the wait, and one that more records follow says nothing', () => {
  const record = { offset: 0, key: 'a', value: undefined }
  const times = { elapsedMs: 1_150, waitMs: 1_000 }
  expect(computePageAgeMs({ records: [record], isEnd: true }, times)).toBe(1_150)
  expect(computePageAgeMs({ records: [], isEnd: true }, times)).toBe(150)
  // The store responded before the end of its wait, so that nobody knows when.
  expect(computePageAgeMs({ records: [], isEnd: true }, { elapsedMs: 900, waitMs: 1_000 })).toBe(900)
  expect(computePageAgeMs({ records: [record], isEnd: false }, times)).toBeUndefined()
})
