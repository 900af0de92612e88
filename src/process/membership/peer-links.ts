/**
 * The open links of an entry, by peer. A peer has two links while a new one replaces a silent one.
 */
import type { Clock } from '../../clock.ts'
import type { LinkFrame } from '../../connection/peer-frames.ts'
import type { LinkCounts, PeerLink } from '../../connection/peer-link.ts'
import type { EntryId, Incarnation } from '../../types.ts'

/** The open links, by peer. */
export interface PeerLinks {
  addLink(link: PeerLink): void
  removeLink(link: PeerLink): void
  /** Returns the newest link to a peer that is not silent; undefined if there is none. */
  getLink(id: EntryId): PeerLink | undefined
  /** Returns whether the peer has an open link, silent or not. */
  hasLink(id: EntryId): boolean
  /** Returns whether this incarnation has an open link that is not silent. */
  hasLiveLink(id: EntryId, incarnation: Incarnation | undefined): boolean
  sendTo(id: EntryId, frame: LinkFrame): boolean
  broadcast(frame: LinkFrame): void
  /** Closes links that another link to the same peer has replaced. */
  closeReplaced(): void
  closeAll(): void
  /** Sums the traffic of all links, closed ones included. */
  countTraffic(): LinkCounts
  countLinks(): number
  /** Counts the peers with a link. */
  countPeers(): number
}

/** How long two links to one peer are both kept, so that both ends see both links and keep the same one, in ms. */
const DUPLICATE_LINK_GRACE_MS = 2_000

function addCounts (sum: LinkCounts, counts: LinkCounts): void {
  sum.sentBytes += counts.sentBytes
  sum.sentFrames += counts.sentFrames
  sum.receivedBytes += counts.receivedBytes
  sum.receivedFrames += counts.receivedFrames
}

/** Creates the registry of the links of the entry `selfId`. */
export function createPeerLinks (selfId: EntryId, clock: Clock): PeerLinks {
  const byPeer = new Map<EntryId, PeerLink[]>()
  const closedCounts: LinkCounts = { sentBytes: 0, sentFrames: 0, receivedBytes: 0, receivedFrames: 0 }
  const listLinks = (id: EntryId): PeerLink[] => byPeer.get(id) ?? []
  const getLink = (id: EntryId): PeerLink | undefined => listLinks(id).filter((link) => !link.isSilent()).at(-1)

  /** Returns whether `other` replaces `link`. Both ends keep the link that the lower id opened; of two such links the newest. */
  const isReplacedBy = (link: PeerLink, other: PeerLink): boolean => {
    if (link.peer.incarnation !== other.peer.incarnation) return link.peer.incarnation < other.peer.incarnation
    if (link.isSilent()) return !other.isSilent()
    if (other.isSilent() || clock.monotonicMs() - Math.max(link.openedAtMs, other.openedAtMs) < DUPLICATE_LINK_GRACE_MS) return false
    if (link.role !== other.role) return (link.role === 'initiator') !== (selfId < link.peer.id)
    return link.openedAtMs < other.openedAtMs
  }
  return {
    addLink (link) {
      byPeer.set(link.peer.id, [...listLinks(link.peer.id), link])
    },
    removeLink (link) {
      const left = listLinks(link.peer.id).filter((other) => other !== link)
      if (left.length === listLinks(link.peer.id).length) return
      addCounts(closedCounts, link.counts)
      if (left.length > 0) byPeer.set(link.peer.id, left)
      else byPeer.delete(link.peer.id)
    },
    getLink,
    hasLink: (id) => byPeer.has(id),
    hasLiveLink: (id, incarnation) => listLinks(id).some((link) => link.peer.incarnation === incarnation && !link.isSilent()),
    sendTo: (id, frame) => getLink(id)?.sendFrame(frame) ?? false,
    broadcast (frame) {
      for (const id of byPeer.keys()) getLink(id)?.sendFrame(frame)
    },
    closeReplaced () {
      for (const links of byPeer.values()) {
        for (const link of links) {
          if (links.some((other) => other !== link && isReplacedBy(link, other))) link.close()
        }
      }
    },
    closeAll () {
      for (const link of [...byPeer.values()].flat()) link.close()
    },
    countTraffic () {
      const sum = { ...closedCounts }
      for (const link of [...byPeer.values()].flat()) addCounts(sum, link.counts)
      return sum
    },
    countLinks: () => [...byPeer.values()].flat().length,
    countPeers: () => byPeer.size
  }
}
