/**
 * Collects the chunks of one request body in one buffer, so that a body in many small chunks takes no more memory than one in
 * few large ones.
 */
import type { ByteBudget } from '../process/byte-budget.ts'

/** The body so far. */
export interface BodyBuffer {
  /** Appends a chunk. Returns false, and appends nothing, when the budget has no room for it. */
  append(chunk: Uint8Array): boolean
  /** Returns the bytes of the body; they share the memory of the buffer. */
  finish(): Uint8Array
  /** Gives the memory back to the budget. */
  release(): void
}

/** Options of `createBodyBuffer`. */
export interface BodyBufferOptions {
  /** The body has at most this size, in bytes; more must not be appended. */
  maxBytes: number
  /** Size of the body in bytes, if the caller has announced it. */
  announcedBytes: number | undefined
  /** What the memory is taken from; without a bound when left out. */
  budget?: ByteBudget | undefined
}

const INITIAL_BYTES = 4_096
const GROWTH_FACTOR = 2

/** Creates an empty buffer; it takes no memory before the first chunk. */
export function createBodyBuffer ({ maxBytes, announcedBytes, budget }: BodyBufferOptions): BodyBuffer {
  let bytes = Buffer.alloc(0)
  let length = 0
  const release = (): void => {
    budget?.release(bytes.length)
    bytes = Buffer.alloc(0)
  }
  const tryAddRoom = (neededBytes: number): boolean => {
    if (neededBytes <= bytes.length) return true
    const grownBytes = announcedBytes ?? Math.min(maxBytes, Math.max(INITIAL_BYTES, neededBytes, bytes.length * GROWTH_FACTOR))
    if (budget && !budget.tryAcquire(grownBytes)) return false
    const grown = Buffer.allocUnsafeSlow(grownBytes)
    bytes.copy(grown, 0, 0, length)
    release()
    bytes = grown
    return true
  }
  return {
    append (chunk) {
      if (!tryAddRoom(length + chunk.byteLength)) return false
      bytes.set(chunk, length)
      length += chunk.byteLength
      return true
    },
    finish: () => bytes.subarray(0, length),
    release
  }
}
