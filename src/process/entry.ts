/**
 * The daemon of one entry host: creates its parts, connects them, runs them and stops them in order.
 */
import { randomBytes } from 'node:crypto'
import { createHostClock } from '../clock.ts'
import type { Clock } from '../clock.ts'
import { toBrand } from '../types.ts'
import type { EntryId, Incarnation, KeyHash } from '../types.ts'
import { createAuditLog } from './audit/audit-log.ts'
import { createCallerServer } from './caller-server.ts'
import { CLAIM_PARTITIONS, computePartition } from './claims/claim-keys.ts'
import { createLogClaimStore } from './claims/log-claim-store.ts'
import { rankEntries } from './claims/rendezvous.ts'
import { startContractExchange } from './contract-exchange.ts'
import { createContractFollower } from './contracts/contract-follower.ts'
import { createHostListHttpClient } from './host-list-http-client.ts'
import type { HostListClient } from './host-list-client.ts'
import { createGrantedLimiter } from './limits/granted-limiter.ts'
import { createHttpLogClient } from './log-http-client.ts'
import { createLogger } from './logger.ts'
import { canServe } from './membership/address-order.ts'
import { createPeerMesh } from './membership/tcp-peer-mesh.ts'
import { createMetrics } from './metrics.ts'
import { readProcessFigures } from './metrics-figures.ts'
import { startOperatorServer } from './operator-server.ts'
import { createRequestService } from './request-service.ts'
import { createServiceDirectory } from './service-links.ts'
import type { ServiceDirectory } from './service-links.ts'
import type { Settings } from './settings.ts'
import { readEntryStatus } from './status.ts'
import { runStopSequence } from './stop-sequence.ts'

const CHECKPOINTS_PER_RETENTION = 8
const HOST_LIST_INTERVAL_MS = 1_000
/** After this time the entry serves even without the claims, in ms; then only work that needs no claims can run. */
const CLAIMS_READY_TIMEOUT_MS = 10_000
const INCARNATION_DIGITS = 10
const RANDOM_BYTES = 4
const INCARNATION_RADIX = 36

/** A running entry. */
export interface Entry {
  /** Shuts down gracefully without interrupting requests; further calls return the same promise. */
  stop(reason: string): Promise<void>
}

/** Returns a unique value that compares greater for each later start of the same host. */
function createIncarnation (clock: Clock): Incarnation {
  const started = clock.wallMs().toString(INCARNATION_RADIX).padStart(INCARNATION_DIGITS, '0')
  return toBrand<Incarnation>(`${started}-${randomBytes(RANDOM_BYTES).toString('hex')}`)
}

/** Reads the platform's host list at intervals and applies it to the targets, until `stop` aborts. */
async function watchHosts (clock: Clock, hostList: HostListClient, services: ServiceDirectory, stop: AbortSignal): Promise<void> {
  while (!stop.aborted) {
    const hosts = await hostList.readHosts()
    if (hosts.isOk()) services.updateHosts(hosts.value)
    await clock.wait(HOST_LIST_INTERVAL_MS, stop)
  }
}

/** Creates all parts of an entry. */
function createParts (settings: Settings) {
  const clock = createHostClock()
  const self = settings.entry.id
  const incarnation = createIncarnation(clock)
  const logger = createLogger({ entry: self, level: settings.logLevel })
  const metrics = createMetrics()
  const log = createHttpLogClient({ url: settings.log.url, clock })
  const hostList = createHostListHttpClient({ baseUrl: settings.hostList.url })
  const audit = createAuditLog({ log, clock, entry: self })
  const contracts = createContractFollower({
    log, clock, audit, writer: `${self}-${incarnation}`, checkpointEveryMs: settings.log.retentionMs / CHECKPOINTS_PER_RETENTION
  })
  const mesh = createPeerMesh({ self: { ...settings.entry, port: settings.entry.callerPort, incarnation }, peerKey: settings.peerKey, hostList, clock })
  const limiter = createGrantedLimiter({
    clock, log, entry: self, run: incarnation, logger: logger.forPart('limits'), listLiveEntries: () => mesh.listLiveEntries()
  })
  const claims = createLogClaimStore({
    log,
    clock,
    entry: self,
    incarnation,
    partitions: CLAIM_PARTITIONS,
    retentionMs: settings.log.retentionMs,
    handleSkipped: (stream, offset) => audit.record({ type: 'record-skipped', stream, offset, reason: 'not a claim record' })
  })
  const services = createServiceDirectory({
    self,
    clock,
    audit,
    listLiveEntries: () => mesh.listLiveEntries(),
    notifyLeaving: (customer, service, target) => mesh.broadcast({ type: 'target-leaving', customer, service, target })
  })
  const findOwner = (key: KeyHash): EntryId => {
    const partition = computePartition(key, CLAIM_PARTITIONS)
    const serving = mesh.listPeers().filter(canServe).map(({ id }) => id)
    return rankEntries(`claims-${partition}`, serving)[0] ?? self
  }
  const requests = createRequestService({
    self, idPrefix: `${self}-${incarnation}`, clock, contracts, services, limiter, claims, mesh, metrics, findOwner, maxPauseMs: settings.callers.pauseTimeoutMs, log: logger.forPart('request')
  })
  const callers = createCallerServer({ settings, clock, contracts, mesh, requests, log: logger.forPart('callers') })
  return { settings, clock, self, incarnation, logger, metrics, log, hostList, audit, contracts, mesh, limiter, claims, services, requests, callers }
}

/** All parts of an entry. */
export type EntryParts = ReturnType<typeof createParts>

/** Subscribes the parts to each other's changes. */
function connectParts (parts: EntryParts): void {
  const { contracts, services, mesh, requests } = parts
  contracts.watchContracts((contract) => services.updateContract(contract))
  mesh.watchEntries((live) => services.updateEntries(live))
  mesh.handleForwards((request) => requests.handleForward(request))
  mesh.watchMessages((_, message) => {
    if (message.type === 'target-leaving') services.markLeaving(message.customer, message.service, message.target, 'peer')
  })
}

/** Starts an entry. Rejects when it cannot listen on one of its addresses. */
export async function startEntry (settings: Settings): Promise<Entry> {
  const parts = createParts(settings)
  const { clock, audit, contracts, mesh, callers, services, metrics, incarnation } = parts
  const log = parts.logger.forPart('entry')
  const stopSignal = new AbortController()
  connectParts(parts)
  audit.record({ type: 'entry-started', incarnation })
  audit.start()
  const listening = await mesh.start()
  if (listening.isErr()) throw new Error(listening.error.message)
  contracts.start()
  parts.limiter.start()
  const readiness = watchReadiness(parts)
  const stopContractExchange = startContractExchange({ clock, contracts, mesh, isServing: () => readiness.isServing })
  const watching = watchHosts(clock, parts.hostList, services, stopSignal.signal)
  const { address, operatorPort } = settings.entry
  metrics.watchFigures(() => readProcessFigures(parts))
  const operators = await startOperatorServer({ address, port: operatorPort, metrics, readStatus: () => readEntryStatus(parts) })
  const serving = await callers.start()
  if (serving.isErr()) throw new Error(serving.error.message)
  log.info('Serving.', { address, callerPort: settings.entry.callerPort, incarnation })

  const runStop = async (reason: string): Promise<void> => {
    log.info('Stopping.', { reason })
    audit.record({ type: 'entry-stopping', incarnation, reason })
    await runStopSequence({
      ...parts, log, keepAliveMs: settings.keepAliveMs, slackMs: settings.stopSlackMs
    })
    stopSignal.abort()
    await watching
    stopContractExchange()
    await closeParts(parts)
    await operators.close()
    log.info('Stopped.')
  }
  let stopping: Promise<void> | undefined
  return {
    stop (reason) {
      stopping ??= runStop(reason)
      return stopping
    }
  }
}

/** Watches for the time when the entry can serve: it has contracts, and it has read the claims or waited too long for them. */
function watchReadiness ({ clock, contracts, claims, logger }: EntryParts): { isServing: boolean } {
  const readiness = { isServing: false }
  const wait = async (): Promise<void> => {
    await contracts.waitUntilReady()
    await Promise.race([claims.waitUntilReady(), clock.wait(CLAIMS_READY_TIMEOUT_MS)])
    readiness.isServing = true
    logger.forPart('entry').info('Ready for callers.', { claimsReady: claims.isReady() })
  }
  wait().catch((cause: unknown) => logger.forPart('entry').error('Loading contracts or claims failed; the entry does not become ready.', { err: cause }))
  return readiness
}

async function closeParts (parts: EntryParts): Promise<void> {
  parts.services.close()
  parts.limiter.close()
  await parts.mesh.close()
  await parts.contracts.close()
  await parts.claims.close()
  await parts.audit.close()
  await parts.log.close()
}
