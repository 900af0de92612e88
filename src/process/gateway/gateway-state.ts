/**
 * What a gateway believes: the configuration in force, the targets, and the services that take requests.
 */
import type { Clock } from '../../clock.ts'
import { decodeConfiguration } from '../../platform/configuration-record.ts'
import { CONFIGURATION_KEY } from '../../platform/store-client.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import { decodeTargetReport } from '../../platform/target-record.ts'
import { createRatioBudget } from '../../request/balancing/ratio-budget.ts'
import type { GatewayService } from '../../request/gateway/gateway-call.ts'
import { toBrand } from '../../types.ts'
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'
import { createRouteFinder } from '../../version/configuration.ts'
import type { Configuration, FindRoute, Route, WeightedService } from '../../version/configuration.ts'
import { createWeightedTurns } from '../../version/weighted-turns.ts'
import type { WeightedTurns } from '../../version/weighted-turns.ts'
import type { PageContext } from '../discovery/topic-follower.ts'
import { createTargetRegistry } from '../discovery/target-registry.ts'
import type { TargetChange, TargetReport } from '../discovery/target-registry.ts'
import type { PartLogger } from '../logger.ts'
import { createServicePlacer } from '../placement/service-placer.ts'
import { createTargetStates } from '../placement/target-states.ts'
import type { TargetState } from '../placement/target-states.ts'

/** A configuration in force, ready for lookups. */
export interface ConfigurationInForce {
  configuration: Configuration
  findRoute: FindRoute
  /** Deals the requests of a route out to its services. */
  takeService(route: Route): ServiceId
}

/** Figures of one service. */
export interface ServiceFigures {
  service: string
  /** Requests waiting for a target, and targets that may take requests, at present. */
  waiting: number
  targets: number
  /** Since the start: looks, requests that waited, requests without a target, attempts beyond the first. */
  looks: number
  queued: number
  refused: number
  repeats: number
}

/** What a gateway believes. */
export interface GatewayState {
  getInForce(): ConfigurationInForce | undefined
  getService(name: ServiceId): GatewayService
  /** Returns the records that changed something. */
  applyConfigurationRecords(records: readonly KeyedRecord[]): KeyedRecord[]
  /** Returns the records that changed something; a target's word that all is as before does not. */
  applyTargetRecords(records: readonly KeyedRecord[], context: PageContext): KeyedRecord[]
  /** Applies a peer's word that a target is leaving. */
  markLeaving(target: TargetId): void
  /** Changes the most repeats that may be saved up for a service. */
  updateLargestRepeats(largest: number): void
  /** Drops targets whose entries lapsed; call it now and then. */
  removeLapsed(isStoreAway: boolean): void
  hasTargets(): boolean
  listFigures(): ServiceFigures[]
  close(): void
}

/** How to create the state. */
export interface GatewayStateOptions {
  zone: ZoneId
  clock: Clock
  random: () => number
  logger: PartLogger
  /** What a request earns in repeats, and the most that may be saved up. */
  repeats: { share: number, largest: number }
  /** Returns how many looks this process may take at one target, a second. */
  getLooksPerSecond(): number
  /** The most connections of this process to one target. */
  largestConnections: number
  /** Told when a version comes into force. */
  handleConfiguration(configuration: Configuration): void
  /** Told when this process finds by itself that a target leaves. */
  handleLeaving(service: ServiceId, target: TargetId): void
}

function createInForce (configuration: Configuration, random: () => number): ConfigurationInForce {
  const turns = new Map<Route, WeightedTurns<WeightedService>>()
  return {
    configuration,
    findRoute: createRouteFinder(configuration.routes),
    takeService (route) {
      const known = turns.get(route) ?? createWeightedTurns(route.services, random)
      turns.set(route, known)
      return known.take().service
    }
  }
}

/** Creates the state; it knows nothing yet. */
export function createGatewayState (options: GatewayStateOptions): GatewayState {
  const { zone, clock, random, logger } = options
  const registry = createTargetRegistry()
  const states = createTargetStates({ clock, largestConnections: options.largestConnections })
  const services = new Map<ServiceId, GatewayService>()
  let inForce: ConfigurationInForce | undefined
  let hasTargets = false
  let largestRepeats = options.repeats.largest

  const handleLeaving = (service: ServiceId, state: TargetState, evidence: string): void => {
    const { id } = state.registered.report
    if (!registry.markLeaving(id)) return
    logger.info('A target leaves.', { target: id, service, because: evidence })
    options.handleLeaving(service, id)
  }
  const createService = (name: ServiceId): GatewayService => {
    const handleOwnLeaving = (state: TargetState, evidence: string): void => handleLeaving(name, state, evidence)
    return {
      name,
      repeats: createRatioBudget({ share: options.repeats.share, largest: largestRepeats }),
      handleLeaving: handleOwnLeaving,
      placer: createServicePlacer({
        service: name,
        zone,
        registry,
        states,
        clock,
        random,
        logger,
        getLooksPerSecond: options.getLooksPerSecond,
        getHealthPath: () => inForce?.configuration.services.get(name)?.healthPath,
        handleLeaving: handleOwnLeaving
      })
    }
  }
  const applyConfiguration = (record: KeyedRecord): boolean => {
    if (record.key !== CONFIGURATION_KEY || !record.value) return false
    const decoded = decodeConfiguration(record.value)
    if (decoded.isErr()) {
      logger.warn('Skipped a configuration that cannot be read.', { offset: record.offset, error: decoded.error.message })
      return false
    }
    const current = inForce?.configuration.version
    const { version, routes } = decoded.value
    if (current !== undefined && version <= current) return false
    inForce = createInForce(decoded.value, random)
    logger.info('A configuration is in force.', { version, before: current, routes: routes.length, offset: record.offset })
    options.handleConfiguration(decoded.value)
    return true
  }
  const decodeChange = (record: KeyedRecord): TargetChange | undefined => {
    if (!record.value) return { type: 'removal', id: toBrand<TargetId>(record.key) }
    const decoded = decodeTargetReport(record.key, record.value)
    if (decoded.isOk()) return { type: 'report', report: decoded.value }
    logger.debug('Skipped a target record that cannot be read.', { offset: record.offset, error: decoded.error.message })
    return undefined
  }
  const applyTargetRecord = (record: KeyedRecord, isAfterOutage: boolean): boolean => {
    const change = decodeChange(record)
    const outcome = change ? registry.apply(change, clock.monotonicMs(), isAfterOutage) : 'stale'
    if (outcome === 'updated' || outcome === 'stale') return false
    logger.info(`A target is ${outcome}.`, { target: record.key, offset: record.offset })
    return true
  }
  const applyAllTargets = (records: readonly KeyedRecord[], isAfterOutage: boolean): void => {
    const reports: TargetReport[] = records.map(decodeChange).flatMap((change) => change?.type === 'report' ? [change.report] : [])
    registry.replaceAll(reports, clock.monotonicMs(), isAfterOutage)
    logger.info('Read all targets.', { count: registry.countTargets() })
  }
  return {
    getInForce: () => inForce,
    getService (name) {
      const known = services.get(name) ?? createService(name)
      services.set(name, known)
      return known
    },
    applyConfigurationRecords: (records) => records.filter(applyConfiguration),
    applyTargetRecords (records, { isWhole, isAfterOutage }) {
      if (isWhole) applyAllTargets(records, isAfterOutage)
      const news = isWhole ? [...records] : records.filter((record) => applyTargetRecord(record, isAfterOutage))
      hasTargets = true
      states.removeGone((registered) => registry.get(registered.report.id) === registered)
      return news
    },
    markLeaving (target) {
      if (registry.markLeaving(target)) logger.info('A target leaves.', { target, because: 'a peer says so' })
    },
    updateLargestRepeats (largest) {
      largestRepeats = largest
      for (const { repeats } of services.values()) repeats.updateLargest(largest)
    },
    removeLapsed (isStoreAway) {
      const nowMs = clock.monotonicMs()
      if (isStoreAway) registry.extendLapses(nowMs + 1)
      for (const target of registry.removeLapsed(nowMs)) logger.info('A target is gone.', { target, because: 'its entry lapsed and did not come back' })
    },
    hasTargets: () => hasTargets,
    listFigures: () => [...services.values()].map(({ name, placer, repeats }) => ({
      service: name,
      waiting: placer.countWaiting(),
      targets: registry.list(name).filter((target) => !target.isLeaving).length,
      repeats: repeats.countTaken(),
      ...placer.report()
    })),
    close: () => states.close()
  }
}
