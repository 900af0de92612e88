/**
 * An entry on the users' platform: joins the store, the peers, the targets and the listeners, from start to stop.
 */
import { randomBytes } from 'node:crypto'
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import type { AppError } from '../../errors.ts'
import type { BootSettings } from '../../platform/boot-file.ts'
import { createStoreClient, OPERATOR_TOPIC, TARGETS_TOPIC } from '../../platform/store-client.ts'
import { toBrand } from '../../types.ts'
import type { Incarnation, Offset } from '../../types.ts'
import { createTopicFollower } from '../discovery/topic-follower.ts'
import { LAPSE_RETURN_MS } from '../discovery/target-registry.ts'
import type { Logger } from '../logger.ts'
import { canServe } from '../membership/address-order.ts'
import { createPeerMesh } from '../membership/tcp-peer-mesh.ts'
import { createEntryDirectory } from './entry-directory.ts'
import { createGatewayRequests } from './gateway-requests.ts'
import { createGatewayServers } from './gateway-servers.ts'
import { createGatewayState } from './gateway-state.ts'

/** A running gateway. */
export interface Gateway {
  /** Leaves the addresses, serves until callers have gone elsewhere, and ends. Resolves when the process may exit. */
  stop(reason: string): Promise<void>
}

/** How to start a gateway. */
export interface GatewayOptions {
  settings: BootSettings
  clock: Clock
  logger: Logger
  random?: () => number
}

/** How long callers may keep an address answer, in ms; some keep it three times as long, and a stop must outlast that. */
const ADDRESS_LIFETIME_MS = 1_000
const KEPT_LONGER_FACTOR = 3
const CONFIGURATION_WAIT_MS = 1_400
const TARGETS_PAUSE_MS = 600
const UPKEEP_MS = 100
/** The process ends this long before it would be killed, in ms. */
const KILL_MARGIN_MS = 500
/** The most entries that may be alive at once; budgets over all entries are divided by it. */
const MOST_ENTRIES = 10
/** The share of the looks and repeats allowed over all entries that is used. */
const USED_SHARE = 0.8
/** Some callers' requests at an entry count for a window that ends earlier there, so not all of the share is used. */
const USED_REPEAT_SHARE = 0.9
const MOST_CONNECTIONS_TO_TARGET = 24

/** Starts a gateway. Errors: `settings-invalid` when it cannot listen. */
export async function startGateway (options: GatewayOptions): Promise<Result<Gateway, AppError>> {
  const { settings, clock, random = Math.random } = options
  const log = options.logger.forPart('gateway')
  const incarnation = toBrand<Incarnation>(`${Date.now().toString().padStart(15, '0')}-${randomBytes(4).toString('hex')}`)
  const self = { id: settings.entry, incarnation, zone: settings.zone, address: settings.address, port: settings.listen.front.port, peerPort: settings.internalPorts[0] }
  const store = createStoreClient({ store: settings.store, clock })
  const directory = createEntryDirectory({ self, store, clock, logger: options.logger.forPart('directory') })
  const mesh = createPeerMesh({ self, peerKey: `medlarcove ${settings.store.address}:${settings.store.port}`, hostList: directory, clock, logger: options.logger.forPart('peers'), timing: { heartbeatMs: 200, silentAfterMs: 600 } })
  let isStopping = false

  const state = createGatewayState({
    zone: settings.zone,
    clock,
    random,
    logger: log,
    repeats: { share: settings.repeats.share * USED_REPEAT_SHARE, largest: Math.floor(settings.repeats.slack * USED_SHARE / MOST_ENTRIES) },
    getLooksPerSecond: () => settings.looksPerSecond * USED_SHARE / Math.max(1, mesh.listLiveEntries().length),
    largestConnections: MOST_CONNECTIONS_TO_TARGET,
    handleVersion: (version) => mesh.setContractOffset(toBrand<Offset>(version)),
    handleLeaving: () => undefined
  })
  const requests = createGatewayRequests({ state, clock, logger: options.logger.forPart('request') })
  const configurationFollower = createTopicFollower({
    topic: OPERATOR_TOPIC, store, clock, random, logger: options.logger.forPart('store'), waitMs: CONFIGURATION_WAIT_MS, pauseMs: 0,
    applyRecords: (records) => state.applyConfigurationRecords(records)
  })
  const targetsFollower = createTopicFollower({
    topic: TARGETS_TOPIC, store, clock, random, logger: options.logger.forPart('store'), waitMs: 0, pauseMs: TARGETS_PAUSE_MS,
    applyRecords (records, isWhole) {
      const { outageEndedAtMs } = targetsFollower.getStatus()
      state.applyTargetRecords(records, isWhole, clock.monotonicMs() - outageEndedAtMs < LAPSE_RETURN_MS)
    }
  })
  const isReady = (): boolean => !isStopping && state.getInForce() !== undefined && state.hasTargets()
  const listAddresses = (): string[] => mesh.listPeers()
    .filter((peer) => peer.isSelf ? isReady() : canServe(peer))
    .map((peer) => `${peer.address}:${peer.port}`)
  const servers = createGatewayServers({
    settings,
    isReady,
    listAddresses,
    addressLifetimeMs: ADDRESS_LIFETIME_MS,
    handleRequest: (incoming, outgoing) => { requests.handleRequest(incoming, outgoing).catch(() => outgoing.destroy()) }
  })
  const upkeep = setInterval(() => state.removeLapsed(targetsFollower.getStatus().failingSinceMs !== undefined), UPKEEP_MS)

  configurationFollower.start()
  targetsFollower.start()
  directory.start()
  const joined = await mesh.start()
  if (joined.isErr()) return joined.map(() => ({ stop: async () => undefined }))
  const listening = await servers.start()
  if (listening.isErr()) return listening.map(() => ({ stop: async () => undefined }))
  log.info('Started.', { entry: settings.entry, zone: settings.zone, incarnation })

  return ok({
    async stop (reason) {
      if (isStopping) return
      isStopping = true
      const startedAtMs = clock.monotonicMs()
      const lastAtMs = startedAtMs + settings.graceMs - KILL_MARGIN_MS
      const earliestAtMs = startedAtMs + Math.min(settings.graceMs - KILL_MARGIN_MS, ADDRESS_LIFETIME_MS * KEPT_LONGER_FACTOR + UPKEEP_MS)
      log.info('Stopping.', { reason, inProgress: requests.countInProgress() })
      mesh.markLeaving()
      servers.closeAfterAnswers()
      for (;;) {
        const nowMs = clock.monotonicMs()
        const isIdle = requests.countInProgress() === 0
        if (nowMs >= lastAtMs || (nowMs >= earliestAtMs && isIdle)) break
        await clock.wait(UPKEEP_MS / 2)
      }
      servers.close()
      configurationFollower.close()
      targetsFollower.close()
      directory.close()
      clearInterval(upkeep)
      log.info('Stopped.', { reason, inProgress: requests.countInProgress(), tookMs: Math.round(clock.monotonicMs() - startedAtMs) })
    }
  })
}
