/**
 * What a part needs to exchange messages with the same part of the other entries.
 */
import type { Clock } from '../clock.ts'
import type { EntryId } from '../types.ts'

/** The own id, and the ways to send messages of type `M`. */
export interface PeerMessaging<M> {
  self: EntryId
  clock: Clock
  random: () => number
  /** Sends a message to one entry; it may be lost. */
  send(to: EntryId, message: M): void
  /** Sends a message to all entries; some may miss it. */
  broadcast(message: M): void
}
