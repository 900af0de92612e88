/**
 * Connection pool of one target. Each connection carries one request at a time.
 */
import type { Socket } from 'node:net'
import { buildConnector, Client } from 'undici'
import type { Clock } from '../clock.ts'
import { createBoundedReads, MAX_HEAD_BYTES } from './bounded-reads.ts'
import type { BoundedReads } from './bounded-reads.ts'
import { watchConnectionEnd } from './connection-end.ts'
import type { ConnectionEnd } from './connection-end.ts'

const CONNECT_TIMEOUT_MS = 1_000
const IDLE_TIMEOUT_MS = 30_000
/** Subtracted from the keep-alive timeout that a target advertises, for the network delay. */
const KEEP_ALIVE_MARGIN_MS = 500
/** A connection whose last response is no older than this may carry a non-idempotent request. */
const MAX_IDLE_FOR_LIVENESS_MS = 1_000
/** A target that responds early and does not take the rest of the request within this time loses the connection, in ms. */
const MAX_FLUSH_MS = 10_000
/** After this number of consecutive exchanges without a response on reused connections, the idle connections are closed too. */
const MAX_CONSECUTIVE_SILENT_EXCHANGES = 2

/** One connection, acquired from the pool for one exchange. */
export interface TargetConnection {
  readonly client: Client
  /** Whether the connection was opened for this exchange. */
  readonly isNew: boolean
  /** Returns whether the connection was reset: a response that ends with its connection is truncated then. */
  wasReset(): boolean
  /** Calls `action` when the target has ended the connection, right before the HTTP client handles that. */
  watchEnd(action: () => void): void
  /** Holds the end of the connection back, when it comes, until it is certain that it is no reset. */
  holdEndBack(): void
  /** Records that a part of the response's body has come. */
  recordBody(isChunked: boolean): void
  /** Calls `action` once when nothing of the request waits in this process any more: it was sent, or the connection is closed. */
  watchFlushed(action: () => void): void
  /** Releases the connection to the pool after a complete response, once the target has taken the rest of the request. */
  release(): void
  /** Closes the connection. `isSilent`: a request was sent and no byte of a response was received. */
  destroy(isSilent: boolean): void
}

/** Requirements of a request for its connection. */
export interface ConnectionRequirements {
  /** Whether the connection must be new, or have carried a complete response within the last second. */
  requiresLiveness: boolean
}

/** Connection pool of one target. */
export interface TargetPool {
  /** Acquires an idle or a new connection; undefined when all `maxConnections` are in use. */
  acquireConnection(requirements: ConnectionRequirements): TargetConnection | undefined
  countConnections(): { open: number, idle: number }
  /** Closes the idle connections at once, and the others when they are released. */
  close(): void
}

/** Options of a pool. */
export interface TargetPoolOptions {
  target: { address: string, port: number }
  /** Maximum number of connections of this process to the target. */
  maxConnections: number
  clock: Clock
  /** Called when an idle connection has ended. */
  handleDisconnect?(): void
}

/** A client of the HTTP library with its one connection. */
interface PooledClient {
  client: Client
  lastResponseAtMs: number
  isEnded: boolean
  isDropped: boolean
  /** Called when the target has ended the connection. */
  handleEnd: () => void
  /** Set once the connection is open. */
  opened: { socket: Socket, reads: BoundedReads, end: ConnectionEnd } | undefined
}

const connectSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS, allowHalfOpen: true })

/** Calls `action` when the bytes that wait in a socket have been sent, or when it is closed. */
function watchFlushed (socket: Socket | undefined, action: () => void): void {
  if (!socket || socket.destroyed || socket.writableLength === 0) action()
  else socket.write('', () => action())
}

/** Creates the connection pool of one target. Connections are opened on demand. */
export function createTargetPool (options: TargetPoolOptions): TargetPool {
  const { target, clock } = options
  const idle: PooledClient[] = []
  let openCount = 0
  let consecutiveSilent = 0
  let isClosed = false

  const destroyClient = (pooled: PooledClient): void => {
    if (pooled.isDropped) return
    pooled.isDropped = true
    openCount -= 1
    pooled.client.destroy().catch(() => undefined)
  }
  /** Closes an idle connection. Returns false if it is not idle. */
  const removeIdle = (pooled: PooledClient): boolean => {
    const index = idle.indexOf(pooled)
    if (index < 0) return false
    idle.splice(index, 1)
    destroyClient(pooled)
    return true
  }
  const openClient = (): PooledClient => {
    const client = new Client(`http://${target.address}:${target.port}`, {
      connect: (connectOptions, done) => connectSocket(connectOptions, (...connected) => {
        const [, socket] = connected
        if (socket) pooled.opened = { socket, reads: createBoundedReads(socket), end: watchConnectionEnd(socket, { clock, handleEnd: () => pooled.handleEnd() }) }
        done(...connected)
      }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1
    })
    const pooled: PooledClient = { client, lastResponseAtMs: -Infinity, isEnded: false, isDropped: false, handleEnd: () => undefined, opened: undefined }
    client.on('disconnect', () => {
      pooled.isEnded = true
      if (removeIdle(pooled)) options.handleDisconnect?.()
    })
    openCount += 1
    return pooled
  }
  const dropIdle = (): void => {
    for (const pooled of idle.splice(0)) destroyClient(pooled)
  }
  // A target that is merely slow loses a few idle connections by this; one whose connections are dead gets new ones.
  const recordSilence = (): void => {
    consecutiveSilent += 1
    if (consecutiveSilent < MAX_CONSECUTIVE_SILENT_EXCHANGES) return
    consecutiveSilent = 0
    dropIdle()
  }
  const takeIdle = (requirements: ConnectionRequirements): PooledClient | undefined => {
    const newest = idle.at(-1)
    if (!newest) return undefined
    const isLive = clock.monotonicMs() - newest.lastResponseAtMs <= MAX_IDLE_FOR_LIVENESS_MS
    return requirements.requiresLiveness && !isLive ? undefined : idle.pop()
  }
  /** Returns whether another connection may be opened; a full pool closes its oldest idle connection for it. */
  const tryMakeRoom = (): boolean => {
    if (openCount < options.maxConnections) return true
    const oldest = idle[0]
    if (!oldest) return false
    removeIdle(oldest)
    return true
  }
  const addIdle = (pooled: PooledClient): void => {
    if (isClosed || pooled.client.destroyed || pooled.isEnded) destroyClient(pooled)
    else idle.push(pooled)
  }
  /** Makes a connection idle once the target has taken the rest of the request; another request would wait behind that. */
  const addIdleWhenFlushed = (pooled: PooledClient): void => {
    const cancelTimer = clock.startTimer(MAX_FLUSH_MS, () => destroyClient(pooled))
    watchFlushed(pooled.opened?.socket, () => {
      cancelTimer()
      addIdle(pooled)
    })
  }
  const toConnection = (pooled: PooledClient, isNew: boolean): TargetConnection => {
    let isAcquired = true
    pooled.opened?.reads.startResponse()
    const finish = (): boolean => {
      const wasAcquired = isAcquired
      isAcquired = false
      return wasAcquired
    }
    return {
      client: pooled.client,
      isNew,
      wasReset: () => pooled.opened?.end.wasReset() === true,
      watchEnd (action) { pooled.handleEnd = action },
      holdEndBack: () => pooled.opened?.end.holdBack(),
      watchFlushed: (action) => watchFlushed(pooled.opened?.socket, action),
      recordBody: (isChunked) => pooled.opened?.reads.recordBody(isChunked),
      release () {
        if (!finish()) return
        if (!isNew) consecutiveSilent = 0
        pooled.lastResponseAtMs = clock.monotonicMs()
        if (pooled.opened?.socket.writableLength) addIdleWhenFlushed(pooled)
        else addIdle(pooled)
      },
      destroy (isSilent) {
        if (!finish()) return
        destroyClient(pooled)
        if (isSilent && !isNew) recordSilence()
      }
    }
  }
  return {
    acquireConnection (requirements) {
      const reused = takeIdle(requirements)
      if (reused) return toConnection(reused, false)
      return tryMakeRoom() ? toConnection(openClient(), true) : undefined
    },
    countConnections: () => ({ open: openCount, idle: idle.length }),
    close () {
      isClosed = true
      dropIdle()
    }
  }
}
