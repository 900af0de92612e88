/**
 * The connections of this process to one target. Each carries one request at a time.
 */
import type { Socket } from 'node:net'
import { buildConnector, Client } from 'undici'
import type { Clock } from '../clock.ts'

const CONNECT_TIMEOUT_MS = 1_000
const IDLE_TIMEOUT_MS = 30_000
/** Taken off the keep-alive time that a target advertises, for the time that messages travel. */
const KEEP_ALIVE_MARGIN_MS = 500
/** A connection that answered within this time may carry a request that must not be repeated. */
const PROOF_OF_LIFE_MS = 1_000
/** After so many silent exchanges in a row on reused connections, the idle ones are taken to be dead too. */
const SILENT_EXCHANGES_BEFORE_DROP = 2

/** One connection, taken from the pool for one exchange. */
export interface TargetConnection {
  readonly client: Client
  /** Whether it was opened for this exchange. */
  readonly isFresh: boolean
  /** Whether the connection was reset: an answer that ends with its connection is then not whole. */
  wasReset(): boolean
  /** Calls `action` right before the library learns that the target has ended the connection. */
  watchEnd(action: () => void): void
  /** Returns it to the pool after a whole answer. */
  release(): void
  /** Closes it; it is never used again. `isSilent` tells that a request was sent and no byte came back. */
  destroy(isSilent: boolean): void
}

/** What a request needs of its connection. */
export interface ConnectionNeed {
  /** Only a fresh connection or one that answered just now. */
  needsProof: boolean
}

/** The connections to one target. */
export interface TargetPool {
  /** Takes a connection; undefined when the bound is reached. */
  takeConnection(need: ConnectionNeed): TargetConnection | undefined
  countConnections(): { open: number, idle: number }
  close(): void
}

/** How to create a pool. */
export interface TargetPoolOptions {
  target: { address: string, port: number }
  /** The most connections of this process to the target. */
  largestConnections: number
  clock: Clock
}

interface PooledClient { client: Client, lastAnswerMs: number, isEnded: boolean, isDropped: boolean, wasReset: boolean, handleEnd: () => void }

const connectSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS, allowHalfOpen: true })

/** A code for a reset that the library has no special treatment for. */
const RESET_CODE = 'EPIPE'

/**
 * Lets a reset never pass for the end of an answer. The library ends an answer without a length at a reset, and fails
 * an assertion when the answer is paused then; so it is told of another error. The runtime tells of a reset that comes
 * with the last bytes as of an end; a write tells the two apart.
 */
function watchSocket (socket: Socket, pooled: PooledClient): void {
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_CODE
  })
  socket.on('end', () => {
    pooled.handleEnd()
    socket.write('', (error) => {
      if ((error as NodeJS.ErrnoException | null | undefined)?.syscall) pooled.wasReset = true
    })
  })
}

/** Creates the pool of one target; connections are opened when needed. */
export function createTargetPool (options: TargetPoolOptions): TargetPool {
  const { target, clock } = options
  const idle: PooledClient[] = []
  let openCount = 0
  let silentInRow = 0
  let isClosed = false

  const destroyClient = (pooled: PooledClient): void => {
    if (pooled.isDropped) return
    pooled.isDropped = true
    openCount -= 1
    pooled.client.destroy().catch(() => undefined)
  }
  const removeIdle = (pooled: PooledClient): void => {
    const index = idle.indexOf(pooled)
    if (index < 0) return
    idle.splice(index, 1)
    destroyClient(pooled)
  }
  const openClient = (): PooledClient => {
    const client = new Client(`http://${target.address}:${target.port}`, {
      connect: (place, done) => connectSocket(place, (...connected) => {
        if (connected[1]) watchSocket(connected[1], pooled)
        done(...connected)
      }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1
    })
    const pooled: PooledClient = { client, lastAnswerMs: -Infinity, isEnded: false, isDropped: false, wasReset: false, handleEnd: () => undefined }
    client.on('disconnect', () => {
      pooled.isEnded = true
      removeIdle(pooled)
    })
    openCount += 1
    return pooled
  }
  const dropIdle = (): void => {
    for (const pooled of idle.splice(0)) destroyClient(pooled)
  }
  // A target that is only slow loses a few connections by this; one whose connections are dead gets fresh ones.
  const recordSilence = (): void => {
    silentInRow += 1
    if (silentInRow < SILENT_EXCHANGES_BEFORE_DROP) return
    silentInRow = 0
    dropIdle()
  }
  const takeIdle = (need: ConnectionNeed): PooledClient | undefined => {
    const newest = idle.at(-1)
    if (!newest) return undefined
    const isProven = clock.monotonicMs() - newest.lastAnswerMs <= PROOF_OF_LIFE_MS
    return need.needsProof && !isProven ? undefined : idle.pop()
  }
  const checkRoom = (): boolean => {
    if (openCount < options.largestConnections) return true
    const oldest = idle[0]
    if (!oldest) return false
    removeIdle(oldest)
    return true
  }
  const toConnection = (pooled: PooledClient, isFresh: boolean): TargetConnection => {
    let isTaken = true
    const leave = (): boolean => {
      const wasTaken = isTaken
      isTaken = false
      return wasTaken
    }
    return {
      client: pooled.client,
      isFresh,
      wasReset: () => pooled.wasReset,
      watchEnd (action) { pooled.handleEnd = action },
      release () {
        if (!leave()) return
        if (!isFresh) silentInRow = 0
        pooled.lastAnswerMs = clock.monotonicMs()
        if (isClosed || pooled.client.destroyed || pooled.isEnded) destroyClient(pooled)
        else idle.push(pooled)
      },
      destroy (isSilent) {
        if (!leave()) return
        destroyClient(pooled)
        if (isSilent && !isFresh) recordSilence()
      }
    }
  }
  return {
    takeConnection (need) {
      const reused = takeIdle(need)
      if (reused) return toConnection(reused, false)
      return checkRoom() ? toConnection(openClient(), true) : undefined
    },
    countConnections: () => ({ open: openCount, idle: idle.length }),
    close () {
      isClosed = true
      dropIdle()
    }
  }
}
