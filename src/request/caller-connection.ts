/**
 * Tracks whether the caller of a request is still connected. Cheaper than an abort signal, which is created only on demand.
 */
import type { ServerResponse } from 'node:http'
import type { Cancel } from '../types.ts'

/** Connection state of the caller of one request. */
export interface CallerConnection {
  /** Returns whether the caller has disconnected. */
  isDisconnected(): boolean
  /** Calls `action` once when the caller disconnects, or at once if it already has. The returned function removes the action. */
  watchDisconnect(action: () => void): Cancel
  /** Returns a signal that is aborted when the caller disconnects. */
  getSignal(): AbortSignal
}

/** Connection state whose owner sets it to disconnected with `markDisconnected`. */
export interface ControlledCallerConnection extends CallerConnection { markDisconnected(): void }

/** Creates the state of a connected caller. */
export function createCallerConnection (): ControlledCallerConnection {
  const actions = new Set<() => void>()
  let isDisconnected = false
  let controller: AbortController | undefined
  const finish = (): void => {
    if (isDisconnected) return
    isDisconnected = true
    controller?.abort()
    for (const action of actions) action()
    actions.clear()
  }
  return {
    markDisconnected: finish,
    isDisconnected: () => isDisconnected,
    watchDisconnect (action) {
      if (isDisconnected) action()
      else actions.add(action)
      return () => actions.delete(action)
    },
    getSignal () {
      controller ??= new AbortController()
      if (isDisconnected) controller.abort()
      return controller.signal
    }
  }
}

/** Tracks the caller of a response: it has disconnected when its connection closes before the response is complete. */
export function watchCaller (outgoing: ServerResponse): CallerConnection {
  const connection = createCallerConnection()
  outgoing.on('close', () => { if (!outgoing.writableFinished) connection.markDisconnected() })
  return connection
}
