/**
 * An entry on the users' platform, from start to stop: connects the store, the peers, the target selection and the
 * listeners.
 */
import { randomBytes } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import type { PeerIdentity } from '../../connection/peer-frames.ts'
import type { AppError } from '../../errors.ts'
import type { BootSettings } from '../../platform/boot-file.ts'
import { createStoreClient, OPERATOR_TOPIC, TARGETS_TOPIC } from '../../platform/store-client.ts'
import type { StoreClient } from '../../platform/store-client.ts'
import { toBrand } from '../../types.ts'
import type { CustomerId, Incarnation, Offset } from '../../types.ts'
import { createTopicFollower } from '../discovery/topic-follower.ts'
import type { TopicFollower } from '../discovery/topic-follower.ts'
import { EXPIRY_GRACE_MS } from '../discovery/target-registry.ts'
import { startLatenessWatch } from '../lateness-watch.ts'
import type { Logger, PartLogger } from '../logger.ts'
import { canServe, dropBusy } from '../membership/address-order.ts'
import type { PeerMesh } from '../membership/peer-mesh.ts'
import { createPeerMesh } from '../membership/tcp-peer-mesh.ts'
import type { TcpPeerMesh } from '../membership/tcp-peer-mesh.ts'
import { createEntryDirectory, readInitialRecords } from './entry-directory.ts'
import type { EntryDirectory, InitialRecords } from './entry-directory.ts'
import { createDeferredMetrics } from './deferred-metrics.ts'
import type { DeferredMetrics } from './deferred-metrics.ts'
import { createGatewayRequests } from './gateway-requests.ts'
import type { GatewayRequests } from './gateway-requests.ts'
import { createGatewayServers, METRICS_PORT } from './gateway-servers.ts'
import type { GatewayServers } from './gateway-servers.ts'
import { createGatewayState } from './gateway-state.ts'
import type { GatewayState } from './gateway-state.ts'
import { createSharedReads } from './shared-reads.ts'

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
const PEER_TIMING = { heartbeatMs: 200, silentAfterMs: 600 }
/** Messages between peers name the owner of a service; on the platform all services have the same owner. */
const SERVICE_OWNER = toBrand<CustomerId>('platform')

interface GatewayParts {
  settings: BootSettings
  clock: Clock
  random: () => number
  logger: Logger
  log: PartLogger
  incarnation: Incarnation
  store: StoreClient
  directory: EntryDirectory
  mesh: TcpPeerMesh
  state: GatewayState
  requests: GatewayRequests
  metrics: DeferredMetrics
  configurationFollower: TopicFollower
  targetsFollower: TopicFollower
  servers: GatewayServers
  isStopping: boolean
  /** Whether this process is overloaded, by the lateness of its event loop. */
  isBusy: boolean
  /** Latest end of the process, by the monotonic clock in ms; undefined until a shutdown starts. */
  endAtMs: number | undefined
}

type PartsBase = Partial<Pick<GatewayParts, 'servers'>> & Pick<GatewayParts, 'settings' | 'clock' | 'random' | 'logger' | 'log' | 'incarnation' | 'isStopping' | 'isBusy' | 'endAtMs'>

function createSelf ({ settings, incarnation }: PartsBase): PeerIdentity {
  return {
    id: settings.entry,
    incarnation,
    zone: settings.zone,
    address: settings.address,
    port: settings.listen.front.port,
    peerPort: settings.internalPorts[0]
  }
}

/** Computes the retry burst of one entry for a service: at least 1. */
function computeMaxRetryTokens ({ retryBudget }: BootSettings, liveEntryCount: number): number {
  return Math.max(1, Math.floor(retryBudget.slack * USED_SHARE / Math.max(MIN_SHARING_ENTRIES, liveEntryCount)))
}

function createState (base: PartsBase, mesh: PeerMesh): GatewayState {
  const { clock, random, log, settings } = base
  let liveEntryCount = 1
  const state = createGatewayState({
    zone: settings.zone,
    clock,
    random,
    logger: log,
    retryBudget: { share: settings.retryBudget.share * USED_RETRY_SHARE, maxTokens: computeMaxRetryTokens(settings, 1) },
    getLoadProbesPerSecond: () => base.settings.maxLoadProbesPerSecond * USED_SHARE / liveEntryCount,
    maxConnections: MAX_CONNECTIONS_PER_TARGET,
    handleConfiguration ({ version, limits }) {
      mesh.setContractOffset(toBrand<Offset>(version))
      base.servers?.setIdleTimeout(limits.idleTimeoutMs)
    },
    handleLeaving: (service, target) => mesh.broadcast({ type: 'target-leaving', customer: SERVICE_OWNER, service, target })
  })
  mesh.watchEntries((live) => {
    liveEntryCount = Math.max(1, live.length)
    state.updateMaxRetryTokens(computeMaxRetryTokens(settings, live.length))
  })
  return state
}

function createFollowers (base: PartsBase, store: StoreClient, state: GatewayState, mesh: PeerMesh) {
  const { clock, random, settings } = base
  const shared = { store, clock, random, logger: base.logger.forPart('store') }
  const reads = createSharedReads({ mesh, self: settings.entry, isBusy: () => base.isBusy })
  const configurationFollower = createTopicFollower({
    ...shared,
    topic: OPERATOR_TOPIC,
    waitMs: settings.configurationApplyMs * CONFIGURATION_WAIT_SHARE,
    pauseMs: 0,
    applyRecords: (records) => state.applyConfigurationRecords(records),
    sharing: { ...reads, silentAfterMs: settings.configurationApplyMs * CONFIGURATION_SILENT_SHARE }
  })
  const targetsFollower: TopicFollower = createTopicFollower({
    ...shared,
    topic: TARGETS_TOPIC,
    waitMs: 0,
    pauseMs: settings.drainMs * TARGETS_PAUSE_SHARE,
    postOutageWindowMs: EXPIRY_GRACE_MS,
    applyRecords: (records, context) => state.applyTargetRecords(records, context),
    sharing: { ...reads, silentAfterMs: settings.drainMs * TARGETS_SILENT_SHARE }
  })
  return { configurationFollower, targetsFollower }
}

/** Applies the messages of the other entries. */
function watchPeers (mesh: PeerMesh, state: GatewayState, followers: ReturnType<typeof createFollowers>): void {
  const byTopic = new Map([[OPERATOR_TOPIC, followers.configurationFollower], [TARGETS_TOPIC, followers.targetsFollower]])
  mesh.watchMessages((_, message) => {
    if (message.type === 'target-leaving') state.markLeaving(message.target)
    if (message.type === 'topic-stretch') byTopic.get(message.stretch.topic)?.applyShared(message.stretch)
  })
}

function isReady ({ isStopping, state }: Pick<GatewayParts, 'isStopping' | 'state'>): boolean {
  return !isStopping && state.getInEffect() !== undefined && state.hasReadTargets()
}

/** Lists the addresses of the entries that accept requests, as `address:port`. */
function listAddresses (parts: Pick<GatewayParts, 'isStopping' | 'state' | 'mesh'>): string[] {
  const usable = parts.mesh.listPeers().filter((peer) => peer.isSelf ? isReady(parts) : canServe(peer))
  return dropBusy(usable).map((peer) => `${peer.address}:${peer.port}`)
}

function createParts (options: GatewayOptions, store: StoreClient, initialRecords: InitialRecords): GatewayParts {
  const { settings, clock, logger, random = Math.random, countDroppedLines = () => 0 } = options
  const incarnation = toBrand<Incarnation>(`${initialRecords.run.toString().padStart(15, '0')}-${randomBytes(4).toString('hex')}`)
  const base: PartsBase = { settings, clock, random, logger, log: logger.forPart('gateway'), incarnation, isStopping: false, isBusy: false, endAtMs: undefined }
  const self = createSelf(base)
  const directory = createEntryDirectory({ self, initial: initialRecords, store, clock, logger: logger.forPart('directory') })
  const peerKey = `medlarcove ${settings.store.address}:${settings.store.port}`
  const mesh = createPeerMesh({ self, peerKey, hostList: directory, clock, logger: logger.forPart('peers'), timing: PEER_TIMING })
  const state = createState(base, mesh)
  const followers = createFollowers(base, store, state, mesh)
  watchPeers(mesh, state, followers)
  const metrics = createDeferredMetrics({
    load: async () => (await import('./gateway-metrics.ts')).createGatewayMetrics(),
    clock,
    logger: logger.forPart('metrics')
  })
  const requests = createGatewayRequests({ state, clock, logger: logger.forPart('request'), metrics, getEndAtMs: () => base.endAtMs })
  const parts: GatewayParts = Object.assign(base, {
    store,
    directory,
    mesh,
    state,
    requests,
    metrics,
    ...followers,
    servers: createGatewayServers({
      settings,
      isReady: () => isReady(parts),
      listAddresses: () => listAddresses(parts),
      addressLifetimeMs: Math.min(ADDRESS_LIFETIME_MS, settings.maxAddressLifetimeMs),
      metricsPort: options.metricsPort ?? METRICS_PORT,
      handleFault: (message) => base.log.warn(message),
      handleRequest: (incoming, outgoing) => { requests.handleRequest(incoming, outgoing).catch(() => outgoing.destroy()) },
      renderMetrics: () => metrics.renderText({
        services: state.listMetrics(),
        store: store.report(),
        version: state.getInEffect()?.configuration.version ?? 0,
        isReady: isReady(parts),
        liveEntries: mesh.listLiveEntries().length,
        droppedLogLines: countDroppedLines(),
        inProgress: requests.countInProgress()
      })
    })
  })
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
  const { clock, log, mesh, servers, requests } = parts
  const startedAtMs = clock.monotonicMs()
  log.info('Stopping.', { reason, inProgress: requests.countInProgress() })
  mesh.markLeaving()
  servers.closeAfterResponses()
  await waitForCallers(parts)
  log.info('Stopped.', { reason, inProgress: requests.countInProgress(), tookMs: Math.round(clock.monotonicMs() - startedAtMs) })
}

/** Closes everything that the gateway holds open. */
async function closeParts (parts: GatewayParts): Promise<void> {
  parts.servers.close()
  parts.metrics.close()
  parts.configurationFollower.close()
  parts.targetsFollower.close()
  parts.directory.close()
  parts.state.close()
  await parts.mesh.close()
  await parts.store.close()
}

/** Starts a gateway. Errors: `settings-invalid` when it cannot listen on an address of the settings. */
export async function startGateway (options: GatewayOptions): Promise<Result<Gateway, AppError>> {
  const { settings, clock, logger } = options
  const store = createStoreClient({ store: settings.store, clock })
  const initialRecords = await readInitialRecords({ entry: settings.entry, store, clock, logger: logger.forPart('directory') })
  const parts = createParts(options, store, initialRecords)
  const { log, state, targetsFollower } = parts
  parts.configurationFollower.start()
  targetsFollower.start()
  parts.directory.start()
  const joined = await parts.mesh.start()
  if (joined.isErr()) return err(joined.error)
  const listening = await parts.servers.start()
  if (listening.isErr()) return err(listening.error)
  const metrics = await parts.servers.startMetrics()
  if (metrics.isErr()) log.warn('Metrics are not served.', { error: metrics.error.message })
  const maintenance = setInterval(() => state.removeExpired(targetsFollower.isStoreUnavailable()), MAINTENANCE_INTERVAL_MS)
  const stopWatching = startLatenessWatch({
    clock,
    handleChange (isBusy, latenessMs) {
      log.warn(isBusy ? 'Overloaded: callers are sent to other entries.' : 'No longer overloaded.', { latenessMs: Math.round(latenessMs) })
      parts.isBusy = isBusy
      parts.mesh.setBusy(isBusy)
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
