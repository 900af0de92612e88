/**
 * Hands the bytes of a connection to an HTTP client in parts of limited size, and closes a connection on which bytes go on coming
 * that are no part of a body.
 *
 * After the head or the trailers of a response have passed their size limit, the HTTP client (undici) parses the rest of the part
 * that it has read, and creates an error for each further line. Small parts bound that work, and nothing is handed on after the
 * client has destroyed the connection. The client has no limit for what stands between the chunks of a body. A body in many tiny
 * chunks costs much more time than its size tells; the smaller its chunks, the smaller its parts, and other connections get
 * their turn after each.
 */
import type { Socket } from 'node:net'

/** Size limit of the head and of the trailers of a response, in bytes. */
export const MAX_HEAD_BYTES = 16_384
/** Maximum size of a part after one that held no part of a body, in bytes. */
const MAX_HEAD_PART_BYTES = 2_048
/** The same after one that held a part of a body in chunks: if trailers follow instead, they just reach their limit. */
const MAX_CHUNKED_PART_BYTES = MAX_HEAD_BYTES
/** The same after one that held a part of another body, which has no trailers. */
const MAX_BODY_PART_BYTES = 65_536
/** Bytes in a row of which none is part of a body: a few heads of informational responses, or the trailers. */
const MAX_OTHER_BYTES = 65_536
/** After this many chunks other connections get their turn; a part of a body in smaller chunks holds about as many. */
const MAX_CHUNKS_PER_TURN = 256
/** Minimum size of a part of a body, in bytes. */
const MIN_BODY_PART_BYTES = 512

/** The reads of one connection. */
export interface BoundedReads {
  /** Begins to count anew, for the next response on the connection. */
  startResponse(): void
  /** Records that the latest part held a chunk of a body. */
  recordBody(isChunked: boolean): void
}

/** The methods of a socket that are used. */
type ReadableSocket = Pick<Socket, 'read' | 'destroy' | 'destroyed' | 'emit' | 'readableLength'>

/** Bounds the parts in which a connection is read; call it before the HTTP client uses the connection. */
export function createBoundedReads (socket: ReadableSocket): BoundedReads {
  const read = socket.read.bind(socket)
  let maxPartBytes = MAX_HEAD_PART_BYTES
  let otherBytes = 0
  /** Size of the latest part, and the chunks in it. */
  let partBytes = 0
  let partChunkCount = 0
  /** Chunks since other connections had their turn. */
  let turnChunkCount = 0
  let isYielding = false

  /** Returns the size of a part with as many chunks as a turn has, if they are like those of the latest part. */
  const computeTurnBytes = (): number => partChunkCount === 0 ? Infinity : Math.max(MIN_BODY_PART_BYTES, Math.floor(partBytes * MAX_CHUNKS_PER_TURN / partChunkCount))
  const readPart = (): unknown => {
    partBytes = Math.min(maxPartBytes, computeTurnBytes(), socket.readableLength)
    partChunkCount = 0
    maxPartBytes = MAX_HEAD_PART_BYTES
    otherBytes += partBytes
    if (otherBytes <= MAX_OTHER_BYTES) return partBytes > 0 ? read(partBytes) : read()
    socket.destroy(new Error(`The target sent more than ${MAX_OTHER_BYTES} bytes that are no part of a body.`))
    return null
  }
  const resume = (): void => {
    isYielding = false
    socket.emit('readable')
  }
  /** Whether other connections get their turn now; the client is then told later that there is more to read. */
  const isOverTurn = (): boolean => {
    if (turnChunkCount >= MAX_CHUNKS_PER_TURN && !isYielding) {
      isYielding = true
      turnChunkCount = 0
      setImmediate(resume)
    }
    return isYielding
  }
  socket.read = (sizeBytes?: number): unknown => {
    if (socket.destroyed || isOverTurn()) return null
    return sizeBytes === undefined ? readPart() : read(sizeBytes)
  }
  return {
    startResponse () {
      otherBytes = 0
      partChunkCount = 0
      turnChunkCount = 0
    },
    recordBody (isChunked) {
      otherBytes = 0
      partChunkCount += 1
      turnChunkCount += 1
      maxPartBytes = isChunked ? MAX_CHUNKED_PART_BYTES : MAX_BODY_PART_BYTES
    }
  }
}
