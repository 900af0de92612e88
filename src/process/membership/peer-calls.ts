/**
 * Matches requests that were forwarded to peers with their responses.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import type { PeerLink } from '../../connection/peer-link.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { EntryId } from '../../types.ts'
import type { ForwardedResponse, ForwardedRequest } from './peer-mesh.ts'

type CallResult = Result<ForwardedResponse, AppError>

/** Forwarded requests that wait for their responses. */
export interface PeerCalls {
  /** Sends a request over a link. Errors: `peer-unreachable` (never sent), `peer-broken` (may have run). */
  sendRequest(link: PeerLink | undefined, request: ForwardedRequest): Promise<CallResult>
  /** Settles a call. Responses to settled calls, or from another peer, are ignored. */
  applyResponse(from: EntryId, call: number, response: ForwardedResponse): void
  /** Settles the calls that were sent on a closed link with `peer-broken`. */
  failLinkCalls(link: PeerLink): void
  countPending(): number
}

/** Creates an empty set of calls. */
export function createPeerCalls (clock: Clock): PeerCalls {
  const pending = new Map<number, { link: PeerLink, settle: (result: CallResult) => void }>()
  let lastCall = 0
  return {
    sendRequest (link, request) {
      lastCall += 1
      const call = lastCall
      const isSent = link?.sendFrame({ type: 'forward-request', call, request }) ?? false
      if (!link || !isSent) return Promise.resolve(err(createError('peer-unreachable', 'no link to the peer is open')))
      return new Promise((resolve) => {
        const settle = (result: CallResult) => {
          cancel()
          pending.delete(call)
          resolve(result)
        }
        const cancel = clock.startTimer(Math.max(0, request.remainingMs), () => {
          settle(err(createError('peer-broken', `${link.peer.id} did not respond within the deadline`)))
        })
        pending.set(call, { link, settle })
      })
    },
    applyResponse (from, call, response) {
      const entry = pending.get(call)
      if (entry?.link.peer.id === from) entry.settle(ok(response))
    },
    failLinkCalls (link) {
      for (const entry of pending.values()) {
        if (entry.link === link) entry.settle(err(createError('peer-broken', `the link to ${link.peer.id} broke`)))
      }
    },
    countPending: () => pending.size
  }
}
