/**
 * The parts of a gateway and how they are connected: the store, the other entries, the target selection and the listeners.
 */
import { randomBytes } from 'node:crypto'
import { createLingeringCloses } from '../../connection/lingering-close.ts'
import { createStoreClient } from '../../platform/store-client.ts'
import type { StoreClient } from '../../platform/store-client.ts'
import { toBrand } from '../../types.ts'
import type { Incarnation, ZoneId } from '../../types.ts'
import { createByteBudget } from '../byte-budget.ts'
import { createDeferredMetrics } from './deferred-metrics.ts'
import { computeCapacity } from './entry-capacity.ts'
import { createGatewayFollowers } from './gateway-followers.ts'
import { computeMaxRetryTokens, createContacts, createLimiter, createMembership, createQuarantine, createQuotas, createReachChecksOf, createSharing, isReady, publishStatus, USED_SHARE } from './gateway-peers.ts'
import { createGatewayRequests } from './gateway-requests.ts'
import { createGatewayServers, METRICS_PORT } from './gateway-servers.ts'
import type { GatewayServers } from './gateway-servers.ts'
import { createGatewayState } from './gateway-state.ts'
import type { GatewayState } from './gateway-state.ts'
import type { GatewayOptions, GatewayParts } from './gateway-types.ts'
import { selectAddresses } from './select-addresses.ts'
import { createShutdown } from './shutdown.ts'

/** How long callers may cache the entry addresses, in ms. */
export const ADDRESS_LIFETIME_MS = 1_000
/** Share of the allowed retry ratio that is used: a request and its retries may be counted in different windows. */
const USED_RETRY_SHARE = 0.9
const MAX_CONNECTIONS_PER_TARGET = 24
const BYTES_PER_MB = 1_048_576
/** Share of the memory of the process that request bodies may take; buffers that were given back are freed only some time later. */
const BODY_MEMORY_SHARE = 0.25

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
    quarantine: parts.quarantine,
    handleConfiguration ({ limits }) {
      parts.servers.setIdleTimeout(limits.idleTimeoutMs)
      publishStatus(parts)
    },
    handleTargetsRead: () => publishStatus(parts),
    handleLeaving: (target, bornMs) => parts.membership.broadcast({ type: 'target-leaving', target, bornMs })
  })
}

/** Lists the addresses of the entries that a caller may use, as `address:port`. */
function listAddresses (parts: GatewayParts, callerZone: ZoneId | undefined): string[] {
  const entries = parts.membership.listMembers().filter(({ isSelf, state, status }) => isSelf ? isReady(parts) : state === 'live' && status.isReady)
  return selectAddresses({ entries, callerZone, random: parts.random }).map(({ address, port }) => `${address}:${port}`)
}

function createServers (parts: GatewayParts, options: GatewayOptions): GatewayServers {
  const { settings, log, requests, state, metrics, closes } = parts
  return createGatewayServers({
    settings,
    closes,
    isReady: () => isReady(parts),
    listAddresses: (callerZone) => listAddresses(parts, callerZone),
    addressLifetimeMs: Math.min(ADDRESS_LIFETIME_MS, settings.maxAddressLifetimeMs),
    metricsPort: options.metricsPort ?? METRICS_PORT,
    handleFault: (message) => log.warn(message),
    handleRequest: (incoming, outgoing) => { requests.handleRequest(incoming, outgoing).catch(() => outgoing.destroy()) },
    handleClientError: requests.handleClientError,
    explainRequest: async (request) => (await import('./explain-request.ts')).explainRequest(request, { entry: settings.entry, state, nowMs: parts.clock.monotonicMs() }),
    renderMetrics: () => metrics.renderText({
      services: state.listMetrics(),
      store: parts.store.report(),
      storeEpoch: parts.store.getEpoch(),
      version: state.getInEffect()?.configuration.version ?? 0,
      isReady: isReady(parts),
      cutOff: parts.cutOff,
      capacity: computeCapacity(settings),
      evacuatedZones: state.countEvacuatedZones(),
      limiter: parts.limiter.report(),
      quotas: parts.quotas.report(),
      quarantine: parts.quarantine.report(),
      targetCrashes: state.countCrashes(),
      liveEntries: parts.membership.listMembers().filter((member) => member.state === 'live').length,
      datagrams: parts.membership.report(),
      droppedLogLines: options.countDroppedLines?.() ?? 0,
      inProgress: requests.countInProgress(),
      bodyBytes: parts.bodyBudget.getTaken(),
      pipelining: requests.reportPipelining(),
      closingConnections: closes.count()
    })
  })
}

function createStore (parts: GatewayParts): StoreClient {
  const { settings, clock, logger } = parts
  const log = logger.forPart('store')
  return createStoreClient({
    store: settings.store,
    clock,
    handleEpoch (epoch, before) {
      if (before > 0) log.warn('The store was restored from a copy; what was written since the copy may be gone.', { epoch, before })
      else log.info('The store states its epoch.', { epoch })
      parts.followers.handleEpoch()
      parts.contacts.handleEpoch()
    },
    handleMalformedEpoch: (text) => log.warn('The store states an epoch that cannot be decoded.', { text })
  })
}

/** Creates the parts; each uses the others only after all have been created. */
export function createParts (options: GatewayOptions): GatewayParts {
  const { settings, clock, logger, random = Math.random } = options
  const run = clock.wallMs()
  const incarnation = toBrand<Incarnation>(`${run.toString().padStart(15, '0')}-${randomBytes(4).toString('hex')}`)
  const base = { settings, clock, random, logger, log: logger.forPart('gateway'), incarnation, startedAtMs: clock.monotonicMs(), isStopping: false, isBusy: false, cutOff: 'none' as const, hasMembershipChanged: true }
  const parts = { ...base } as GatewayParts
  parts.shutdown = createShutdown(clock)
  parts.closes = createLingeringCloses({ clock })
  parts.bodyBudget = createByteBudget(settings.memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE)
  parts.store = createStore(parts)
  parts.limiter = createLimiter(parts)
  parts.quotas = createQuotas(parts)
  parts.quarantine = createQuarantine(parts)
  parts.membership = createMembership(parts, run)
  parts.state = createState(parts)
  parts.reachChecks = createReachChecksOf(parts)
  parts.followers = createGatewayFollowers({ ...parts, logger: logger.forPart('store'), sharing: createSharing(parts) })
  parts.contacts = createContacts(parts, run)
  parts.metrics = createDeferredMetrics({
    load: async () => (await import('./gateway-metrics.ts')).createGatewayMetrics(),
    clock,
    logger: logger.forPart('metrics')
  })
  parts.requests = createGatewayRequests({
    state: parts.state,
    quotas: parts.quotas,
    quarantine: parts.quarantine,
    clock,
    logger: logger.forPart('request'),
    metrics: parts.metrics,
    shutdown: parts.shutdown,
    bodyBudget: parts.bodyBudget,
    closes: parts.closes,
    isCutOff: () => parts.cutOff !== 'none'
  })
  parts.servers = createServers(parts, options)
  return parts
}
