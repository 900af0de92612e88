import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { createAppendBudget } from '../src/process/append-budget.ts'
import { createBreaker } from '../src/process/log-breaker.ts'

test('appends beyond the rate wait for a permit, and are rejected when the wait would be too long', async () => {
  const clock = createTestClock()
  const budget = createAppendBudget({ clock, perSecond: 10 })
  const results: boolean[] = []
  for (let call = 0; call < 30; call++) budget.take(1_000).then((isAcquired) => results.push(isAcquired), () => {})
  await clock.advance(0)
  expect(results.filter((isAcquired) => !isAcquired)).toHaveLength(19)
  await clock.advance(10_000)
  expect(results.filter((isAcquired) => isAcquired)).toHaveLength(11)
  expect(budget.report().busiestSecond).toBeLessThanOrEqual(10)
})

test('an open breaker allows one trial call at a time and stays open longer after each failed one', async () => {
  const clock = createTestClock()
  const breaker = createBreaker({ clock, failuresToOpen: 2, firstOpenMs: 100, longestOpenMs: 300, random: () => 1 })
  breaker.tryEnter()?.markFailed()
  breaker.tryEnter()?.markFailed()
  expect(breaker.tryEnter()).toBeUndefined()
  for (const openMs of [100, 200, 300, 300]) {
    await clock.advance(openMs - 1)
    expect(breaker.tryEnter()).toBeUndefined()
    await clock.advance(1)
    const trial = breaker.tryEnter()
    expect(breaker.tryEnter()).toBeUndefined()
    trial?.markFailed()
  }
  await clock.advance(300)
  breaker.tryEnter()?.markSucceeded()
  expect(breaker.isOpen()).toBe(false)
})
