/**
 * The state that the tasks of a mesh share, and the announcement of changes in it.
 */
import type { LinkTiming, PeerLink } from '../../connection/peer-link.ts'
import type { MemberFact } from '../../connection/peer-frames.ts'
import { describeCause } from '../../errors.ts'
import type { Cancel, EntryId, Offset } from '../../types.ts'
import type { MemberTable } from './member-table.ts'
import type { PeerCalls } from './peer-calls.ts'
import type { PeerDialer } from './peer-dialer.ts'
import type { PeerLinks } from './peer-links.ts'
import type { ForwardedResponse, ForwardedRequest, PeerMessage } from './peer-mesh.ts'
import type { PeerMeshOptions } from './tcp-peer-mesh.ts'

/** Listeners of one kind of event. */
export interface Listeners<Args extends unknown[]> {
  addListener(action: (...args: Args) => void): Cancel
  runAll(...args: Args): void
}

/** Counters of a mesh. */
export interface MeshCounts { refused: number, malformedFrames: number, silentLinks: number, listFailures: number }

/** The state that the tasks of a mesh share. */
export interface MeshParts {
  options: PeerMeshOptions
  /** Returns the link timing for the present number of peers. */
  getTiming(): LinkTiming
  table: MemberTable
  links: PeerLinks
  calls: PeerCalls
  counts: MeshCounts
  messages: Listeners<[EntryId, PeerMessage]>
  entries: Listeners<[readonly EntryId[]]>
  stop: AbortController
  dialer: PeerDialer
  handler: ((request: ForwardedRequest) => Promise<ForwardedResponse>) | undefined
  contractOffset: Offset
  isLeaving: boolean
  /** Whether a delayed `flushChanges` is scheduled. */
  isFlushPending: boolean
  /** Ids of the live entries as last announced to listeners, joined by spaces. */
  announcedLive: string
  /** Facts as last announced to peers, as JSON by entry. */
  announcedFacts: Map<EntryId, string>
}

/** Creates listeners of one kind of event. */
export function createListeners<Args extends unknown[]> (): Listeners<Args> {
  const actions = new Set<(...args: Args) => void>()
  return {
    addListener (action) {
      actions.add(action)
      return () => { actions.delete(action) }
    },
    runAll (...args) {
      for (const action of actions) action(...args)
    }
  }
}

/** Returns the facts that changed since they were last announced, and records them as announced. */
function takeChangedFacts (parts: MeshParts): MemberFact[] {
  return parts.table.listFacts().filter((fact) => {
    const text = JSON.stringify(fact)
    if (parts.announcedFacts.get(fact.id) === text) return false
    parts.announcedFacts.set(fact.id, text)
    return true
  })
}

/** Notifies listeners if the set of live entries has changed. */
function publishLive (parts: MeshParts): void {
  const live = parts.table.listLive()
  const text = live.join(' ')
  if (text === parts.announcedLive) return
  parts.announcedLive = text
  parts.options.logger?.info(`membership: live entries are ${text || 'none'}`)
  parts.entries.runAll(live)
}

/** Announces changes to peers and listeners, and starts dialer tasks for new peers. */
export function flushChanges (parts: MeshParts): void {
  if (parts.stop.signal.aborted) return
  for (const peer of parts.table.listPeers()) parts.dialer.startTask(peer.id)
  const facts = takeChangedFacts(parts)
  if (facts.length > 0) parts.links.broadcast({ type: 'members', facts })
  publishLive(parts)
}

/** Changes within this time are announced to the peers in one frame, which keeps a start of many entries cheap, in ms. */
const FLUSH_DELAY_MS = 20

/** Announces changes to listeners at once, and to peers after `FLUSH_DELAY_MS`. */
export function flushChangesSoon (parts: MeshParts): void {
  if (parts.stop.signal.aborted) return
  publishLive(parts)
  if (parts.isFlushPending) return
  parts.isFlushPending = true
  parts.options.clock.startTimer(FLUSH_DELAY_MS, () => {
    parts.isFlushPending = false
    flushChanges(parts)
  })
}

/** Starts a task that runs until the mesh closes, and logs its failure. */
export function startTask (parts: Pick<MeshParts, 'options'>, name: string, task: () => Promise<unknown>): void {
  task().catch((cause) => parts.options.logger?.warn(`membership: ${name} failed: ${describeCause(cause)}`))
}

/** Applies the end of the last link to an incarnation. Unless it is leaving, it counts as reachable until dialing it fails. */
export function dropPeerContact (parts: MeshParts, link: PeerLink): void {
  parts.table.dropPeerFacts(link.peer.id)
  const peer = parts.table.listPeers().find((view) => view.id === link.peer.id)
  // An incarnation that announced its leaving is not dialed again.
  if (peer?.state === 'leaving') parts.table.markUnreachable(link.peer.id, link.peer.incarnation)
}
