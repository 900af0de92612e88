/**
 * Whether the caller of a request still waits for its answer. Lighter than an abort signal, which is made only when asked for.
 */
import type { ServerResponse } from 'node:http'
import type { Cancel } from '../types.ts'

/** The caller of one request. */
export interface CallerPresence {
  isGone(): boolean
  /** Calls `action` once when the caller leaves; the returned function cancels that. */
  watchLeaving(action: () => void): Cancel
  /** Returns a signal that aborts when the caller leaves. */
  getSignal(): AbortSignal
}

/** A presence that its owner ends. */
export interface EndablePresence extends CallerPresence { end(): void }

/** Creates the presence of a caller that has not left. */
export function createPresence (): EndablePresence {
  const actions = new Set<() => void>()
  let isGone = false
  let controller: AbortController | undefined
  const finish = (): void => {
    if (isGone) return
    isGone = true
    controller?.abort()
    for (const action of actions) action()
    actions.clear()
  }
  return {
    end: finish,
    isGone: () => isGone,
    watchLeaving (action) {
      actions.add(action)
      return () => actions.delete(action)
    },
    getSignal () {
      controller ??= new AbortController()
      if (isGone) controller.abort()
      return controller.signal
    }
  }
}

/** Follows the caller of an answer: it has left when its connection closes before the answer is whole. */
export function watchCaller (outgoing: ServerResponse): CallerPresence {
  const presence = createPresence()
  outgoing.on('close', () => { if (!outgoing.writableFinished) presence.end() })
  return presence
}
