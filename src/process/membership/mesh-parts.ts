/**
 * What the tasks of a mesh share.
 */
import type { LinkTiming, PeerLink } from '../../connection/peer-link.ts'
import type { MemberFact } from '../../connection/peer-frames.ts'
import { describeCause } from '../../errors.ts'
import type { Cancel, EntryId, Offset } from '../../types.ts'
import type { MemberTable } from './member-table.ts'
import type { PeerCalls } from './peer-calls.ts'
import type { PeerDialer } from './peer-dialer.ts'
import type { PeerLinks } from './peer-links.ts'
import type { ForwardedAnswer, ForwardedRequest, PeerMessage } from './peer-mesh.ts'
import type { PeerMeshOptions } from './tcp-peer-mesh.ts'

/** Listeners of one kind of event. */
export interface Listeners<Args extends unknown[]> {
  addListener(action: (...args: Args) => void): Cancel
  runAll(...args: Args): void
}

/** Counters of a mesh. */
export interface MeshCounts { refused: number, malformedFrames: number, silentLinks: number, listFailures: number }

/** What the tasks of a mesh share. */
export interface MeshParts {
  options: PeerMeshOptions
  /** Returns the times of links that hold now. */
  getTiming(): LinkTiming
  table: MemberTable
  links: PeerLinks
  calls: PeerCalls
  counts: MeshCounts
  messages: Listeners<[EntryId, PeerMessage]>
  entries: Listeners<[readonly EntryId[]]>
  stop: AbortController
  dialer: PeerDialer
  handler: ((request: ForwardedRequest) => Promise<ForwardedAnswer>) | undefined
  contractOffset: Offset
  isLeaving: boolean
  isBusy: boolean
  /** Whether changes are about to be told. */
  isFlushPending: boolean
  /** Live entries as last told to listeners. */
  toldLive: string
  /** Facts as last told to peers. */
  toldFacts: Map<EntryId, string>
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

/** Finds the facts that peers have not been told. */
function takeChangedFacts (parts: MeshParts): MemberFact[] {
  return parts.table.listFacts().filter((fact) => {
    const text = JSON.stringify(fact)
    if (parts.toldFacts.get(fact.id) === text) return false
    parts.toldFacts.set(fact.id, text)
    return true
  })
}

/** Tells listeners when the set of live entries has changed. */
function publishLive (parts: MeshParts): void {
  const live = parts.table.listLive()
  const text = live.join(' ')
  if (text === parts.toldLive) return
  parts.toldLive = text
  parts.options.logger?.info(`membership: live entries are ${text || 'none'}`)
  parts.entries.runAll(live)
}

/** Tells peers and listeners what has changed, and starts tasks for peers that are new. */
export function flushChanges (parts: MeshParts): void {
  if (parts.stop.signal.aborted) return
  for (const peer of parts.table.listPeers()) parts.dialer.startTask(peer.id)
  const facts = takeChangedFacts(parts)
  if (facts.length > 0) parts.links.broadcast({ type: 'members', facts })
  publishLive(parts)
}

/** Changes that come close together reach the peers in one frame, so that a start of many entries costs each little, in ms. */
const FLUSH_DELAY_MS = 20

/** Tells listeners at once what has changed, and peers soon. */
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

/** Starts a task that runs until the mesh closes; a fault in it is logged. */
export function startTask (parts: Pick<MeshParts, 'options'>, name: string, task: () => Promise<unknown>): void {
  task().catch((cause) => parts.options.logger?.warn(`membership: ${name} failed: ${describeCause(cause)}`))
}

/** Notes that the last link to a run has ended. */
export function dropPeerContact (parts: MeshParts, link: PeerLink): void {
  parts.table.dropWord(link.peer.id)
  const peer = parts.table.listPeers().find((view) => view.id === link.peer.id)
  // A run that has said goodbye is not tested again.
  if (peer?.state === 'leaving') parts.table.markUnreachable(link.peer.id, link.peer.incarnation)
}
