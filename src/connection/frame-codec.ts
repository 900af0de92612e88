/**
 * Codec of the frames between entries: a length of four bytes, big-endian, then one CBOR value.
 */
import { Encoder } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'

/** Size of the length field in front of each frame, in bytes. */
export const FRAME_HEADER_BYTES = 4
/** Default limit of a frame body, in bytes. */
export const MAX_FRAME_BYTES = 2_097_152

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, variableMapSize: true })

/** Encodes a value as one frame, with its length in front. */
export function encodeFrame (value: unknown): Buffer {
  const body = codec.encode(value)
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, FRAME_HEADER_BYTES)
  return frame
}

/** Splits a byte stream into frames. */
export interface FrameDecoder {
  /**
   * Adds the next bytes and returns the values of the frames that are now complete.
   * Errors: `frame-malformed` when a frame is empty, too large or not CBOR; the stream can't be decoded any further.
   */
  addChunk(chunk: Uint8Array): Result<unknown[], AppError>
  /** Sets the size limit of the frames that follow, in bytes. */
  setMaxFrameBytes(maxFrameBytes: number): void
}

/** Decodes one frame body. */
function decodeBody (body: Buffer): Result<unknown, AppError> {
  try {
    return ok(codec.decode(body))
  } catch (cause) {
    return err(createError('frame-malformed', 'the frame body is not a valid CBOR value', cause))
  }
}

/** Creates a decoder. `maxFrameBytes` limits what a peer can make it buffer. */
export function createFrameDecoder (maxFrameBytes = MAX_FRAME_BYTES): FrameDecoder {
  let maxBytes = maxFrameBytes
  let chunks: Uint8Array[] = []
  let bufferedBytes = 0
  let neededBytes = FRAME_HEADER_BYTES
  const decodeFrame = (buffered: Buffer, at: number): Result<{ value: unknown, next: number } | undefined, AppError> => {
    if (buffered.length - at < FRAME_HEADER_BYTES) {
      neededBytes = FRAME_HEADER_BYTES
      return ok(undefined)
    }
    const length = buffered.readUInt32BE(at)
    if (length === 0 || length > maxBytes) {
      return err(createError('frame-malformed', `the frame length ${length} is outside 1 to ${maxBytes} bytes`))
    }
    const end = at + FRAME_HEADER_BYTES + length
    if (buffered.length < end) {
      neededBytes = end - at
      return ok(undefined)
    }
    return decodeBody(buffered.subarray(at + FRAME_HEADER_BYTES, end)).map((value) => ({ value, next: end }))
  }
  return {
    addChunk (chunk) {
      chunks.push(chunk)
      bufferedBytes += chunk.length
      if (bufferedBytes < neededBytes) return ok([])
      const buffered = Buffer.concat(chunks)
      const values: unknown[] = []
      let at = 0
      for (;;) {
        const decoded = decodeFrame(buffered, at)
        if (decoded.isErr()) return err(decoded.error)
        if (!decoded.value) break
        values.push(decoded.value.value)
        at = decoded.value.next
      }
      chunks = at < buffered.length ? [buffered.subarray(at)] : []
      bufferedBytes = buffered.length - at
      return ok(values)
    },
    setMaxFrameBytes (nextMaxBytes) {
      maxBytes = nextMaxBytes
    }
  }
}
