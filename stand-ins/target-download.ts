/**
 * Downloads of the target stand-in: every target gives the same bytes and the same strong tag for the same name and size.
 */
import { createHash } from 'node:crypto'

// A prime, so that a piece from the wrong place never fits.
const PATTERN_BYTES = 65_521
const BLOCK_BYTES = 32

/** A file that is computed rather than stored. */
export interface DownloadFile {
  /** Strong entity tag, quotes included. */
  tag: string
  bytes: number
  /** Copies the bytes from `start` on, at most `length` of them. */
  readPiece(start: number, length: number): Buffer
}

/** A part of a file; `end` is not included. */
export interface ByteRange { start: number, end: number }

/** Creates the file of a name and size. */
export function createDownloadFile (name: string, bytes: number): DownloadFile {
  const pattern = Buffer.alloc(PATTERN_BYTES)
  for (let at = 0; at < PATTERN_BYTES; at += BLOCK_BYTES) {
    createHash('sha256').update(`${name}:${at}`).digest().copy(pattern, at)
  }
  const tag = `"${createHash('sha256').update(`${name}:${bytes}`).digest('hex').slice(0, 16)}"`
  return {
    tag,
    bytes,
    readPiece (start, length) {
      const from = start % PATTERN_BYTES
      return pattern.subarray(from, from + Math.min(length, PATTERN_BYTES - from, bytes - start))
    }
  }
}

/** Parses a `Range` header with one range. `whole` when there is none, `unsatisfiable` when it lies outside. */
export function parseRange (header: string | undefined, bytes: number): ByteRange | 'whole' | 'unsatisfiable' {
  const match = /^bytes=(\d*)-(\d*)$/.exec(header ?? '')
  if (!match || (match[1] === '' && match[2] === '')) return 'whole'
  if (match[1] === '') return checkRange({ start: Math.max(0, bytes - Number(match[2])), end: bytes }, bytes)
  const end = match[2] === '' ? bytes : Math.min(bytes, Number(match[2]) + 1)
  return checkRange({ start: Number(match[1]), end }, bytes)
}

function checkRange (range: ByteRange, bytes: number): ByteRange | 'unsatisfiable' {
  return range.start < range.end && range.start < bytes ? range : 'unsatisfiable'
}
