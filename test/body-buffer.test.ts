import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createBodyBuffer } from '../src/request/body-buffer.ts'

test('a body is the same in whichever chunks it comes', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 9_000 }), { maxLength: 12 }), (chunks) => {
    const whole = Buffer.concat(chunks)
    const body = createBodyBuffer(whole.length)
    for (const chunk of chunks) body.append(chunk)
    expect(Buffer.compare(body.finish(), whole)).toBe(0)
  }))
})

// Guards against an upload that ends an entry: each small chunk was kept as an object of its own.
test('a body in chunks of one byte takes at most twice its size', () => {
  const SIZE_BYTES = 1_000_000
  const body = createBodyBuffer(64_000_000)
  const chunk = Buffer.from('x')
  for (let count = 0; count < SIZE_BYTES; count++) body.append(chunk)
  const bytes = body.finish()
  expect(bytes.byteLength).toBe(SIZE_BYTES)
  expect(bytes.buffer.byteLength).toBeLessThanOrEqual(2 * SIZE_BYTES + 4_096)
})
