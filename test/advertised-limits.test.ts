import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { decodeTargetNotices } from '../src/platform/wire-names.ts'
import { createAdvertisedLimits } from '../src/process/target-limits/advertised-limits.ts'
import { toBrand } from '../src/types.ts'
import type { TargetId } from '../src/types.ts'

const TARGET = toBrand<TargetId>('i-1')

function createLimits () {
  const warnings: unknown[] = []
  const limits = createAdvertisedLimits({ clock: createTestClock(), logger: { info: () => undefined, warn: (_, fields) => { warnings.push(fields) } } })
  const apply = (perSecond: number | undefined, sentAtMs: number, receivedAtMs: number): number | undefined => {
    limits.apply(TARGET, { perSecond, sentAtMs, receivedAtMs })
    return limits.getPerSecond(TARGET)
  }
  return { limits, apply, warnings }
}

test('a limit is a decimal number; anything else is malformed', () => {
  const decode = (text: string) => decodeTargetNotices(200, { 'server-limit': text }).limit
  expect(decodeTargetNotices(200, {}).limit).toEqual({ kind: 'unlimited' })
  expect([decode('1.8'), decode('0'), decode(' 12 ')]).toEqual([1.8, 0, 12].map((perSecond) => ({ kind: 'limited', perSecond })))
  expect(['', '-1', '1,5', '1e3', 'NaN', 'Infinity', 'two', '1.8, 1.9'].map((text) => decode(text).kind)).toEqual(new Array(8).fill('malformed'))
})

test('a response without a limit ends it only if its request was sent after the limit was last heard', () => {
  const { apply } = createLimits()
  expect(apply(2, 100, 110)).toBe(2)
  expect(apply(undefined, 50, 120)).toBe(2)
  expect(apply(undefined, 105, 130)).toBe(2)
  expect(apply(undefined, 110, 140)).toBeUndefined()
})

test('of two responses that overlap the lower limit is in effect, and an older one changes nothing', () => {
  const { apply } = createLimits()
  expect(apply(4, 100, 200)).toBe(4)
  expect(apply(8, 150, 250)).toBe(4)
  expect(apply(2, 150, 250)).toBe(2)
  expect(apply(8, 250, 260)).toBe(8)
  expect(apply(1, 100, 200)).toBe(8)
})

test('a malformed limit changes nothing and is logged once', () => {
  const { limits, apply, warnings } = createLimits()
  apply(2, 100, 110)
  for (let index = 0; index < 3; index++) limits.record(TARGET, { kind: 'malformed', text: 'two' }, 200)
  expect(limits.getPerSecond(TARGET)).toBe(2)
  expect(warnings).toEqual([{ target: TARGET, text: 'two', known: 2 }])
})
