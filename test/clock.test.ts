import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'

test('a test clock runs due timers in the order of their due times', async () => {
  const clock = createTestClock()
  const seen: string[] = []
  clock.startTimer(20, () => seen.push('late'))
  clock.startTimer(10, () => seen.push('early'))
  clock.startTimer(30, () => seen.push('never'))
  await clock.advance(25)
  expect(seen).toEqual(['early', 'late'])
  expect(clock.monotonicMs()).toBe(25)
})

test('a wait resolves at once when its signal aborts', async () => {
  const clock = createTestClock()
  const stop = new AbortController()
  const waiting = clock.wait(1_000, stop.signal)
  stop.abort()
  await waiting
  expect(clock.monotonicMs()).toBe(0)
})

test('a wait resolves when its delay has passed, not before', async () => {
  const clock = createTestClock()
  let isOver = false
  const waiting = clock.wait(100).then(() => { isOver = true })
  await clock.advance(99)
  expect(isOver).toBe(false)
  await clock.advance(1)
  await waiting
  expect(isOver).toBe(true)
})
