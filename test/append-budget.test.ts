import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { createAppendBudget } from '../src/process/append-budget.ts'
import { createCircuitBreaker } from '../src/process/circuit-breaker.ts'

test('appends beyond the rate wait for a permit, and are rejected when the wait would be too long', async () => {
  const clock = createTestClock()
  const budget = createAppendBudget({ clock, perSecond: 10 })
  const results: boolean[] = []
  for (let call = 0; call < 30; call++) budget.acquire(1_000).then((isAcquired) => results.push(isAcquired), () => {})
  await clock.advance(0)
  expect(results.filter((isAcquired) => !isAcquired)).toHaveLength(19)
  await clock.advance(10_000)
  expect(results.filter((isAcquired) => isAcquired)).toHaveLength(11)
  expect(budget.report().busiestSecond).toBeLessThanOrEqual(10)
})

test('an open breaker allows one trial call at a time and stays open longer after each failed one', async () => {
  const clock = createTestClock()
  const breaker = createCircuitBreaker({ clock, failuresToOpen: 2, firstOpenMs: 100, maxOpenMs: 300, random: () => 1 })
  breaker.tryAcquire()?.markFailed()
  breaker.tryAcquire()?.markFailed()
  expect(breaker.tryAcquire()).toBeUndefined()
  for (const openMs of [100, 200, 300, 300]) {
    await clock.advance(openMs - 1)
    expect(breaker.tryAcquire()).toBeUndefined()
    await clock.advance(1)
    const trial = breaker.tryAcquire()
    expect(breaker.tryAcquire()).toBeUndefined()
    trial?.markFailed()
  }
  await clock.advance(300)
  breaker.tryAcquire()?.markSucceeded()
  expect(breaker.isOpen()).toBe(false)
})
