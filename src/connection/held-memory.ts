/**
 * Memory of the responses that are held in this process before they are passed on.
 */
import type { ByteBudget } from '../process/byte-budget.ts'

/** The memory that the waiting responses of one connection take. */
export interface ConnectionMemory {
  /** In bytes. */
  waitingBytes: number
}

/** Memory of held responses. */
export interface HeldMemory {
  /** Takes memory for a response that waits for its turn; returns false if there is none left for its connection or at all. */
  tryTake(connection: ConnectionMemory, bytes: number): boolean
  release(connection: ConnectionMemory, bytes: number): void
  /** Takes memory for the one response of a connection whose turn it is; returns false if there is none left. */
  tryTakeCurrent(bytes: number): boolean
  releaseCurrent(bytes: number): void
  /** Returns the memory of all held responses, in bytes. */
  getBytes(): number
}

/** Memory for the waiting responses of one connection, in bytes. */
const MAX_WAITING_BYTES = 524_288

/** Creates the memory, taken from a budget. */
export function createHeldMemory (budget: ByteBudget): HeldMemory {
  let heldBytes = 0
  const tryTakeCurrent = (bytes: number): boolean => {
    if (!budget.tryAcquire(bytes)) return false
    heldBytes += bytes
    return true
  }
  const releaseCurrent = (bytes: number): void => {
    heldBytes -= bytes
    budget.release(bytes)
  }
  return {
    tryTake (connection, bytes) {
      if (connection.waitingBytes + bytes > MAX_WAITING_BYTES || !tryTakeCurrent(bytes)) return false
      connection.waitingBytes += bytes
      return true
    },
    release (connection, bytes) {
      connection.waitingBytes -= bytes
      releaseCurrent(bytes)
    },
    tryTakeCurrent,
    releaseCurrent,
    getBytes: () => heldBytes
  }
}
