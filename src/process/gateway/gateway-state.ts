/**
 * The local view of a gateway: the configuration in effect, the registered targets, and the services.
 */
import { decodeConfiguration } from '../../platform/configuration-record.ts'
import { getEvacuationZone } from '../../platform/evacuation-key.ts'
import { CONFIGURATION_KEY } from '../../platform/store-client.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import type { GatewayService } from '../../request/gateway/gateway-call.ts'
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'
import { createRouteFinder } from '../../version/configuration.ts'
import type { Configuration, FindRoute, Route, WeightedService } from '../../version/configuration.ts'
import { createCustomerFinder } from '../../version/customer-keys.ts'
import type { FindCustomer } from '../../version/customer-keys.ts'
import { createWeightedRoundRobin } from '../../version/weighted-round-robin.ts'
import type { WeightedRoundRobin } from '../../version/weighted-round-robin.ts'
import { createEvacuatedZones } from '../discovery/evacuated-zones.ts'
import type { PageContext } from '../discovery/record-applier.ts'
import { createTargetRecords } from '../discovery/target-records.ts'
import { createTargetRegistry } from '../discovery/target-registry.ts'
import { createGatewayServices } from './gateway-services.ts'
import type { GatewayServices, ServiceOptions } from './gateway-services.ts'
import { createTargetStates } from '../selection/target-states.ts'

/** The configuration in effect, with its lookups. */
export interface ConfigurationInEffect {
  configuration: Configuration
  findRoute: FindRoute
  /** Finds a customer by key; undefined when the configuration has no customers. */
  findCustomer: FindCustomer | undefined
  /** Selects the service for the next request of a route, by the weights of its services. */
  selectService(route: Route): ServiceId
}

/** The local view of a gateway. */
export interface GatewayState extends Pick<GatewayServices, 'updateMaxRetryTokens' | 'updateMaxHedgeShare' | 'countCrashes' | 'listMetrics'> {
  /** Returns the configuration in effect; undefined before the first. */
  getInEffect(): ConfigurationInEffect | undefined
  /** Returns a service; creates it on first use. */
  getService(name: ServiceId): GatewayService
  /** Returns how many requests per second a target bears while it is cold; undefined when the configuration does not protect it. */
  getColdPerSecond(target: TargetId): number | undefined
  /** Returns the services that have been used. */
  listServices(): GatewayService[]
  /** Applies records of the operator topic; returns all of them, since they are few and other entries may lack any. */
  applyConfigurationRecords(records: readonly KeyedRecord[], context: PageContext): readonly KeyedRecord[]
  /** Returns the number of evacuated zones. */
  countEvacuatedZones(): number
  /** Applies records of the targets topic; returns those that other entries may lack, without heartbeats of unchanged targets. */
  applyTargetRecords(records: readonly KeyedRecord[], context: PageContext): KeyedRecord[]
  /** Applies a peer's message that a run of a target is leaving; an older peer does not name the run. */
  markLeaving(target: TargetId, bornMs: number | undefined): void
  /** Removes targets whose registration has expired, but none while the store is unavailable, and zones that are no longer evacuated. Call it periodically. */
  removeExpired(isStoreUnavailable: boolean): void
  /** Whether the targets topic has been read. */
  hasReadTargets(): boolean
  /** Closes the connections to all targets. */
  close(): void
}

/** Options of `createGatewayState`. */
export interface GatewayStateOptions extends ServiceOptions {
  /** Maximum number of connections of this process to one target. */
  maxConnections: number
  /** Called when a configuration comes into effect. */
  handleConfiguration(configuration: Configuration): void
  /** Called after each read of the targets. */
  handleTargetsRead(): void
}

function createInEffect (configuration: Configuration, random: () => number): ConfigurationInEffect {
  const roundRobins = new Map<Route, WeightedRoundRobin<WeightedService>>()
  return {
    configuration,
    findRoute: createRouteFinder(configuration.routes),
    findCustomer: configuration.customers && createCustomerFinder(configuration.customers),
    selectService (route) {
      const known = roundRobins.get(route) ?? createWeightedRoundRobin(route.services, random)
      roundRobins.set(route, known)
      return known.select().service
    }
  }
}

/** Creates the state, without a configuration and targets. */
export function createGatewayState (options: GatewayStateOptions): GatewayState {
  const { clock, random, logger, limiter } = options
  const registry = createTargetRegistry()
  const targetRecords = createTargetRecords({ registry, clock, logger, limiter })
  const evacuatedZones = createEvacuatedZones({ clock, logger })
  const states = createTargetStates({ clock, maxConnections: options.maxConnections, handleDisconnect: (state) => services.checkAbandoned(state) })
  let inEffect: ConfigurationInEffect | undefined
  let hasReadTargets = false
  const services = createGatewayServices({
    ...options,
    registry,
    states,
    isEvacuated: evacuatedZones.has,
    getHealthPath: (service) => inEffect?.configuration.services.get(service)?.healthPath
  })

  const applyConfiguration = (record: KeyedRecord): void => {
    if (record.key !== CONFIGURATION_KEY || !record.value) return
    const decoded = decodeConfiguration(record.value)
    if (decoded.isErr()) {
      logger.warn('Skipped a configuration that could not be decoded.', { offset: record.offset, error: decoded.error.message })
      return
    }
    const current = inEffect?.configuration.version
    const { version, routes } = decoded.value
    if (current !== undefined && version <= current) return
    inEffect = createInEffect(decoded.value, random)
    logger.info('A configuration is in effect.', { version, before: current, routes: routes.length, offset: record.offset })
    options.handleConfiguration(decoded.value)
  }
  const applyEvacuation = ({ key, value }: KeyedRecord): void => {
    const zone = getEvacuationZone(key)
    if (zone !== undefined) evacuatedZones.apply(zone, value !== undefined)
  }
  const listZones = (records: readonly KeyedRecord[]): ZoneId[] => records.flatMap(({ key, value }) => value ? getEvacuationZone(key) ?? [] : [])
  return {
    getInEffect: () => inEffect,
    getService: services.get,
    getColdPerSecond (target) {
      const service = registry.get(target)?.report.service
      return service === undefined ? undefined : inEffect?.configuration.services.get(service)?.warmUp?.requestsPerSecond
    },
    listServices: services.list,
    applyConfigurationRecords (records, { isFullRead, isAfterRestore }) {
      if (isFullRead) evacuatedZones.replaceAll(listZones(records), isAfterRestore)
      for (const record of records) {
        applyEvacuation(record)
        applyConfiguration(record)
      }
      return records
    },
    countEvacuatedZones: () => evacuatedZones.list().length,
    applyTargetRecords (records, context) {
      const lacked = targetRecords.apply(records, context)
      hasReadTargets = true
      options.handleTargetsRead()
      states.removeUnregistered((registered) => registry.get(registered.report.id) === registered)
      limiter.removeUnregistered((target) => registry.get(target) !== undefined)
      return lacked
    },
    markLeaving (target, bornMs) {
      if (registry.markLeaving(target, bornMs)) logger.info('Marked a target as leaving.', { target, because: 'reported by a peer' })
    },
    updateMaxRetryTokens: services.updateMaxRetryTokens,
    updateMaxHedgeShare: services.updateMaxHedgeShare,
    removeExpired (isStoreUnavailable) {
      const nowMs = clock.monotonicMs()
      evacuatedZones.removeExpired()
      if (isStoreUnavailable) registry.extendExpiry(nowMs + 1)
      for (const target of registry.removeExpired(nowMs)) logger.info('Removed a target.', { target, because: 'its registration expired and was not renewed' })
    },
    hasReadTargets: () => hasReadTargets,
    countCrashes: services.countCrashes,
    listMetrics: services.listMetrics,
    close: () => states.close()
  }
}
