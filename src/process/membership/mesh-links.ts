/**
 * Runs the links of a mesh and applies the frames that arrive on them.
 */
import type { Duplex } from 'node:stream'
import type { LinkRole } from '../../connection/peer-handshake.ts'
import type { BeatFrame, LinkFrame } from '../../connection/peer-frames.ts'
import { servePeerLink } from '../../connection/peer-link.ts'
import type { LinkEvents, PeerLink } from '../../connection/peer-link.ts'
import type { AppError } from '../../errors.ts'
import type { ForwardedResponse, ForwardedRequest } from './peer-mesh.ts'
import { dropPeerContact, flushChanges, flushChangesSoon, startTask } from './mesh-parts.ts'
import type { MeshParts } from './mesh-parts.ts'

const STATUS_NO_HANDLER = 503
const STATUS_HANDLER_FAILED = 500
/** One in this many rejected connections is logged, so that an unknown client cannot flood the log. */
const REJECTIONS_PER_LOG_LINE = 100

/** Runs the handler for a forwarded request; returns 503 without a handler and 500 if the handler throws. */
async function runForwardHandler (parts: MeshParts, request: ForwardedRequest): Promise<ForwardedResponse> {
  const { handler } = parts
  if (!handler) return { status: STATUS_NO_HANDLER, headers: {}, body: new Uint8Array(), fate: 'not-run' }
  try {
    return await handler(request)
  } catch {
    return { status: STATUS_HANDLER_FAILED, headers: {}, body: new Uint8Array(), fate: 'unknown' }
  }
}

async function handleForward (parts: MeshParts, link: PeerLink, call: number, request: ForwardedRequest): Promise<void> {
  const response = await runForwardHandler(parts, request)
  const frame: LinkFrame = { type: 'forward-answer', call, answer: response }
  if (!link.sendFrame(frame)) parts.links.sendTo(link.peer.id, frame)
}

function applyFrame (parts: MeshParts, link: PeerLink, frame: Exclude<LinkFrame, BeatFrame>): void {
  const from = link.peer.id
  switch (frame.type) {
    case 'members':
      parts.table.applyPeerFacts(from, frame.facts)
      return flushChangesSoon(parts)
    case 'forward-request':
      return startTask(parts, 'a forwarded request', () => handleForward(parts, link, frame.call, frame.request))
    case 'forward-answer':
      return parts.calls.applyResponse(from, frame.call, frame.answer)
    case 'contract-records':
    case 'contract-pull':
    case 'target-leaving':
      return parts.messages.runAll(from, frame)
  }
}

function applyBeat (parts: MeshParts, link: PeerLink, beat: BeatFrame): void {
  const { id, incarnation } = link.peer
  if (beat.offset !== undefined) parts.table.applyOffset(id, incarnation, beat.offset)
  if (!beat.leaving) return
  parts.table.applyLeaving(id, incarnation)
  flushChanges(parts)
}

/**
 * Adds the link of an authenticated peer. Returns false if the mesh is closing, or if the peer is an incarnation that has
 * been replaced or another incarnation of this entry.
 */
function addPeerLink (parts: MeshParts, link: PeerLink): boolean {
  const { peer } = link
  // A handshake may complete while the mesh closes; its link would then keep the port open.
  if (parts.stop.signal.aborted) return false
  if (peer.id === parts.options.self.id) {
    parts.table.applyPeerFacts(peer.id, [{ ...peer, isHeard: true, isLeaving: false }])
    parts.options.logger?.warn(`membership: another incarnation of this entry runs at ${peer.address}`)
    flushChanges(parts)
    return false
  }
  if (parts.table.applyContact(peer) === 'stale') {
    // Notifies an incarnation that was paused that a later one has replaced it.
    link.sendFrame({ type: 'members', facts: parts.table.listFacts().filter((fact) => fact.id === peer.id) })
    return false
  }
  parts.links.addLink(link)
  link.sendFrame({ type: 'members', facts: parts.table.listFacts() })
  flushChangesSoon(parts)
  return true
}

function handleRejected (parts: MeshParts, role: LinkRole, error: AppError): void {
  if (error.kind !== 'peer-refused' && error.kind !== 'frame-malformed') return
  if (parts.counts.refused % REJECTIONS_PER_LOG_LINE === 0) {
    parts.options.logger?.warn(`membership: rejected a peer as ${role}: ${error.message}`)
  }
  parts.counts.refused += 1
}

/** Runs a link on a socket. Resolves at the end of the handshake, with true if the link is open. */
export function runLink (parts: MeshParts, socket: Duplex, role: LinkRole): Promise<boolean> {
  const { options, getTiming, counts } = parts
  let opened: PeerLink | undefined
  return new Promise((resolve) => {
    const events: LinkEvents = {
      handleOpen (link) {
        if (!addPeerLink(parts, link)) return false
        opened = link
        resolve(true)
        return true
      },
      handleFrame: (link, frame) => applyFrame(parts, link, frame),
      handleBeat: (link, beat) => applyBeat(parts, link, beat),
      handleSilent (link) {
        counts.silentLinks += 1
        parts.dialer.checkNow(link.peer.id)
        options.logger?.warn(`membership: a link to ${link.peer.id} is silent; opening a new one`)
      },
      handleMalformed (link, error) {
        counts.malformedFrames += 1
        options.logger?.warn(`membership: malformed frame from ${link.peer.id}: ${error.message}`)
      }
    }
    const describeSelf = () => ({ offset: parts.contractOffset, isLeaving: parts.isLeaving })
    startTask(parts, 'a link', async () => {
      const error = await servePeerLink(socket, { ...options, getTiming, role, events, describeSelf })
      resolve(false)
      if (opened) handleLinkEnd(parts, opened)
      else handleRejected(parts, role, error)
    })
  })
}

function handleLinkEnd (parts: MeshParts, link: PeerLink): void {
  parts.links.removeLink(link)
  parts.calls.failLinkCalls(link)
  if (!parts.links.hasLink(link.peer.id)) dropPeerContact(parts, link)
  parts.dialer.checkNow(link.peer.id)
  flushChangesSoon(parts)
}
