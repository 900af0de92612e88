import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { createCustomerLimiter } from '../src/process/limits/local-customer-limiter.ts'
import { createRateWindow, RATE_WINDOW_MS } from '../src/process/limits/rate-window.ts'
import { createLimitsContract } from './support/limits.ts'

test('one entry admits its even share of the rate and of the concurrency', async () => {
  const clock = createTestClock()
  const contract = createLimitsContract({ requestsPerSecond: 18, concurrentRequests: 12, largestCount: 6 })
  const limiter = createCustomerLimiter({ clock })
  const first = limiter.acquirePermit(contract)._unsafeUnwrap()
  const second = limiter.acquirePermit(contract)._unsafeUnwrap()
  expect(limiter.acquirePermit(contract)._unsafeUnwrapErr().kind).toBe('over-concurrency')
  first.release()
  first.release()
  second.release()
  limiter.acquirePermit(contract)._unsafeUnwrap().release()
  expect(limiter.acquirePermit(contract)._unsafeUnwrapErr().kind).toBe('over-rate')
  expect(limiter.report()).toEqual([{ customer: 'millers', inProgress: 0, refused: 2, shareOfRate: 3 }])
  await clock.advance(RATE_WINDOW_MS)
  expect(limiter.acquirePermit(contract).isOk()).toBe(true)
})

test('a customer that reaches its limit does not affect another customer', () => {
  const limiter = createCustomerLimiter({ clock: createTestClock() })
  const limits = { requestsPerSecond: 6, concurrentRequests: 6, largestCount: 6 }
  expect(limiter.acquirePermit(createLimitsContract(limits)).isOk()).toBe(true)
  expect(limiter.acquirePermit(createLimitsContract(limits)).isOk()).toBe(false)
  expect(limiter.acquirePermit(createLimitsContract({ ...limits, customer: 'plumbers' })).isOk()).toBe(true)
})

test('no second contains more admissions than the limit, wherever it begins', async () => {
  const clock = createTestClock()
  const window = createRateWindow(clock)
  const admitted: number[] = []
  for (let step = 0; step < 400; step++) {
    if (window.tryAcquire(7)) admitted.push(clock.monotonicMs())
    await clock.advance(step % 5 === 0 ? 90 : 7)
  }
  for (const start of admitted) {
    expect(admitted.filter((at) => at >= start && at < start + 1_000).length).toBeLessThanOrEqual(7)
  }
  expect(admitted.length).toBeGreaterThan(50)
})

test('computeWaitMs returns the time until the next admission', async () => {
  const clock = createTestClock()
  const window = createRateWindow(clock)
  window.tryAcquire(2)
  await clock.advance(400)
  window.tryAcquire(2)
  expect(window.computeWaitMs(2)).toBe(RATE_WINDOW_MS - 400)
  expect(window.computeWaitMs(3)).toBe(0)
  await clock.advance(RATE_WINDOW_MS - 400)
  expect(window.tryAcquire(2)).toBe(true)
})
