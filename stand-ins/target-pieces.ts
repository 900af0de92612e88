/**
 * Writes a file to a response piece by piece, at the reader's pace or a set rate.
 */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { Clock } from '../src/clock.ts'
import type { ByteRange, DownloadFile } from './target-download.ts'

/** What is sent, and how fast. */
export interface PieceOptions {
  clock: Clock
  response: ServerResponse
  file: DownloadFile
  range: ByteRange
  /** Bytes a second; 0 for as fast as the reader takes them. */
  getBytesPerSecond: () => number
  /** Tells whether the connection has gone dead. */
  isSilenced: () => boolean
}

const MS_PER_SECOND = 1000
const PACED_PIECES_PER_SECOND = 20
const LARGEST_PIECE_BYTES = 65_536

/** Sends the range; returns early when the reader has gone or the connection is dead. */
export async function sendPieces (options: PieceOptions): Promise<void> {
  const { clock, response, file, range } = options
  const gone = new AbortController()
  response.once('close', () => gone.abort())
  let at = range.start
  while (at < range.end && !gone.signal.aborted && !options.isSilenced()) {
    const rate = options.getBytesPerSecond()
    const pieceBytes = rate > 0 ? Math.max(1, Math.floor(rate / PACED_PIECES_PER_SECOND)) : LARGEST_PIECE_BYTES
    const piece = file.readPiece(at, Math.min(pieceBytes, range.end - at))
    at += piece.length
    if (!response.write(piece)) await once(response, 'drain', { signal: gone.signal }).catch(() => {})
    if (rate > 0) await clock.wait(piece.length / rate * MS_PER_SECOND, gone.signal)
  }
}
