import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createFrameDecoder, encodeFrame } from '../src/connection/frame-codec.ts'
import { parseLinkFrame } from '../src/connection/peer-frames.ts'
import { createModelRuns } from './support/model-runs.ts'

const MAX_BYTES = 1_000

/** Splits bytes at the given positions. */
function splitBytes (bytes: Buffer, cuts: number[]): Buffer[] {
  const positions = [0, ...cuts.map((cut) => cut % (bytes.length + 1)).sort((a, b) => a - b), bytes.length]
  return positions.slice(1).map((position, index) => bytes.subarray(positions[index], position))
}

function decodeAll (chunks: Uint8Array[]): unknown[] {
  const decoder = createFrameDecoder(MAX_BYTES)
  return chunks.flatMap((chunk) => decoder.addChunk(chunk)._unsafeUnwrap())
}

const value = fc.oneof(fc.string(), fc.integer(), fc.record({ type: fc.string(), seq: fc.nat() }), fc.array(fc.boolean(), { maxLength: 40 }))

test('frames are decoded however the byte stream is split', () => {
  fc.assert(fc.property(fc.array(value, { maxLength: 8 }), fc.array(fc.nat(), { maxLength: 12 }), (values, cuts) => {
    const bytes = Buffer.concat(values.map(encodeFrame))
    expect(decodeAll(splitBytes(bytes, cuts))).toEqual(values)
  }), createModelRuns(300))
})

test('a decoder that takes each chunk for one frame fails on the same split stream', () => {
  const decodeNaively = (chunks: Uint8Array[]) => chunks.map((chunk) => createFrameDecoder(MAX_BYTES).addChunk(chunk).unwrapOr([])[0])
  const bytes = Buffer.concat(['one', 'two'].map(encodeFrame))
  expect(decodeNaively(splitBytes(bytes, [3]))).not.toEqual(['one', 'two'])
  expect(decodeAll(splitBytes(bytes, [3]))).toEqual(['one', 'two'])
})

test('any bytes give values or an error, never an exception, and a frame beyond the limit is rejected at its header', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    const decoded = createFrameDecoder(MAX_BYTES).addChunk(bytes)
    const length = bytes.length >= 4 ? Buffer.from(bytes).readUInt32BE(0) : 1
    if (length > MAX_BYTES || length === 0) expect(decoded._unsafeUnwrapErr().kind).toBe('frame-malformed')
    if (decoded.isOk()) for (const frame of decoded.value) parseLinkFrame(frame)
  }), createModelRuns(500))
})

test('a frame with a changed byte is rejected or still matches a schema', () => {
  const frame = encodeFrame({ type: 'beat', seq: 1, ack: 0, offset: 12 })
  fc.assert(fc.property(fc.integer({ min: 4, max: frame.length - 1 }), fc.integer({ min: 1, max: 255 }), (at, change) => {
    const changed = Buffer.from(frame)
    changed[at] = (changed[at] ?? 0) ^ change
    const decoded = createFrameDecoder(MAX_BYTES).addChunk(changed)
    if (decoded.isErr()) return
    const parsed = parseLinkFrame(decoded.value[0])
    if (parsed.isOk()) expect(parsed.value.type).toBe('beat')
    else expect(parsed.error.kind).toBe('frame-malformed')
  }), createModelRuns(300))
})
