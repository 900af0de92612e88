/**
 * Closes connections of callers so that they receive all that was sent to them (lingering close).
 *
 * Bytes that reach a closed socket make the operating system reset the connection and drop what it has not delivered yet, and a caller
 * may send further requests, or the rest of a body, before it learns of the close. So only the sending half is closed first; what
 * still comes is read and discarded until the caller has closed its half, which it does once it has read everything.
 */
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '../clock.ts'
import type { Cancel } from '../types.ts'

/** Closes the connections of a server. */
export interface LingeringCloses {
  /** Makes the HTTP server close a new connection in this way after its last response. */
  watch(socket: Socket): void
  /** Sends `lastBytes`, if there are any, and closes the connection once the caller has closed its half or the time for that is over. */
  close(socket: Duplex, lastBytes?: string | Uint8Array): void
  /** Resets the connection, for a response that would end with it and is not complete. */
  reset(socket: Duplex): void
  /** Returns the number of connections that wait for their callers to close. */
  count(): number
  /** Closes the connections that wait at once. */
  closeAll(): void
}

/** A caller that has not closed its half after this time loses the connection, in ms. */
export const MAX_LINGER_MS = 5_000
const DEFAULT_MAX_LINGERING = 1_024

/** Reads and discards what comes, in place of the HTTP parser, and in place of a pause. */
function drainInput (socket: Duplex): void {
  socket.removeAllListeners('resume')
  // The HTTP server lets go of the connection only when a listener is added.
  socket.removeAllListeners('data')
  socket.on('data', () => undefined)
  socket.resume()
}

/** Options of `createLingeringCloses`. */
export interface LingeringClosesOptions {
  clock: Clock
  /** Connections that wait for their callers; beyond that the one that has waited longest is closed, so that others have descriptors. Default 1,024. */
  maxLingering?: number
}

/** Creates the closes of a server; no connection waits. */
export function createLingeringCloses ({ clock, maxLingering = DEFAULT_MAX_LINGERING }: LingeringClosesOptions): LingeringCloses {
  /** In the order in which their closes began. */
  const lingering = new Map<Duplex, Cancel>()
  const finish = (socket: Duplex): void => {
    lingering.get(socket)?.()
    lingering.delete(socket)
  }
  const destroyLongest = (): void => {
    const [longest] = lingering.keys()
    if (!longest) return
    finish(longest)
    longest.destroy()
  }
  const close = (socket: Duplex, lastBytes?: string | Uint8Array): void => {
    if (socket.destroyed || lingering.has(socket)) return
    if (lingering.size >= maxLingering) destroyLongest()
    lingering.set(socket, clock.startTimer(MAX_LINGER_MS, () => socket.destroy()))
    socket.once('close', () => finish(socket))
    drainInput(socket)
    if (lastBytes === undefined) socket.end()
    else socket.end(lastBytes)
  }
  return {
    watch (socket) {
      const destroySoon = socket.destroySoon.bind(socket)
      socket.destroySoon = () => {
        if (socket.readableEnded) destroySoon()
        else close(socket)
      }
    },
    close,
    reset (socket) {
      if (socket instanceof Socket) socket.resetAndDestroy()
      else socket.destroy()
    },
    count: () => lingering.size,
    closeAll () {
      for (const socket of lingering.keys()) socket.destroy()
    }
  }
}
