/**
 * Responses that are complete here, and whose rest the operating system has not taken since the caller reads slowly.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** The unsent responses of a process. */
export interface UnsentResponses {
  /** Counts a response until all of it is sent or its connection has closed. */
  watch(incoming: IncomingMessage, outgoing: ServerResponse): void
  count(): number
}

/** Creates the set of unsent responses. */
export function createUnsentResponses (): UnsentResponses {
  const unsent = new Set<ServerResponse>()
  return {
    watch (incoming, outgoing) {
      if (outgoing.writableFinished || incoming.socket.destroyed) return
      unsent.add(outgoing)
      const remove = (): void => { unsent.delete(outgoing) }
      outgoing.once('finish', remove)
      incoming.socket.once('close', remove)
    },
    count: () => unsent.size
  }
}
