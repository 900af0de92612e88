/**
 * The body of a target's response, or the beginning of it, in memory.
 */
import type { AppError } from '../../errors.ts'
import type { Exchange, ResponseSink } from '../exchange.ts'

/** A body that is read into memory before it is passed on. */
export interface HeldBody {
  /** Reads up to about `maxBytes` of the body in all. Resolves when there are so many, the body has ended, or the reading is stopped. */
  read(maxBytes: number): Promise<void>
  /** Stops the reading, and keeps what there is. */
  stopReading(): void
  /** Ends a body that is not complete. */
  fail(error: AppError): void
  hasEnded(): boolean
  getHeldBytes(): number
  /** The exchange, whose `pipe` begins with what is held. */
  readonly exchange: Exchange
}

/** Creates a body of which nothing is held. */
export function createHeldBody (exchange: Exchange): HeldBody {
  const chunks: Uint8Array[] = []
  let heldBytes = 0
  let maxHeldBytes = 0
  let hasStarted = false
  let ending: 'complete' | AppError | undefined
  let target: ResponseSink | undefined
  let finishRead: () => void = () => undefined
  const handleEnding = (reached: 'complete' | AppError): void => {
    ending ??= reached
    finishRead()
  }
  const sink: ResponseSink = {
    write (chunk) {
      if (target) return target.write(chunk)
      chunks.push(chunk)
      heldBytes += chunk.byteLength
      if (heldBytes < maxHeldBytes) return true
      finishRead()
      return false
    },
    end () {
      if (target) target.end()
      else handleEnding('complete')
    },
    fail (error) {
      if (target) target.fail(error)
      else handleEnding(error)
    }
  }
  const start = (): void => {
    if (hasStarted) {
      exchange.resume()
      return
    }
    hasStarted = true
    exchange.pipe(sink)
  }
  return {
    async read (maxBytes) {
      if (ending !== undefined || heldBytes >= maxBytes) return
      maxHeldBytes = maxBytes
      const finished = new Promise<void>((resolve) => { finishRead = resolve })
      start()
      await finished
    },
    stopReading: () => finishRead(),
    fail: handleEnding,
    hasEnded: () => ending !== undefined,
    getHeldBytes: () => heldBytes,
    exchange: {
      ...exchange,
      pipe (relay) {
        target = relay
        if (ending !== undefined && ending !== 'complete') {
          relay.fail(ending)
          return
        }
        if (chunks.length > 0) relay.write(Buffer.concat(chunks.splice(0)))
        if (ending === 'complete') relay.end()
        else start()
      }
    }
  }
}
