import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createFrameDecoder, encodeFrame } from '../src/connection/frame-codec.ts'
import { parseLinkFrame } from '../src/connection/peer-frames.ts'
import { createModelRuns } from './support/model-runs.ts'

const LARGEST = 1_000

/** Cuts bytes at the given places. */
function splitBytes (bytes: Buffer, cuts: number[]): Buffer[] {
  const places = [0, ...cuts.map((cut) => cut % (bytes.length + 1)).sort((a, b) => a - b), bytes.length]
  return places.slice(1).map((place, index) => bytes.subarray(places[index], place))
}

function decodeAll (chunks: Uint8Array[]): unknown[] {
  const decoder = createFrameDecoder(LARGEST)
  return chunks.flatMap((chunk) => decoder.addChunk(chunk)._unsafeUnwrap())
}

const value = fc.oneof(fc.string(), fc.integer(), fc.record({ type: fc.string(), seq: fc.nat() }), fc.array(fc.boolean(), { maxLength: 40 }))

test('frames survive any cutting of the byte stream', () => {
  fc.assert(fc.property(fc.array(value, { maxLength: 8 }), fc.array(fc.nat(), { maxLength: 12 }), (values, cuts) => {
    const bytes = Buffer.concat(values.map(encodeFrame))
    expect(decodeAll(splitBytes(bytes, cuts))).toEqual(values)
  }), createModelRuns(300))
})

test('a decoder that takes each chunk for one frame fails under the same cutting', () => {
  const decodeNaively = (chunks: Uint8Array[]) => chunks.map((chunk) => createFrameDecoder(LARGEST).addChunk(chunk).unwrapOr([])[0])
  const bytes = Buffer.concat(['one', 'two'].map(encodeFrame))
  expect(decodeNaively(splitBytes(bytes, [3]))).not.toEqual(['one', 'two'])
  expect(decodeAll(splitBytes(bytes, [3]))).toEqual(['one', 'two'])
})

test('any bytes give values or an error, never an exception, and no frame beyond the limit is waited for', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    const decoded = createFrameDecoder(LARGEST).addChunk(bytes)
    const length = bytes.length >= 4 ? Buffer.from(bytes).readUInt32BE(0) : 1
    if (length > LARGEST || length === 0) expect(decoded._unsafeUnwrapErr().kind).toBe('frame-malformed')
    if (decoded.isOk()) for (const frame of decoded.value) parseLinkFrame(frame)
  }), createModelRuns(500))
})

test('a frame with a changed byte is refused or has a known form', () => {
  const frame = encodeFrame({ type: 'beat', seq: 1, ack: 0, offset: 12 })
  fc.assert(fc.property(fc.integer({ min: 4, max: frame.length - 1 }), fc.integer({ min: 1, max: 255 }), (at, change) => {
    const changed = Buffer.from(frame)
    changed[at] = (changed[at] ?? 0) ^ change
    const decoded = createFrameDecoder(LARGEST).addChunk(changed)
    if (decoded.isErr()) return
    const parsed = parseLinkFrame(decoded.value[0])
    if (parsed.isOk()) expect(parsed.value.type).toBe('beat')
    else expect(parsed.error.kind).toBe('frame-malformed')
  }), createModelRuns(300))
})
