/**
 * The parts of a gateway and how they are connected: the store, the other entries, the target selection and the listeners.
 */
import { randomBytes } from 'node:crypto'
import type { Clock } from '../../clock.ts'
import type { BootSettings } from '../../platform/boot-file.ts'
import { createStoreClient } from '../../platform/store-client.ts'
import type { StoreClient } from '../../platform/store-client.ts'
import { toBrand } from '../../types.ts'
import type { EntryId, Incarnation, ZoneId } from '../../types.ts'
import type { SharedReading } from '../discovery/shared-reading.ts'
import type { MemberRecord } from '../gossip/member-record.ts'
import type { Logger, PartLogger } from '../logger.ts'
import { createTargetLimiter } from '../target-limits/target-limiter.ts'
import type { TargetLimiter } from '../target-limits/target-limiter.ts'
import { createDeferredMetrics } from './deferred-metrics.ts'
import type { DeferredMetrics } from './deferred-metrics.ts'
import { createEntryContacts } from './entry-contacts.ts'
import type { EntryContacts } from './entry-contacts.ts'
import { createGatewayFollowers } from './gateway-followers.ts'
import type { GatewayFollowers } from './gateway-followers.ts'
import { createGatewayMembership } from './gateway-membership.ts'
import type { GatewayMembership } from './gateway-membership.ts'
import type { GatewayMessage } from './gateway-messages.ts'
import { createGatewayRequests } from './gateway-requests.ts'
import type { GatewayRequests } from './gateway-requests.ts'
import { createGatewayServers, METRICS_PORT } from './gateway-servers.ts'
import type { GatewayServers } from './gateway-servers.ts'
import { createGatewayState } from './gateway-state.ts'
import type { GatewayState } from './gateway-state.ts'
import { selectAddresses } from './select-addresses.ts'
import { createSharedReads, selectReader } from './shared-reads.ts'

/** Options of a gateway. */
export interface GatewayOptions {
  settings: BootSettings
  clock: Clock
  logger: Logger
  random?: () => number
  /** Returns how many log lines have been dropped, for the metrics. */
  countDroppedLines?(): number
  /** Port of the metrics; `METRICS_PORT` when left out. */
  metricsPort?: number
}

/** How long callers may cache the entry addresses, in ms. */
export const ADDRESS_LIFETIME_MS = 1_000
/** The retry burst allowed over all entries is divided by the number of live entries, but at least by this. */
const MIN_SHARING_ENTRIES = 10
/** Share of the allowed load probes and retry burst that is used. */
const USED_SHARE = 0.8
/** Share of the allowed retry ratio that is used: a request and its retries may be counted in different windows. */
const USED_RETRY_SHARE = 0.9
const MAX_CONNECTIONS_PER_TARGET = 24
/** At the first start of all entries no caller waits: they find each other within this time, and then one reads for all, in ms. */
const FIRST_JOIN_MS = 1_500

/** What a gateway consists of. */
export interface GatewayParts {
  settings: BootSettings
  clock: Clock
  random: () => number
  logger: Logger
  log: PartLogger
  incarnation: Incarnation
  store: StoreClient
  contacts: EntryContacts
  membership: GatewayMembership
  limiter: TargetLimiter
  state: GatewayState
  requests: GatewayRequests
  metrics: DeferredMetrics
  followers: GatewayFollowers
  servers: GatewayServers
  startedAtMs: number
  isStopping: boolean
  /** Whether this process is overloaded, by the lateness of its event loop. */
  isBusy: boolean
  /** Whether a member has appeared, changed or is gone since `applyMembershipChanges` was last called. */
  hasMembershipChanged: boolean
  /** Latest end of the process, by the monotonic clock in ms; undefined until a shutdown starts. */
  endAtMs: number | undefined
}

function createSelf (settings: BootSettings, run: number): MemberRecord {
  return {
    id: settings.entry,
    zone: settings.zone,
    address: settings.address,
    port: settings.listen.front.port,
    peerPort: settings.internalPorts[0],
    run,
    version: 0,
    status: { isReady: false, isLeaving: false, isBusy: false, canReadStore: true }
  }
}

/** Computes the retry burst of one entry for a service: at least 1. */
function computeMaxRetryTokens ({ retryBudget }: BootSettings, entryCount: number): number {
  return Math.max(1, Math.floor(retryBudget.slack * USED_SHARE / Math.max(MIN_SHARING_ENTRIES, entryCount)))
}

function createState (parts: GatewayParts): GatewayState {
  const { clock, random, log, settings } = parts
  return createGatewayState({
    zone: settings.zone,
    clock,
    random,
    logger: log,
    retryBudget: { share: settings.retryBudget.share * USED_RETRY_SHARE, maxTokens: computeMaxRetryTokens(settings, 1) },
    getLoadProbesPerSecond: () => parts.settings.maxLoadProbesPerSecond * USED_SHARE / parts.membership.countMembers(),
    maxConnections: MAX_CONNECTIONS_PER_TARGET,
    limiter: parts.limiter,
    handleConfiguration ({ limits }) {
      parts.servers.setIdleTimeout(limits.idleTimeoutMs)
      publishStatus(parts)
    },
    handleTargetsRead: () => publishStatus(parts),
    handleLeaving: (_, target) => parts.membership.broadcast({ type: 'target-leaving', target })
  })
}

/** Whether the other entries are known by now. */
function hasJoined ({ clock, settings, startedAtMs }: GatewayParts): boolean {
  return !settings.isFirstStart || clock.monotonicMs() - startedAtMs >= FIRST_JOIN_MS
}

function createSharing (parts: GatewayParts): Omit<SharedReading, 'silentAfterMs'> {
  const { settings, membership } = parts
  return createSharedReads({
    self: settings.entry,
    listEntries: () => membership.listMembers(),
    hasJoined: () => hasJoined(parts),
    publish: (range) => membership.broadcast({ type: 'topic-range', range })
  })
}

/** Applies a message of another entry. */
function applyMessage (parts: GatewayParts, from: EntryId, message: GatewayMessage): void {
  switch (message.type) {
    case 'target-leaving': return parts.state.markLeaving(message.target)
    case 'topic-range': return parts.followers.find(message.range.topic)?.applyShared(message.range)
    case 'target-limit':
    case 'permit-request':
    case 'permit-response': return parts.limiter.handleMessage(from, message)
  }
}

function createLimiter (parts: GatewayParts): TargetLimiter {
  const { settings, clock, random, log } = parts
  return createTargetLimiter({
    self: settings.entry,
    clock,
    random,
    logger: log,
    send: (to, message) => parts.membership.sendTo(to, message),
    broadcast: (message) => parts.membership.broadcast(message)
  })
}

function createMembership (parts: GatewayParts, run: number): GatewayMembership {
  const { settings, clock, random, logger } = parts
  return createGatewayMembership({
    self: createSelf(settings, run),
    peerKey: `medlarcove ${settings.store.address}:${settings.store.port}`,
    clock,
    random,
    logger: logger.forPart('peers'),
    getProgress: () => parts.followers.getProgress(),
    handleProgress: (progress) => parts.followers.applyProgress(progress),
    handleMessage: (from, message) => applyMessage(parts, from, message),
    handleChange: () => { parts.hasMembershipChanged = true }
  })
}

/** Applies changes of the membership to what depends on the other entries. Call it periodically. */
export function applyMembershipChanges (parts: GatewayParts): void {
  if (!parts.hasMembershipChanged) return
  parts.hasMembershipChanged = false
  const { settings, membership, state, limiter } = parts
  state.updateMaxRetryTokens(computeMaxRetryTokens(settings, membership.countMembers()))
  limiter.updateEntries(membership.listMembers())
}

function isReady ({ isStopping, state }: GatewayParts): boolean {
  return !isStopping && state.getInEffect() !== undefined && state.hasReadTargets()
}

/** Announces the status of this entry if it has changed. */
export function publishStatus (parts: GatewayParts): void {
  const { membership, followers, isBusy, isStopping } = parts
  membership.setStatus({ isReady: isReady(parts), isLeaving: isStopping, isBusy, canReadStore: !followers.hasLostStore() })
}

/** Lists the addresses of the entries that a caller may use, as `address:port`. */
function listAddresses (parts: GatewayParts, callerZone: ZoneId | undefined): string[] {
  const entries = parts.membership.listMembers().filter(({ isSelf, state, status }) => isSelf ? isReady(parts) : state === 'live' && status.isReady)
  return selectAddresses({ entries, callerZone, random: parts.random }).map(({ address, port }) => `${address}:${port}`)
}

function createServers (parts: GatewayParts, options: GatewayOptions): GatewayServers {
  const { settings, log, requests, state, metrics } = parts
  return createGatewayServers({
    settings,
    isReady: () => isReady(parts),
    listAddresses: (callerZone) => listAddresses(parts, callerZone),
    addressLifetimeMs: Math.min(ADDRESS_LIFETIME_MS, settings.maxAddressLifetimeMs),
    metricsPort: options.metricsPort ?? METRICS_PORT,
    handleFault: (message) => log.warn(message),
    handleRequest: (incoming, outgoing) => { requests.handleRequest(incoming, outgoing).catch(() => outgoing.destroy()) },
    renderMetrics: () => metrics.renderText({
      services: state.listMetrics(),
      store: parts.store.report(),
      storeEra: parts.store.getEra(),
      version: state.getInEffect()?.configuration.version ?? 0,
      isReady: isReady(parts),
      limiter: parts.limiter.report(),
      liveEntries: parts.membership.listMembers().filter((member) => member.state === 'live').length,
      datagrams: parts.membership.report(),
      droppedLogLines: options.countDroppedLines?.() ?? 0,
      inProgress: requests.countInProgress()
    })
  })
}

function createContacts (parts: GatewayParts, run: number): EntryContacts {
  const { settings, store, clock, random, logger, membership } = parts
  return createEntryContacts({
    self: createSelf(settings, run),
    store,
    clock,
    random,
    logger: logger.forPart('directory'),
    isFirstStart: settings.isFirstStart,
    hasPeers: () => membership.countMembers() > 1,
    isReader: () => hasJoined(parts) && selectReader(membership.listMembers()) === settings.entry,
    handleContacts: (contacts) => membership.addContacts(contacts)
  })
}

function createStore (parts: GatewayParts): StoreClient {
  const { settings, clock, logger } = parts
  const log = logger.forPart('store')
  return createStoreClient({
    store: settings.store,
    clock,
    handleEra (era, before) {
      if (before > 0) log.warn('The store was restored from a copy; what was written since the copy may be gone.', { era, before })
      else log.info('The store states its era.', { era })
      parts.followers.handleEra()
      parts.contacts.handleEra()
    },
    handleMalformedEra: (text) => log.warn('The store states an era that cannot be decoded.', { text })
  })
}

/** Creates the parts; each uses the others only after all have been created. */
export function createParts (options: GatewayOptions): GatewayParts {
  const { settings, clock, logger, random = Math.random } = options
  const run = clock.wallMs()
  const incarnation = toBrand<Incarnation>(`${run.toString().padStart(15, '0')}-${randomBytes(4).toString('hex')}`)
  const base = { settings, clock, random, logger, log: logger.forPart('gateway'), incarnation, startedAtMs: clock.monotonicMs(), isStopping: false, isBusy: false, hasMembershipChanged: true, endAtMs: undefined }
  const parts = { ...base } as GatewayParts
  parts.store = createStore(parts)
  parts.limiter = createLimiter(parts)
  parts.membership = createMembership(parts, run)
  parts.state = createState(parts)
  parts.followers = createGatewayFollowers({ ...parts, logger: logger.forPart('store'), sharing: createSharing(parts) })
  parts.contacts = createContacts(parts, run)
  parts.metrics = createDeferredMetrics({
    load: async () => (await import('./gateway-metrics.ts')).createGatewayMetrics(),
    clock,
    logger: logger.forPart('metrics')
  })
  parts.requests = createGatewayRequests({ state: parts.state, clock, logger: logger.forPart('request'), metrics: parts.metrics, getEndAtMs: () => parts.endAtMs })
  parts.servers = createServers(parts, options)
  return parts
}
