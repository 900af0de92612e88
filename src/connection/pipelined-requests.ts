/**
 * Keeps the order of the requests on each connection of a caller, when further ones arrive before the first has its response.
 *
 * Node.js hands over each request at once and sends the responses in order. This part decides what Node.js does not: when a request may be
 * passed on, which response closes the connection, and what becomes of the requests behind it. A request that is dropped gets no
 * response; its caller takes it for unread and sends it again.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Clock } from '../clock.ts'
import type { ByteBudget } from '../process/byte-budget.ts'
import { createCallerConnection } from '../request/caller-connection.ts'
import type { CallerConnection } from '../request/caller-connection.ts'
import { canTellLast, createOrderedConnection, isAnswering, resumeWaiting, stopReading, waitForPlace } from './ordered-connection.ts'
import { createHeldMemory } from './held-memory.ts'
import type { LingeringCloses } from './lingering-close.ts'
import type { OrderedConnection, PendingRequest } from './ordered-connection.ts'

/** How a request ended without a response: its caller left, or the connection was closed by a response ahead. */
export type DropCause = 'caller-gone' | 'unread'

/** The place of a request in the order of its connection. */
export interface RequestPlace {
  /** When the head of the request arrived, by the monotonic clock in ms. */
  readonly arrivedAtMs: number
  /** Disconnected once the request is dropped. */
  readonly caller: CallerConnection
  /** Whether all requests ahead have their responses. */
  isFirst(): boolean
  /** Whether requests wait behind this one. */
  hasFollowers(): boolean
  /** Whether targets work on requests behind this one. */
  hasPassedOnFollowers(): boolean
  /** Resolves when the request may be worked on, or is dropped: only a limited number are at the same time. */
  waitStart(): Promise<void>
  /** Resolves when the request may be sent to a target, or is dropped. */
  waitPassOn(isIdempotent: boolean): Promise<void>
  /** Resolves when the response may be sent, or the request is dropped. */
  waitTurn(): Promise<void>
  /** Records that the response is relayed as it comes: a truncated one closes the connection. */
  startRelay(): void
  /** Decides, right before the head of the response is sent, whether it closes the connection. */
  startResponse(): void
  /** Closes the connection after the responses to the requests that have been read. */
  closeAfterResponses(): void
  /**
   * Closes the connection in the middle of the response; the caller still gets what was sent before. A response that ends with its
   * connection (`isEndedByClose`) would look complete then, so that the connection is reset.
   */
  closeEarly(isEndedByClose: boolean): void
  /** Watches that the caller takes the response that is now complete, while others wait behind it. */
  watchTaken(): void
  /** Takes memory for a response that waits; `releaseHeld` gives it back. */
  tryHold(bytes: number): boolean
  releaseHeld(bytes: number): void
  /** Takes memory for the response whose turn it is; `releaseCurrent` gives it back. */
  tryHoldCurrent(bytes: number): boolean
  releaseCurrent(bytes: number): void
  getDropCause(): DropCause
}

/** Counts since the start, and the bytes held at present. */
export interface PipeliningCounts {
  /** Requests that arrived before the response to the one ahead was complete. */
  pipelined: number
  /** Requests that were dropped behind a response that closed their connection. */
  unread: number
  /** Memory reserved for responses that wait for their turn, in bytes. */
  heldBytes: number
}

/** The requests of all connections of callers. */
export interface PipelinedRequests {
  /** Adds a request that has arrived; undefined when it is dropped since its connection is about to close. */
  add(incoming: IncomingMessage, outgoing: ServerResponse): RequestPlace | undefined
  /** Ends a connection after the responses to what was read from it, with `finalResponse`, because no more can be read. */
  endReading(socket: Duplex, finalResponse: string): void
  /** Closes every connection after the responses to the requests that have been read, from now on. */
  closeAfterResponses(): void
  report(): PipeliningCounts
}

/** Options of `createPipelinedRequests`. */
export interface PipelinedRequestsOptions {
  clock: Clock
  /** What the memory of responses that wait is taken from. */
  budget: ByteBudget
  /** Closes the connections whose last response has been sent. */
  closes: Pick<LingeringCloses, 'close' | 'reset'>
}

/** Requests of one connection that are worked on at the same time. */
const MAX_STARTED_REQUESTS = 16
/** Requests of one connection that are read before the first has its response; the connection is closed after them. */
const MAX_READ_REQUESTS = 64
/** Requests of one connection that are dropped as unread before nothing more is read from it. */
const MAX_DROPPED_REQUESTS = 64
/** A caller that does not take a complete response for this long, while others wait behind it, is cut off, in ms. */
const MAX_UNTAKEN_MS = 5_000

/** Creates the order of requests; no connection is known. */
export function createPipelinedRequests ({ clock, budget, closes }: PipelinedRequestsOptions): PipelinedRequests {
  const connections = new WeakMap<Duplex, OrderedConnection>()
  const counts = { pipelined: 0, unread: 0 }
  const memory = createHeldMemory(budget)
  let isClosing = false

  const dropPending = (connection: OrderedConnection, dropped: readonly PendingRequest[]): void => {
    for (const { caller } of dropped) caller.markDisconnected()
    resumeWaiting(connection)
  }
  /** Drops the requests behind the first one, whose response cannot be completed. */
  const dropFollowers = (connection: OrderedConnection): void => {
    connection.isClosedEarly = true
    const dropped = connection.pending.splice(1)
    counts.unread += dropped.length
    dropPending(connection, dropped)
  }
  const closeEarly = (connection: OrderedConnection, isEndedByClose: boolean): void => {
    dropFollowers(connection)
    if (isEndedByClose) closes.reset(connection.socket)
    else closes.close(connection.socket)
  }
  /** Closes a connection whose caller takes nothing. */
  const destroyUntaken = (connection: OrderedConnection): void => {
    dropFollowers(connection)
    connection.socket.destroy()
  }
  const handleClose = (connection: OrderedConnection): void => {
    connection.cancelUntaken()
    dropPending(connection, connection.pending.splice(0))
  }
  const getConnection = (socket: Duplex): OrderedConnection => {
    const known = connections.get(socket)
    if (known) return known
    const connection = createOrderedConnection(socket)
    connections.set(socket, connection)
    socket.once('close', () => handleClose(connection))
    return connection
  }
  const dropUnread = (connection: OrderedConnection): undefined => {
    counts.unread += 1
    connection.unreadCount += 1
    if (connection.unreadCount === MAX_DROPPED_REQUESTS) stopReading(connection.socket)
  }
  /** Sends the response to what could not be read, if there is one, and closes the connection. */
  const sendFinalResponse = ({ socket, finalResponse }: OrderedConnection): void => {
    if (finalResponse !== undefined) closes.close(socket, finalResponse)
  }
  const advance = (connection: OrderedConnection, request: PendingRequest): void => {
    const index = connection.pending.indexOf(request)
    if (index < 0) return
    connection.pending.splice(index, 1)
    connection.isRelaying = false
    connection.cancelUntaken()
    if (connection.waiting.length > 0) resumeWaiting(connection)
    if (connection.pending.length === 0) sendFinalResponse(connection)
  }
  const watchTaken = (connection: OrderedConnection): void => {
    connection.cancelUntaken()
    const [first] = connection.pending
    if (connection.pending.length < 2 || !first?.outgoing.writableEnded) return
    connection.cancelUntaken = clock.startTimer(MAX_UNTAKEN_MS, () => destroyUntaken(connection))
  }
  const isLast = ({ pending }: OrderedConnection, request: PendingRequest): boolean => pending.at(-1) === request

  const createPlace = (connection: OrderedConnection, request: PendingRequest): RequestPlace => {
    const { pending } = connection
    const isFirst = (): boolean => pending[0] === request
    return {
      arrivedAtMs: clock.monotonicMs(),
      caller: request.caller,
      isFirst,
      hasFollowers: () => !isLast(connection, request),
      waitStart: () => waitForPlace(connection, request, () => pending.indexOf(request) < MAX_STARTED_REQUESTS),
      hasPassedOnFollowers: () => isFirst() && pending.some((each) => each !== request && each.isPassedOn),
      async waitPassOn (isIdempotent) {
        await waitForPlace(connection, request, () => isFirst() || (isIdempotent && !isAnswering(connection)))
        request.isPassedOn = true
      },
      waitTurn: () => waitForPlace(connection, request, isFirst),
      startRelay () { connection.isRelaying = true },
      startResponse () {
        if (!isLast(connection, request)) return
        if (isClosing || connection.isSealed) request.outgoing.setHeader('connection', 'close')
        else if (request.outgoing.shouldKeepAlive) return
        connection.hasStartedLast = true
      },
      closeAfterResponses () { connection.isSealed = true },
      closeEarly: (isEndedByClose) => closeEarly(connection, isEndedByClose),
      watchTaken: () => watchTaken(connection),
      tryHold: (bytes) => memory.tryTake(connection, bytes),
      releaseHeld: (bytes) => memory.release(connection, bytes),
      tryHoldCurrent: memory.tryTakeCurrent,
      releaseCurrent: memory.releaseCurrent,
      getDropCause: () => connection.isClosedEarly || !connection.socket.destroyed ? 'unread' : 'caller-gone'
    }
  }

  return {
    add (incoming, outgoing) {
      const connection = getConnection(incoming.socket)
      const { pending } = connection
      if (pending.length > 0) counts.pipelined += 1
      if (pending.length >= MAX_READ_REQUESTS) connection.isSealed = true
      // Without chunks, a response may end with its connection.
      if (incoming.httpVersion === '1.0') outgoing.shouldKeepAlive = false
      const closesBehindLast = pending.at(-1)?.outgoing.shouldKeepAlive === false
      const isUnread = connection.isClosedEarly || connection.hasStartedLast || closesBehindLast || (pending.length > 0 && (isClosing || connection.isSealed) && canTellLast(connection))
      if (isUnread) return dropUnread(connection)
      const request: PendingRequest = { incoming, outgoing, caller: createCallerConnection(), isPassedOn: false }
      pending.push(request)
      outgoing.once('finish', () => advance(connection, request))
      if (pending.length > 1) watchTaken(connection)
      return createPlace(connection, request)
    },
    endReading (socket, finalResponse) {
      const connection = getConnection(socket)
      const { pending } = connection
      if (connection.hasStartedLast || connection.finalResponse !== undefined) return
      if (pending.at(-1)?.incoming.complete === false) {
        // The error lies in its body. A response that has been started cannot be followed by another.
        if (pending.length === 1 && isAnswering(connection)) socket.destroy()
        dropPending(connection, pending.splice(-1))
      }
      // A request that asked for it is the last one; its response closes the connection.
      if (pending.at(-1)?.outgoing.shouldKeepAlive === false) return
      connection.finalResponse = finalResponse
      if (pending.length === 0) sendFinalResponse(connection)
    },
    closeAfterResponses () { isClosing = true },
    report: () => ({ ...counts, heldBytes: memory.getBytes() })
  }
}
