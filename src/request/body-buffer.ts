/**
 * Collects the chunks of one request body in one buffer, so that a body in many small chunks takes no more memory than one in
 * few large ones.
 */

/** The body so far. */
export interface BodyBuffer {
  append(chunk: Uint8Array): void
  /** Returns the bytes of the body; they share the memory of the buffer. */
  finish(): Uint8Array
}

const INITIAL_BYTES = 4_096
const GROWTH_FACTOR = 2

/** Creates an empty buffer that grows up to `maxBytes`; more must not be appended. */
export function createBodyBuffer (maxBytes: number): BodyBuffer {
  let bytes = Buffer.allocUnsafeSlow(Math.min(INITIAL_BYTES, maxBytes))
  let length = 0
  const addRoom = (neededBytes: number): void => {
    if (neededBytes <= bytes.length) return
    const grown = Buffer.allocUnsafeSlow(Math.min(maxBytes, Math.max(neededBytes, bytes.length * GROWTH_FACTOR)))
    bytes.copy(grown, 0, 0, length)
    bytes = grown
  }
  return {
    append (chunk) {
      addRoom(length + chunk.byteLength)
      bytes.set(chunk, length)
      length += chunk.byteLength
    },
    finish: () => bytes.subarray(0, length)
  }
}
