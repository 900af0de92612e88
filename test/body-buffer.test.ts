import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createByteBudget } from '../src/process/byte-budget.ts'
import { createBodyBuffer } from '../src/request/body-buffer.ts'

test('a body is the same in whichever chunks it comes', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 9_000 }), { maxLength: 12 }), fc.boolean(), (chunks, isAnnounced) => {
    const whole = Buffer.concat(chunks)
    const body = createBodyBuffer({ maxBytes: whole.length, announcedBytes: isAnnounced ? whole.length : undefined })
    for (const chunk of chunks) expect(body.append(chunk)).toBe(true)
    expect(Buffer.compare(body.finish(), whole)).toBe(0)
  }))
})

// Guards against an upload that ends an entry: each small chunk was kept as an object of its own.
test('a body in chunks of one byte takes at most twice its size', () => {
  const SIZE_BYTES = 1_000_000
  const body = createBodyBuffer({ maxBytes: 64_000_000, announcedBytes: undefined })
  const chunk = Buffer.from('x')
  for (let count = 0; count < SIZE_BYTES; count++) body.append(chunk)
  const bytes = body.finish()
  expect(bytes.byteLength).toBe(SIZE_BYTES)
  expect(bytes.buffer.byteLength).toBeLessThanOrEqual(2 * SIZE_BYTES + 4_096)
})

test('a body takes its memory from the budget, and none when there is no room; a small one fits beside large ones', () => {
  const budget = createByteBudget(1_000_000)
  const chunk = Buffer.alloc(1_000)
  const announced = createBodyBuffer({ maxBytes: 5_000_000, announcedBytes: 800_000, budget })
  expect(budget.getTaken()).toBe(0)
  expect(announced.append(chunk)).toBe(true)
  expect(budget.getTaken()).toBe(800_000)
  const large = createBodyBuffer({ maxBytes: 5_000_000, announcedBytes: 150_000, budget })
  expect(large.append(chunk)).toBe(false)
  const small = createBodyBuffer({ maxBytes: 5_000_000, announcedBytes: undefined, budget })
  expect(small.append(chunk)).toBe(true)
  for (const body of [announced, large, small]) body.release()
  expect(budget.getTaken()).toBe(0)
})
