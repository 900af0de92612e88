/**
 * Downloads of the target stand-in: every target computes the same bytes and the same strong entity tag from a name and
 * a size.
 */
import { createHash } from 'node:crypto'

// A prime, so that bytes from a wrong offset do not match the expected ones.
const PATTERN_BYTES = 65_521
const BLOCK_BYTES = 32

/** A file whose bytes are computed rather than stored. */
export interface DownloadFile {
  /** Strong entity tag, quotes included. */
  tag: string
  bytes: number
  /** Returns the bytes from `start` on, at most `length` of them and possibly fewer. */
  readChunk(start: number, length: number): Buffer
}

/** A range of bytes of a file; `end` is exclusive. */
export interface ByteRange { start: number, end: number }

/** Creates the file of a name and a size in bytes. */
export function createDownloadFile (name: string, bytes: number): DownloadFile {
  const pattern = Buffer.alloc(PATTERN_BYTES)
  for (let offset = 0; offset < PATTERN_BYTES; offset += BLOCK_BYTES) {
    createHash('sha256').update(`${name}:${offset}`).digest().copy(pattern, offset)
  }
  const tag = `"${createHash('sha256').update(`${name}:${bytes}`).digest('hex').slice(0, 16)}"`
  return {
    tag,
    bytes,
    readChunk (start, length) {
      const from = start % PATTERN_BYTES
      return pattern.subarray(from, from + Math.min(length, PATTERN_BYTES - from, bytes - start))
    }
  }
}

/**
 * Parses a `Range` header with a single byte range. Returns `complete` when there is none, and `unsatisfiable` when the
 * range is empty or starts after the end of the file.
 */
export function parseRange (header: string | undefined, bytes: number): ByteRange | 'complete' | 'unsatisfiable' {
  const match = /^bytes=(\d*)-(\d*)$/.exec(header ?? '')
  if (!match || (match[1] === '' && match[2] === '')) return 'complete'
  if (match[1] === '') return checkRange({ start: Math.max(0, bytes - Number(match[2])), end: bytes }, bytes)
  const end = match[2] === '' ? bytes : Math.min(bytes, Number(match[2]) + 1)
  return checkRange({ start: Number(match[1]), end }, bytes)
}

function checkRange (range: ByteRange, bytes: number): ByteRange | 'unsatisfiable' {
  return range.start < range.end && range.start < bytes ? range : 'unsatisfiable'
}
