/**
 * One connection of a caller, with the requests on it that have no complete response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { ControlledCallerConnection } from '../request/caller-connection.ts'
import type { Cancel } from '../types.ts'
import type { ConnectionMemory } from './held-memory.ts'

/** One request that has been read and has no complete response. */
export interface PendingRequest {
  incoming: IncomingMessage
  outgoing: ServerResponse
  caller: ControlledCallerConnection
  /** Whether it was passed on before the requests ahead had their responses. */
  isPassedOn: boolean
}

/** A connection of a caller. */
export interface OrderedConnection extends ConnectionMemory {
  socket: Duplex
  /** In the order of their arrival. */
  pending: PendingRequest[]
  /** Whether it closes after the responses to what has been read. */
  isSealed: boolean
  /** Whether the response that closes it has been started. */
  hasStartedLast: boolean
  /** Whether the response of the first request is relayed as it comes: a truncated one closes the connection. */
  isRelaying: boolean
  /** Whether this entry closed it in the middle of a response. */
  isClosedEarly: boolean
  /** The response to bytes that could not be read, sent after all others; undefined without one. */
  finalResponse: string | undefined
  /** Requests dropped as unread so far. */
  unreadCount: number
  /** Resume the requests that wait for their place to change. */
  waiting: (() => void)[]
  /** Stops the timer that watches whether the caller takes the present response. */
  cancelUntaken: Cancel
}

/** Creates a connection without requests. */
export function createOrderedConnection (socket: Duplex): OrderedConnection {
  return {
    socket,
    pending: [],
    isSealed: false,
    hasStartedLast: false,
    isRelaying: false,
    isClosedEarly: false,
    finalResponse: undefined,
    waitingBytes: 0,
    unreadCount: 0,
    waiting: [],
    cancelUntaken: () => undefined
  }
}

/** Lets the requests that wait check their place again. */
export function resumeWaiting (connection: OrderedConnection): void {
  for (const resume of connection.waiting.splice(0)) resume()
}

/** Resolves when `canGo` returns true, or when the request is dropped. */
export async function waitForPlace (connection: OrderedConnection, { caller }: PendingRequest, canGo: () => boolean): Promise<void> {
  while (!canGo() && !caller.isDisconnected()) await new Promise<void>((resolve) => { connection.waiting.push(resolve) })
}

/** Stops reading for good; the HTTP server itself would resume after each request. */
export function stopReading (socket: Duplex): void {
  const pause = (): void => { socket.pause() }
  socket.on('resume', pause)
  pause()
}

/** Whether the response to the last request that was read can still tell the caller that nothing behind it is read. */
export function canTellLast ({ pending, hasStartedLast }: OrderedConnection): boolean {
  return hasStartedLast || pending.at(-1)?.outgoing.headersSent === false
}

/** Whether a request ahead of the others is being answered, so that the connection breaks if its target truncates the response. */
export function isAnswering ({ pending, isRelaying }: OrderedConnection): boolean {
  return isRelaying || pending[0]?.outgoing.headersSent === true
}
