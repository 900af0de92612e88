/**
 * Standard output for logs that never blocks: lines are buffered up to a bound, and dropped when the reader stops.
 */
import { Writable } from 'node:stream'
import { SonicBoom } from 'sonic-boom'

/** The most that waits for the reader, in bytes. */
const LARGEST_BUFFERED_BYTES = 1_048_576
const FLUSH_BYTES = 4_096
const STANDARD_OUTPUT = 1
/** Lines reach the reader after this long at the latest, in ms. */
const FLUSH_MS = 100

/** A stream of lines with the count of those that were dropped. */
export interface LogStream {
  stream: Writable
  countDropped(): number
  /** Hands over what is buffered; for the end of the process. */
  flush(): void
}

/** Creates the stream. */
export function createLogStream (): LogStream {
  const output = new SonicBoom({ fd: STANDARD_OUTPUT, sync: false, minLength: FLUSH_BYTES, maxLength: LARGEST_BUFFERED_BYTES, periodicFlush: FLUSH_MS })
  let dropped = 0
  output.on('drop', () => { dropped += 1 })
  // A closed reader is no reason to stop serving.
  output.on('error', () => { dropped += 1 })
  const stream = new Writable({
    decodeStrings: false,
    write (line: string | Buffer, _, done) {
      output.write(line.toString())
      done()
    }
  })
  return { stream, countDropped: () => dropped, flush: () => output.flushSync() }
}
