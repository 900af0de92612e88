/**
 * Tells whether a target has closed a connection in order or reset it: a response that ends with its connection is complete only then.
 *
 * The HTTP client (undici) ends such a response at a reset too, and fails an assertion when the response is paused. A target that
 * closes its socket while a request body is still on its way is seen to end the connection in order at first: its system
 * resets the connection only when the next bytes of the body arrive.
 */
import type { Socket } from 'node:net'
import type { Clock } from '../clock.ts'

/** The end of one connection. */
export interface ConnectionEnd {
  /** Returns whether the connection was reset. */
  wasReset(): boolean
  /** Holds the end back, when it comes, until a reset for bytes that were on their way would have come too. */
  holdBack(): void
}

/** Options of `watchConnectionEnd`. */
export interface ConnectionEndOptions {
  clock: Clock
  /** Called when the target has ended the connection, right before the HTTP client handles that. */
  handleEnd(): void
}

/** Bytes that are on their way to a target, and the reset that answers them, arrive within this time, in ms. */
export const RESET_WAIT_MS = 100
/** Error code that replaces `ECONNRESET`; the HTTP client doesn't treat it specially. */
const RESET_REPLACEMENT_CODE = 'EPIPE'

/** Watches the end of a connection; call it before the HTTP client uses the connection. */
export function watchConnectionEnd (socket: Socket, { clock, handleEnd }: ConnectionEndOptions): ConnectionEnd {
  const emit = socket.emit.bind(socket)
  let wasReset = false
  let isHeldBack = false

  /** Finds out whether the connection was reset: a write of no bytes fails only then. */
  const checkReset = (done?: () => void): void => {
    socket.write('', (error) => {
      if ((error as NodeJS.ErrnoException | null | undefined)?.syscall) wasReset = true
      else done?.()
    })
  }
  const finishEnd = (): void => {
    if (!socket.destroyed) emit('end')
  }
  const checkEnd = (): void => {
    if (socket.destroyed) return
    // Bytes that still wait here would have failed at a reset, and would keep the check waiting.
    if (socket.writableLength > 0) finishEnd()
    else checkReset(finishEnd)
  }
  const finishLater = (): void => {
    // If this process was late, the events that waited meanwhile come first.
    clock.startTimer(RESET_WAIT_MS, () => { setImmediate(checkEnd) })
  }
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_REPLACEMENT_CODE
  })
  // Node.js reports a reset that arrives with the last bytes as an `end` event.
  socket.on('end', () => {
    handleEnd()
    checkReset()
  })
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event !== 'end' || !isHeldBack) return emit(event, ...args)
    isHeldBack = false
    finishLater()
    return true
  }
  return {
    wasReset: () => wasReset,
    holdBack () { isHeldBack = true }
  }
}
