/**
 * Opens links to peers. One task for each peer dials whenever the peer has no live link, that is, none or a silent one.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { Clock } from '../../clock.ts'
import type { EntryId } from '../../types.ts'
import type { PeerView } from './peer-mesh.ts'

/** Options of a dialer; times in ms. */
export interface PeerDialerOptions {
  selfId: EntryId
  /** Address from which links are opened. */
  localAddress: string
  clock: Clock
  /** Time between two checks of a peer. */
  redialMs: number
  /** Upper bound of the backoff between failed attempts. */
  maxRedialMs: number
  signal: AbortSignal
  /** Finds a peer; undefined once it has been forgotten. */
  findPeer(id: EntryId): PeerView | undefined
  hasLiveLink(peer: PeerView): boolean
  hasLink(id: EntryId): boolean
  /** Runs a link on a connecting socket. Resolves at the end of the handshake, with true if the link is open. */
  openLink(socket: Socket): Promise<boolean>
  /** Starts a task whose failure is logged. */
  startTask(name: string, task: () => Promise<unknown>): void
  /** Called when a new connection to this incarnation of the peer failed while it has no live link. */
  handleUnreachable(peer: PeerView): void
}

/** Runs one task for each peer. */
export interface PeerDialer {
  /** Starts the task of a peer unless it already runs. */
  startTask(id: EntryId): void
  /** Makes the task of a peer check its links at once. */
  checkNow(id: EntryId): void
  /** Dials an address, also of a peer whose id is unknown. Returns whether a link was opened. */
  tryAddress(address: string, port: number): Promise<boolean>
}

const BACKOFF_FACTOR = 2
/** Time between two checks of a peer that has a live link, in ms. */
const LIVE_CHECK_INTERVAL_MS = 5_000
const JITTER_SHARE = 0.2

/** Checks one peer until it is forgotten. `waitForCheck` returns early when a link ends or goes silent. */
async function runPeerTask (
  id: EntryId, options: PeerDialerOptions, tryAddress: PeerDialer['tryAddress'], waitForCheck: (waitMs: number) => Promise<void>
): Promise<void> {
  const { redialMs, maxRedialMs, signal } = options
  let waitMs = redialMs
  let canDial = options.selfId < id
  while (!signal.aborted) {
    const peer = options.findPeer(id)
    if (!peer) return
    if (options.hasLiveLink(peer)) {
      waitMs = redialMs
      canDial = options.selfId < id
    } else if (canDial || options.hasLink(id)) {
      await tryAddress(peer.address, peer.peerPort)
      // Another entry, or a later incarnation, may have accepted the connection at this address.
      const tried = options.findPeer(id)
      if (!tried || options.hasLiveLink(tried)) continue
      waitMs = Math.min(maxRedialMs, waitMs * BACKOFF_FACTOR)
      options.handleUnreachable(tried)
    } else {
      // The lower id dials first, so that two entries seldom open links to each other at the same time.
      canDial = true
    }
    const isLive = options.hasLiveLink(peer)
    await waitForCheck((isLive ? LIVE_CHECK_INTERVAL_MS : waitMs) * (1 + JITTER_SHARE * Math.random()))
  }
}

/** Creates the dialer. */
export function createPeerDialer (options: PeerDialerOptions): PeerDialer {
  const pendingWaits = new Map<EntryId, AbortController>()
  const waitForCheck = async (id: EntryId, waitMs: number): Promise<void> => {
    const wait = new AbortController()
    pendingWaits.set(id, wait)
    const stopWaiting = () => wait.abort()
    options.signal.addEventListener('abort', stopWaiting, { once: true })
    await options.clock.wait(waitMs, wait.signal)
    options.signal.removeEventListener('abort', stopWaiting)
  }
  const running = new Set<EntryId>()
  const tryAddress = async (address: string, port: number): Promise<boolean> => {
    if (options.signal.aborted || port === 0) return false
    const socket = connect({ host: address, port, localAddress: options.localAddress, noDelay: true })
    return await options.openLink(socket)
  }
  return {
    startTask (id) {
      if (id === options.selfId || running.has(id)) return
      running.add(id)
      options.startTask(`the task of ${id}`, () => runPeerTask(id, options, tryAddress, (waitMs) => waitForCheck(id, waitMs)).finally(() => running.delete(id)))
    },
    checkNow: (id) => pendingWaits.get(id)?.abort(),
    tryAddress
  }
}
