/**
 * The peer mesh over TCP: accepts and opens links, reads the host list and keeps the member table up to date.
 */
import { setMaxListeners } from 'node:events'
import { createServer } from 'node:net'
import type { Socket } from 'node:net'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import type { PeerIdentity } from '../../connection/peer-frames.ts'
import { computeLinkTiming, DEFAULT_LINK_TIMING } from '../../connection/peer-link.ts'
import type { LinkCounts, LinkTiming } from '../../connection/peer-link.ts'
import { startListening } from '../../connection/start-listening.ts'
import type { AppError } from '../../errors.ts'
import type { HostListClient } from '../host-list-client.ts'
import { NO_OFFSET } from './member-state.ts'
import type { MemberTableOptions } from './member-state.ts'
import { createMemberTable } from './member-table.ts'
import { runLink } from './mesh-links.ts'
import { createListeners, flushChanges, startTask } from './mesh-parts.ts'
import type { MeshParts } from './mesh-parts.ts'
import { createPeerCalls } from './peer-calls.ts'
import { createPeerDialer } from './peer-dialer.ts'
import type { PeerDialer } from './peer-dialer.ts'
import { createPeerLinks } from './peer-links.ts'
import type { PeerMesh } from './peer-mesh.ts'

/** Logger of the mesh. */
export interface MeshLogger { info(message: string): void, warn(message: string): void }

/** Options of a mesh; times in ms. */
export interface PeerMeshOptions {
  self: PeerIdentity
  /** Address to listen on and dial from, if it differs from the announced one. */
  listenAddress?: string
  /** Secret shared by all entries, which authenticates links. */
  peerKey: string
  hostList: HostListClient
  clock: Clock
  logger?: MeshLogger
  /** Timing of each link. */
  timing?: Partial<LinkTiming>
  /** Time between two reads of the host list. */
  listPollMs?: number
  /** Time between two checks of a peer without a link, and upper bound of the backoff between failed attempts. */
  redialMs?: number
  maxRedialMs?: number
  /** Peers to dial while no link is open, so that an entry can start while the host list is unavailable. */
  seeds?: readonly { address: string, peerPort: number }[]
  /** Timing of the member table. */
  members?: Pick<MemberTableOptions, 'listLeavingHoldMs' | 'forgetAfterMs'>
}

/** Counters of a mesh. */
export interface MeshReport {
  links: number
  traffic: LinkCounts
  /** Rejected connections: wrong key, wrong protocol, malformed handshake, earlier incarnation. */
  refused: number
  malformedFrames: number
  staleFacts: number
  /** Links that went silent. */
  silentLinks: number
  listFailures: number
}

/** A mesh with its start and its counters. */
export type TcpPeerMesh = PeerMesh & {
  /** Listens for peers and starts the background tasks. Errors: `settings-invalid` if it cannot listen. */
  start(): Promise<Result<void, AppError>>
  report(): MeshReport
}

const DEFAULT_LIST_POLL_MS = 1_000
const DEFAULT_REDIAL_MS = 250
const DEFAULT_MAX_REDIAL_MS = 2_000
/** Concurrent connections to the peer port, unauthenticated ones included. */
const MAX_CONNECTIONS = 512

/** Polls the host list. A failed read leaves the last list in effect. */
async function runListTask (parts: MeshParts): Promise<void> {
  const { hostList, clock, listPollMs = DEFAULT_LIST_POLL_MS } = parts.options
  while (!parts.stop.signal.aborted) {
    const hosts = await hostList.readHosts()
    if (hosts.isOk()) parts.table.applyList(hosts.value)
    else parts.counts.listFailures += 1
    flushChanges(parts)
    await clock.wait(listPollMs, parts.stop.signal)
  }
}

/** Dials the seeds while no link is open. */
async function runSeedTask (parts: MeshParts): Promise<void> {
  const { seeds = [], clock, maxRedialMs = DEFAULT_MAX_REDIAL_MS } = parts.options
  while (!parts.stop.signal.aborted && seeds.length > 0) {
    if (parts.links.countLinks() === 0) {
      for (const seed of seeds) await parts.dialer.tryAddress(seed.address, seed.peerPort)
    }
    await clock.wait(maxRedialMs, parts.stop.signal)
  }
}

/** Closes replaced links, and announces changes of member state that come with time alone. */
async function runMaintenanceTask (parts: MeshParts): Promise<void> {
  while (!parts.stop.signal.aborted) {
    parts.links.closeReplaced()
    flushChanges(parts)
    await parts.options.clock.wait(parts.getTiming().heartbeatMs, parts.stop.signal)
  }
}

function createMeshDialer (parts: Omit<MeshParts, 'dialer'>, openLink: (socket: Socket) => Promise<boolean>): PeerDialer {
  const { options, table, links } = parts
  return createPeerDialer({
    selfId: options.self.id,
    localAddress: options.listenAddress ?? options.self.address,
    clock: options.clock,
    redialMs: options.redialMs ?? DEFAULT_REDIAL_MS,
    maxRedialMs: options.maxRedialMs ?? DEFAULT_MAX_REDIAL_MS,
    signal: parts.stop.signal,
    findPeer: (id) => table.listPeers().find((peer) => peer.id === id),
    hasLiveLink: (peer) => links.hasLiveLink(peer.id, peer.incarnation),
    hasLink: (id) => links.hasLink(id),
    openLink,
    startTask: (name, task) => startTask(parts, name, task),
    handleUnreachable (peer) {
      table.markUnreachable(peer.id, peer.incarnation)
    }
  })
}

function createMeshParts (options: PeerMeshOptions): MeshParts {
  const { self, clock } = options
  const stop = new AbortController()
  const links = createPeerLinks(self.id, clock)
  const timing = { ...DEFAULT_LINK_TIMING, ...options.timing }
  // Every peer's task listens on this signal; Node.js would warn of a leak above its default limit of listeners.
  setMaxListeners(0, stop.signal)
  const shared = {
    options,
    getTiming: () => computeLinkTiming(timing, links.countPeers()),
    table: createMemberTable({ self, clock, ...options.members }),
    links,
    calls: createPeerCalls(clock),
    counts: { refused: 0, malformedFrames: 0, silentLinks: 0, listFailures: 0 },
    messages: createListeners<[never, never]>(),
    entries: createListeners<[never]>(),
    stop,
    handler: undefined,
    contractOffset: NO_OFFSET,
    isLeaving: false,
    isFlushPending: false,
    announcedLive: self.id as string,
    announcedFacts: new Map()
  } as unknown as Omit<MeshParts, 'dialer'>
  const parts: MeshParts = Object.assign(shared, { dialer: createMeshDialer(shared, (socket) => runLink(parts, socket, 'initiator')) })
  return parts
}

function reportMesh (parts: MeshParts): MeshReport {
  const { links, table, counts } = parts
  return { ...counts, links: links.countLinks(), traffic: links.countTraffic(), staleFacts: table.countStaleFacts() }
}

/** Creates the mesh of one entry. It does nothing before `start`. */
export function createPeerMesh (options: PeerMeshOptions): TcpPeerMesh {
  const parts = createMeshParts(options)
  const { table, links, calls, messages, entries } = parts
  const server = createServer({ noDelay: true }, (socket) => startTask(parts, 'a link', () => runLink(parts, socket, 'acceptor')))
  server.maxConnections = MAX_CONNECTIONS
  return {
    async start () {
      const listening = await startListening(server, {
        address: options.listenAddress ?? options.self.address,
        port: options.self.peerPort,
        handleFault: (message) => options.logger?.warn(`membership: ${message}`)
      })
      if (listening.isErr()) return listening
      startTask(parts, 'reading the host list', () => runListTask(parts))
      startTask(parts, 'dialing seeds', () => runSeedTask(parts))
      startTask(parts, 'maintenance', () => runMaintenanceTask(parts))
      return listening
    },
    listPeers: () => table.listPeers(),
    listLiveEntries: () => table.listLive(),
    sendTo: (peer, message) => { links.sendTo(peer, message) },
    broadcast: (message) => links.broadcast(message),
    watchMessages: (action) => messages.addListener(action),
    watchEntries: (action) => entries.addListener(action),
    forwardRequest: (peer, request) => calls.sendRequest(links.getLink(peer), request),
    handleForwards (action) {
      parts.handler = action
    },
    setContractOffset (offset) {
      if (offset > parts.contractOffset) parts.contractOffset = offset
    },
    markLeaving () {
      parts.isLeaving = true
      table.applyLeaving(options.self.id, options.self.incarnation)
      flushChanges(parts)
    },
    async close () {
      parts.stop.abort()
      links.closeAll()
      await new Promise<void>((resolve) => server.close(() => resolve()))
    },
    report: () => reportMesh(parts)
  }
}
