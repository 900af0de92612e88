/**
 * Writes a file to a response in chunks, as fast as the client reads or at a set rate.
 */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { Clock } from '../src/clock.ts'
import type { ByteRange, DownloadFile } from './target-download.ts'

/** The response, the range of the file to send, and how fast. */
export interface ChunkOptions {
  clock: Clock
  response: ServerResponse
  file: DownloadFile
  range: ByteRange
  /** Returns the rate in bytes per second; 0 sends as fast as the client reads. */
  getBytesPerSecond: () => number
  /** Returns whether the connection has been silenced. */
  isSilenced: () => boolean
}

const MS_PER_SECOND = 1000
const PACED_CHUNKS_PER_SECOND = 20
const MAX_CHUNK_BYTES = 65_536

/** Sends the range; returns early when the client has disconnected or the connection has been silenced. */
export async function sendChunks (options: ChunkOptions): Promise<void> {
  const { clock, response, file, range } = options
  const closed = new AbortController()
  response.once('close', () => closed.abort())
  let offset = range.start
  while (offset < range.end && !closed.signal.aborted && !options.isSilenced()) {
    const rate = options.getBytesPerSecond()
    const chunkBytes = rate > 0 ? Math.max(1, Math.floor(rate / PACED_CHUNKS_PER_SECOND)) : MAX_CHUNK_BYTES
    const chunk = file.readChunk(offset, Math.min(chunkBytes, range.end - offset))
    offset += chunk.length
    if (!response.write(chunk)) await once(response, 'drain', { signal: closed.signal }).catch(() => {})
    if (rate > 0) await clock.wait(chunk.length / rate * MS_PER_SECOND, closed.signal)
  }
}
