/**
 * Frames between processes: four bytes of length, big-endian, then one CBOR value.
 */
import { Encoder } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'

/** Size of the length that precedes each frame, in bytes. */
export const FRAME_HEADER_BYTES = 4
/** The largest frame that is accepted unless a caller says otherwise, in bytes. */
export const LARGEST_FRAME_BYTES = 2_097_152

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, variableMapSize: true })

/** Encodes one value with its length in front. */
export function encodeFrame (value: unknown): Buffer {
  const body = codec.encode(value)
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, FRAME_HEADER_BYTES)
  return frame
}

/** Cuts a byte stream into frames. */
export interface FrameDecoder {
  /**
   * Takes the next bytes and returns the values that are now whole.
   * Errors: `frame-malformed` when a frame is empty, too large or no CBOR; the stream is of no use afterwards.
   */
  addChunk(chunk: Uint8Array): Result<unknown[], AppError>
  /** Changes the size limit for the frames that follow. */
  setLargestBytes(largestFrameBytes: number): void
}

/** Decodes one frame body. */
function decodeBody (body: Buffer): Result<unknown, AppError> {
  try {
    return ok(codec.decode(body))
  } catch (cause) {
    return err(createError('frame-malformed', 'the frame holds no CBOR value', cause))
  }
}

/** Creates a decoder; `largestFrameBytes` bounds what a peer can make it buffer. */
export function createFrameDecoder (largestFrameBytes = LARGEST_FRAME_BYTES): FrameDecoder {
  let largestBytes = largestFrameBytes
  let chunks: Uint8Array[] = []
  let heldBytes = 0
  let neededBytes = FRAME_HEADER_BYTES
  const takeFrame = (held: Buffer, at: number): Result<{ value: unknown, next: number } | undefined, AppError> => {
    if (held.length - at < FRAME_HEADER_BYTES) {
      neededBytes = FRAME_HEADER_BYTES
      return ok(undefined)
    }
    const length = held.readUInt32BE(at)
    if (length === 0 || length > largestBytes) {
      return err(createError('frame-malformed', `a frame of ${length} bytes is outside 1 to ${largestBytes}`))
    }
    const end = at + FRAME_HEADER_BYTES + length
    if (held.length < end) {
      neededBytes = end - at
      return ok(undefined)
    }
    return decodeBody(held.subarray(at + FRAME_HEADER_BYTES, end)).map((value) => ({ value, next: end }))
  }
  return {
    addChunk (chunk) {
      chunks.push(chunk)
      heldBytes += chunk.length
      if (heldBytes < neededBytes) return ok([])
      const held = Buffer.concat(chunks)
      const values: unknown[] = []
      let at = 0
      for (;;) {
        const taken = takeFrame(held, at)
        if (taken.isErr()) return err(taken.error)
        if (!taken.value) break
        values.push(taken.value.value)
        at = taken.value.next
      }
      chunks = at < held.length ? [held.subarray(at)] : []
      heldBytes = held.length - at
      return ok(values)
    },
    setLargestBytes (largestFrameBytes) {
      largestBytes = largestFrameBytes
    }
  }
}
