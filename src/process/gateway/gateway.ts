/**
 * An entry on the users' platform, from start to stop: connects the store, the peers, the target selection and the
 * listeners.
 */
import { randomBytes } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import type { AppError } from '../../errors.ts'
import type { BootSettings } from '../../platform/boot-file.ts'
import { createStoreClient, OPERATOR_TOPIC, TARGETS_TOPIC } from '../../platform/store-client.ts'
import type { StoreClient } from '../../platform/store-client.ts'
import { toBrand } from '../../types.ts'
import type { Incarnation, ZoneId } from '../../types.ts'
import { createTopicFollower } from '../discovery/topic-follower.ts'
import type { TopicFollower } from '../discovery/topic-follower.ts'
import { EXPIRY_GRACE_MS } from '../discovery/target-registry.ts'
import { startLatenessWatch } from '../lateness-watch.ts'
import type { Logger, PartLogger } from '../logger.ts'
import { selectAddresses } from './select-addresses.ts'
import type { MemberRecord } from '../gossip/member-record.ts'
import { createEntryContacts } from './entry-contacts.ts'
import type { EntryContacts } from './entry-contacts.ts'
import { createGatewayMembership } from './gateway-membership.ts'
import type { GatewayMembership } from './gateway-membership.ts'
import type { GatewayMessage, ReadProgress } from './gateway-messages.ts'
import { createDeferredMetrics } from './deferred-metrics.ts'
import type { DeferredMetrics } from './deferred-metrics.ts'
import { createGatewayRequests } from './gateway-requests.ts'
import type { GatewayRequests } from './gateway-requests.ts'
import { createGatewayServers, METRICS_PORT } from './gateway-servers.ts'
import type { GatewayServers } from './gateway-servers.ts'
import { createGatewayState } from './gateway-state.ts'
import type { GatewayState } from './gateway-state.ts'
import { createSharedReads, selectReader } from './shared-reads.ts'

/** A running gateway. */
export interface Gateway {
  /**
   * Shuts down gracefully: withdraws this entry from the addresses for callers, serves until callers use other entries,
   * and closes. Resolves when the process may exit.
   */
  stop(reason: string): Promise<void>
  /** Closes at once, without waiting for callers. */
  close(): Promise<void>
  /** Applies changed settings; the addresses of listeners stay as they were at the start. */
  reload(settings: BootSettings): void
}

/** Options of `startGateway`. */
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

/** How long callers may cache the entry addresses, in ms. Some keep them three times as long, and a shutdown must outlast that. */
const ADDRESS_LIFETIME_MS = 1_000
const CACHE_TIME_FACTOR = 3
/** Maximum time that the store may hold a read of the configuration open, as a share of the time until it must be in effect. */
const CONFIGURATION_WAIT_SHARE = 0.5
/**
 * An entry that receives no records of a topic from its peers for longer than this share of the time until a
 * configuration must be in effect, or a leaving target must get no requests, reads the topic itself.
 */
const CONFIGURATION_SILENT_SHARE = 0.65
const TARGETS_SILENT_SHARE = 0.45
/** Pause between two reads of the targets, as a share of the time after which a leaving target must get no requests. */
const TARGETS_PAUSE_SHARE = 0.3
const MAINTENANCE_INTERVAL_MS = 100
/** The process ends this long before the end of the grace period, when the platform would kill it, in ms. */
const KILL_MARGIN_MS = 500
const STOP_POLL_MS = 50
/** The retry burst allowed over all entries is divided by the number of live entries, but at least by this. */
const MIN_SHARING_ENTRIES = 10
/** Share of the allowed load probes and retry burst that is used. */
const USED_SHARE = 0.8
/** Share of the allowed retry ratio that is used: a request and its retries may be counted in different windows. */
const USED_RETRY_SHARE = 0.9
const MAX_CONNECTIONS_PER_TARGET = 24
/** At the first start of all entries no caller waits: they find each other within this time, and then one reads for all, in ms. */
const FIRST_JOIN_MS = 1_500
/** The other entries read by themselves if nothing has been read for them until this time after the first start, in ms. */
const FIRST_READ_DELAY_MS = 3_500

interface GatewayParts {
  settings: BootSettings
  clock: Clock
  random: () => number
  logger: Logger
  log: PartLogger
  incarnation: Incarnation
  store: StoreClient
  contacts: EntryContacts
  membership: GatewayMembership
  state: GatewayState
  requests: GatewayRequests
  metrics: DeferredMetrics
  followers: Followers
  servers: GatewayServers
  startedAtMs: number
  isStopping: boolean
  /** Whether this process is overloaded, by the lateness of its event loop. */
  isBusy: boolean
  /** Latest end of the process, by the monotonic clock in ms; undefined until a shutdown starts. */
  endAtMs: number | undefined
}

/** The followers of the store's topics. */
interface Followers { configuration: TopicFollower, targets: TopicFollower }

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
    handleConfiguration ({ limits }) {
      parts.servers.setIdleTimeout(limits.idleTimeoutMs)
      publishStatus(parts)
    },
    handleTargetsRead: () => publishStatus(parts),
    handleLeaving: (_, target) => parts.membership.broadcast({ type: 'target-leaving', target })
  })
}

function createFollowers (parts: GatewayParts): Followers {
  const { clock, random, settings, store, membership, state } = parts
  const reads = createSharedReads({
    self: settings.entry,
    listEntries: () => membership.listMembers(),
    hasJoined: () => hasJoined(parts),
    publish: (range) => membership.broadcast({ type: 'topic-range', range })
  })
  const shared = { store, clock, random, logger: parts.logger.forPart('store'), firstReadDelayMs: settings.isFirstStart ? FIRST_READ_DELAY_MS : undefined }
  return {
    configuration: createTopicFollower({
      ...shared,
      topic: OPERATOR_TOPIC,
      waitMs: settings.configurationApplyMs * CONFIGURATION_WAIT_SHARE,
      pauseMs: 0,
      applyRecords: (records) => state.applyConfigurationRecords(records),
      sharing: { ...reads, silentAfterMs: settings.configurationApplyMs * CONFIGURATION_SILENT_SHARE }
    }),
    targets: createTopicFollower({
      ...shared,
      topic: TARGETS_TOPIC,
      waitMs: 0,
      pauseMs: settings.drainMs * TARGETS_PAUSE_SHARE,
      postOutageWindowMs: EXPIRY_GRACE_MS,
      applyRecords: (records, context) => state.applyTargetRecords(records, context),
      sharing: { ...reads, silentAfterMs: settings.drainMs * TARGETS_SILENT_SHARE }
    })
  }
}

/** Whether the other entries are known by now. */
function hasJoined ({ clock, settings, startedAtMs }: GatewayParts): boolean {
  return !settings.isFirstStart || clock.monotonicMs() - startedAtMs >= FIRST_JOIN_MS
}

function listFollowers ({ followers }: GatewayParts): [string, TopicFollower][] {
  return [[OPERATOR_TOPIC, followers.configuration], [TARGETS_TOPIC, followers.targets]]
}

function findFollower (parts: GatewayParts, topic: string): TopicFollower | undefined {
  return listFollowers(parts).find(([name]) => name === topic)?.[1]
}

function getProgress (parts: GatewayParts): ReadProgress {
  return listFollowers(parts).flatMap(([topic, follower]) => {
    const progress = follower.getProgress()
    return progress ? [{ topic, progress }] : []
  })
}

/** Applies a message of another entry. */
function applyMessage (parts: GatewayParts, message: GatewayMessage): void {
  switch (message.type) {
    case 'target-leaving': return parts.state.markLeaving(message.target)
    case 'topic-range': return findFollower(parts, message.range.topic)?.applyShared(message.range)
  }
}

function createMembership (parts: GatewayParts, run: number): GatewayMembership {
  const { settings, clock, random, logger } = parts
  return createGatewayMembership({
    self: createSelf(settings, run),
    peerKey: `medlarcove ${settings.store.address}:${settings.store.port}`,
    clock,
    random,
    logger: logger.forPart('peers'),
    getProgress: () => getProgress(parts),
    handleProgress (topics) {
      for (const { topic, progress } of topics) findFollower(parts, topic)?.applyProgress(progress)
    },
    handleMessage: (message) => applyMessage(parts, message),
    handleChange: () => parts.state?.updateMaxRetryTokens(computeMaxRetryTokens(settings, parts.membership.countMembers()))
  })
}

function isReady ({ isStopping, state }: GatewayParts): boolean {
  return !isStopping && state.getInEffect() !== undefined && state.hasReadTargets()
}

/** Announces the status of this entry if it has changed. */
function publishStatus (parts: GatewayParts): void {
  const { membership, followers, isBusy, isStopping } = parts
  const canReadStore = !followers.configuration.hasLostStore() && !followers.targets.hasLostStore()
  membership.setStatus({ isReady: isReady(parts), isLeaving: isStopping, isBusy, canReadStore })
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
      version: state.getInEffect()?.configuration.version ?? 0,
      isReady: isReady(parts),
      liveEntries: parts.membership.listMembers().filter((member) => member.state === 'live').length,
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

/** Creates the parts; each uses the others only after all have been created. */
function createParts (options: GatewayOptions): GatewayParts {
  const { settings, clock, logger, random = Math.random } = options
  const run = clock.wallMs()
  const incarnation = toBrand<Incarnation>(`${run.toString().padStart(15, '0')}-${randomBytes(4).toString('hex')}`)
  const base = { settings, clock, random, logger, log: logger.forPart('gateway'), incarnation, startedAtMs: clock.monotonicMs(), isStopping: false, isBusy: false, endAtMs: undefined }
  const parts = { ...base, store: createStoreClient({ store: settings.store, clock }) } as GatewayParts
  parts.membership = createMembership(parts, run)
  parts.state = createState(parts)
  parts.followers = createFollowers(parts)
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

/** Waits until callers use other entries and no request is in progress, but no longer than the grace period allows. */
async function waitForCallers (parts: GatewayParts): Promise<void> {
  const { clock, settings, requests } = parts
  const startedAtMs = clock.monotonicMs()
  const latestEndAtMs = startedAtMs + settings.graceMs - KILL_MARGIN_MS
  parts.endAtMs = latestEndAtMs
  const callersGoneAtMs = startedAtMs + ADDRESS_LIFETIME_MS * CACHE_TIME_FACTOR + MAINTENANCE_INTERVAL_MS
  for (;;) {
    const nowMs = clock.monotonicMs()
    if (nowMs >= latestEndAtMs || (nowMs >= callersGoneAtMs && requests.countInProgress() === 0)) return
    await clock.wait(STOP_POLL_MS)
  }
}

async function stopParts (parts: GatewayParts, reason: string): Promise<void> {
  const { clock, log, servers, requests } = parts
  const startedAtMs = clock.monotonicMs()
  log.info('Stopping.', { reason, inProgress: requests.countInProgress() })
  publishStatus(parts)
  servers.closeAfterResponses()
  await waitForCallers(parts)
  log.info('Stopped.', { reason, inProgress: requests.countInProgress(), tookMs: Math.round(clock.monotonicMs() - startedAtMs) })
}

/** Closes everything that the gateway holds open. */
async function closeParts (parts: GatewayParts): Promise<void> {
  parts.servers.close()
  parts.metrics.close()
  parts.followers.configuration.close()
  parts.followers.targets.close()
  parts.contacts.close()
  parts.state.close()
  await parts.membership.close()
  await parts.store.close()
}

/** Starts a gateway. Errors: `settings-invalid` when it cannot listen on an address of the settings. */
export async function startGateway (options: GatewayOptions): Promise<Result<Gateway, AppError>> {
  const { settings, clock } = options
  const parts = createParts(options)
  const { log, state, followers } = parts
  const joined = await parts.membership.start()
  if (joined.isErr()) return err(joined.error)
  // The store is read while the listeners start.
  followers.configuration.start()
  followers.targets.start()
  parts.contacts.start()
  const listening = await parts.servers.start()
  if (listening.isErr()) return err(listening.error)
  const metrics = await parts.servers.startMetrics()
  if (metrics.isErr()) log.warn('Metrics are not served.', { error: metrics.error.message })
  const maintenance = setInterval(() => {
    state.removeExpired(followers.targets.isStoreUnavailable())
    publishStatus(parts)
  }, MAINTENANCE_INTERVAL_MS)
  const stopWatching = startLatenessWatch({
    clock,
    handleChange (isBusy, latenessMs) {
      log.warn(isBusy ? 'Overloaded: callers are sent to other entries.' : 'No longer overloaded.', { latenessMs: Math.round(latenessMs) })
      parts.isBusy = isBusy
      publishStatus(parts)
    }
  })
  log.info('Started.', { entry: settings.entry, zone: settings.zone, incarnation: parts.incarnation })
  const close = async (): Promise<void> => {
    clearInterval(maintenance)
    stopWatching()
    await closeParts(parts)
  }
  return ok({
    async stop (reason) {
      if (parts.isStopping) return
      parts.isStopping = true
      await stopParts(parts, reason)
      await close()
    },
    close,
    reload (next) {
      parts.settings = next
      log.info('Reloaded the settings.', { drainMs: next.drainMs, graceMs: next.graceMs, looksPerSecond: next.maxLoadProbesPerSecond })
    }
  })
}
