/**
 * The local view of a gateway: the configuration in effect, the registered targets, and the services.
 */
import type { Clock } from '../../clock.ts'
import { decodeConfiguration } from '../../platform/configuration-record.ts'
import { CONFIGURATION_KEY } from '../../platform/store-client.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import { decodeTargetReport } from '../../platform/target-record.ts'
import { createRatioBudget } from '../../request/balancing/ratio-budget.ts'
import type { TargetNotices } from '../../request/selection/target-notices.ts'
import type { GatewayService } from '../../request/gateway/gateway-call.ts'
import { toBrand } from '../../types.ts'
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'
import { createRouteFinder } from '../../version/configuration.ts'
import type { Configuration, FindRoute, Route, WeightedService } from '../../version/configuration.ts'
import { createWeightedRoundRobin } from '../../version/weighted-round-robin.ts'
import type { WeightedRoundRobin } from '../../version/weighted-round-robin.ts'
import type { PageContext } from '../discovery/record-applier.ts'
import { createTargetRegistry } from '../discovery/target-registry.ts'
import type { TargetChange, TargetReport } from '../discovery/target-registry.ts'
import type { PartLogger } from '../logger.ts'
import { createCrashChecks } from '../selection/crash-checks.ts'
import { createServiceSelector } from '../selection/service-selector.ts'
import type { TargetLimiter } from '../target-limits/target-limiter.ts'
import { createTargetStates } from '../selection/target-states.ts'
import type { TargetState } from '../selection/target-states.ts'

/** The configuration in effect, with its lookups. */
export interface ConfigurationInEffect {
  configuration: Configuration
  findRoute: FindRoute
  /** Selects the service for the next request of a route, by the weights of its services. */
  selectService(route: Route): ServiceId
}

/** Metric values of one service. */
export interface ServiceMetrics {
  service: string
  /** Requests queued at present. */
  waiting: number
  /** Registered targets that are not leaving. */
  targets: number
  /** Load probes sent since the start. */
  loadProbes: number
  /** Requests that were queued since the start. */
  queued: number
  /** Requests rejected since the start because no target was selected. */
  rejected: number
  /** Attempts beyond the first since the start. */
  retries: number
}

/** The local view of a gateway. */
export interface GatewayState {
  /** Returns the configuration in effect; undefined before the first. */
  getInEffect(): ConfigurationInEffect | undefined
  /** Returns a service; creates it on first use. */
  getService(name: ServiceId): GatewayService
  /** Applies records of the operator topic; returns those that changed the configuration. */
  applyConfigurationRecords(records: readonly KeyedRecord[]): KeyedRecord[]
  /** Applies records of the targets topic; returns those that changed something, without periodic reports of an unchanged target. */
  applyTargetRecords(records: readonly KeyedRecord[], context: PageContext): KeyedRecord[]
  /** Applies a peer's message that a target is leaving. */
  markLeaving(target: TargetId): void
  /** Changes the retry burst of each service, in requests. */
  updateMaxRetryTokens(maxTokens: number): void
  /** Removes targets whose registration has expired, but none while the store is unavailable. Call it periodically. */
  removeExpired(isStoreUnavailable: boolean): void
  /** Whether this entry cannot reach most targets of a service; call it periodically, since it probes them again. */
  checkCutOff(): boolean
  /** Whether the targets topic has been read. */
  hasReadTargets(): boolean
  /** Returns the number of crashes of targets that this process has found. */
  countCrashes(): number
  /** Returns the metric values of all services that have been used. */
  listMetrics(): ServiceMetrics[]
  /** Closes the connections to all targets. */
  close(): void
}

/** Options of `createGatewayState`. */
export interface GatewayStateOptions {
  zone: ZoneId
  clock: Clock
  random: () => number
  logger: PartLogger
  /** Retry tokens added by each request, and the maximum number of tokens. */
  retryBudget: { share: number, maxTokens: number }
  /** Returns how many load probes this process may send to one target per second. */
  getLoadProbesPerSecond(): number
  /** Maximum number of connections of this process to one target. */
  maxConnections: number
  /** Keeps the requests within the rate limits that targets advertise. */
  limiter: TargetLimiter
  /** Called when a configuration comes into effect. */
  handleConfiguration(configuration: Configuration): void
  /** Called after each read of the targets. */
  handleTargetsRead(): void
  /** Called when this process detects that a target is leaving, so that the peers can be notified. */
  handleLeaving(service: ServiceId, target: TargetId): void
}

function createInEffect (configuration: Configuration, random: () => number): ConfigurationInEffect {
  const roundRobins = new Map<Route, WeightedRoundRobin<WeightedService>>()
  return {
    configuration,
    findRoute: createRouteFinder(configuration.routes),
    selectService (route) {
      const known = roundRobins.get(route) ?? createWeightedRoundRobin(route.services, random)
      roundRobins.set(route, known)
      return known.select().service
    }
  }
}

/** Creates the state, without a configuration and targets. */
export function createGatewayState (options: GatewayStateOptions): GatewayState {
  const { zone, clock, random, logger, limiter } = options
  const registry = createTargetRegistry()
  const states = createTargetStates({ clock, maxConnections: options.maxConnections })
  const services = new Map<ServiceId, GatewayService>()
  const crashChecks = createCrashChecks({ clock, logger })
  let inEffect: ConfigurationInEffect | undefined
  let hasReadTargets = false
  let maxRetryTokens = options.retryBudget.maxTokens

  const handleLeaving = (service: ServiceId, state: TargetState, evidence: string): void => {
    const { id } = state.registered.report
    if (!registry.markLeaving(id)) return
    logger.info('Marked a target as leaving.', { target: id, service, because: evidence })
    options.handleLeaving(service, id)
  }
  const pauseTarget = (state: TargetState, pauseMs: number): void => {
    const nowMs = clock.monotonicMs()
    if (state.pausedUntilMs <= nowMs) logger.info('A target rejects requests for a while; it gets none.', { target: state.registered.report.id, forMs: Math.round(pauseMs) })
    state.pausedUntilMs = Math.max(state.pausedUntilMs, nowMs + pauseMs)
  }
  const createService = (name: ServiceId): GatewayService => {
    const handleOwnLeaving = (state: TargetState, evidence: string): void => handleLeaving(name, state, evidence)
    const recordNotices = (state: TargetState, { limit, isLeaving, pauseMs }: TargetNotices, sentAtMs: number): void => {
      limiter.record(state.registered.report.id, limit, sentAtMs)
      if (isLeaving) handleOwnLeaving(state, 'a response of it says so')
      if (pauseMs !== undefined) pauseTarget(state, pauseMs)
    }
    return {
      name,
      retryBudget: createRatioBudget({ share: options.retryBudget.share, maxTokens: maxRetryTokens }),
      handleLeaving: handleOwnLeaving,
      recordNotices,
      checkCrash: crashChecks.check,
      selector: createServiceSelector({
        service: name,
        zone,
        registry,
        states,
        clock,
        random,
        logger,
        getLoadProbesPerSecond: options.getLoadProbesPerSecond,
        getHealthPath: () => inEffect?.configuration.services.get(name)?.healthPath,
        handleLeaving: handleOwnLeaving,
        recordNotices,
        limiter
      })
    }
  }
  const applyConfiguration = (record: KeyedRecord): boolean => {
    if (record.key !== CONFIGURATION_KEY || !record.value) return false
    const decoded = decodeConfiguration(record.value)
    if (decoded.isErr()) {
      logger.warn('Skipped a configuration that could not be decoded.', { offset: record.offset, error: decoded.error.message })
      return false
    }
    const current = inEffect?.configuration.version
    const { version, routes } = decoded.value
    if (current !== undefined && version <= current) return false
    inEffect = createInEffect(decoded.value, random)
    logger.info('A configuration is in effect.', { version, before: current, routes: routes.length, offset: record.offset })
    options.handleConfiguration(decoded.value)
    return true
  }
  const decodeChange = (record: KeyedRecord): TargetChange | undefined => {
    if (!record.value) return { type: 'removal', id: toBrand<TargetId>(record.key) }
    const decoded = decodeTargetReport(record.key, record.value)
    if (decoded.isOk()) return { type: 'report', report: decoded.value }
    logger.debug('Skipped a target record that could not be decoded.', { offset: record.offset, error: decoded.error.message })
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
    getInEffect: () => inEffect,
    getService (name) {
      const known = services.get(name) ?? createService(name)
      services.set(name, known)
      return known
    },
    applyConfigurationRecords: (records) => records.filter(applyConfiguration),
    applyTargetRecords (records, { isFullRead, isAfterOutage }) {
      if (isFullRead) applyAllTargets(records, isAfterOutage)
      const changed = isFullRead ? [...records] : records.filter((record) => applyTargetRecord(record, isAfterOutage))
      hasReadTargets = true
      options.handleTargetsRead()
      states.removeUnregistered((registered) => registry.get(registered.report.id) === registered)
      limiter.removeUnregistered((target) => registry.get(target) !== undefined)
      return changed
    },
    markLeaving (target) {
      if (registry.markLeaving(target)) logger.info('Marked a target as leaving.', { target, because: 'reported by a peer' })
    },
    updateMaxRetryTokens (maxTokens) {
      maxRetryTokens = maxTokens
      for (const { retryBudget } of services.values()) retryBudget.updateMaxTokens(maxTokens)
    },
    removeExpired (isStoreUnavailable) {
      const nowMs = clock.monotonicMs()
      if (isStoreUnavailable) registry.extendExpiry(nowMs + 1)
      for (const target of registry.removeExpired(nowMs)) logger.info('Removed a target.', { target, because: 'its registration expired and was not renewed' })
    },
    checkCutOff () {
      const cutOff = [...services.values()].filter(({ selector }) => selector.isCutOff())
      for (const { selector } of cutOff) selector.probeTargets()
      return cutOff.length > 0
    },
    hasReadTargets: () => hasReadTargets,
    countCrashes: crashChecks.countCrashes,
    listMetrics: () => [...services.values()].map(({ name, selector, retryBudget }) => ({
      service: name,
      waiting: selector.countWaiting(),
      targets: registry.list(name).filter((target) => !target.isLeaving).length,
      retries: retryBudget.countAcquired(),
      ...selector.report()
    })),
    close: () => states.close()
  }
}
