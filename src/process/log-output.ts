/**
 * A non-blocking output for log lines on standard output. Lines are buffered up to a limit; when the reader is too slow or
 * has stopped, further lines are dropped and counted.
 */
import { Writable } from 'node:stream'
import { SonicBoom } from 'sonic-boom'

/** The maximum size of buffered lines, in bytes. */
const MAX_BUFFERED_BYTES = 1_048_576
const FLUSH_BYTES = 4_096
const STDOUT_DESCRIPTOR = 1
/** The maximum time for which a line stays in the buffer, in ms. */
const FLUSH_MS = 100

/** An output for log lines that counts dropped lines. */
export interface LogOutput {
  stream: Writable
  /** Returns how many lines were dropped since the start; each failed write counts as one. */
  countDropped(): number
  /** Writes all buffered lines synchronously; for the end of the process. */
  flush(): void
}

/** Creates the output. */
export function createLogOutput (): LogOutput {
  const output = new SonicBoom({ fd: STDOUT_DESCRIPTOR, sync: false, minLength: FLUSH_BYTES, maxLength: MAX_BUFFERED_BYTES, periodicFlush: FLUSH_MS })
  let droppedCount = 0
  output.on('drop', () => { droppedCount += 1 })
  // The process must keep serving when the reader of its log closes.
  output.on('error', () => { droppedCount += 1 })
  const stream = new Writable({
    decodeStrings: false,
    write (line: string | Buffer, _, done) {
      output.write(line.toString())
      done()
    }
  })
  return { stream, countDropped: () => droppedCount, flush: () => output.flushSync() }
}
