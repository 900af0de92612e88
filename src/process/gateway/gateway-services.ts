/**
 * The services of a gateway: each has a target selector and a retry budget, and learns from the responses of its targets.
 */
import type { Clock } from '../../clock.ts'
import type { HedgeCounts } from '../../request/balancing/hedge-policy.ts'
import { createRatioBudget } from '../../request/balancing/ratio-budget.ts'
import type { GatewayService } from '../../request/gateway/gateway-call.ts'
import type { TargetNotices } from '../../request/selection/target-notices.ts'
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'
import type { TargetRegistry } from '../discovery/target-registry.ts'
import type { PartLogger } from '../logger.ts'
import type { RequestQuarantine } from '../quarantine/request-quarantine.ts'
import { createCrashChecks } from '../selection/crash-checks.ts'
import { createServiceSelector } from '../selection/service-selector.ts'
import type { SelectorCounts } from '../selection/service-selector.ts'
import type { TargetState, TargetStates } from '../selection/target-states.ts'
import type { TargetLimiter } from '../target-limits/target-limiter.ts'
import { createServiceHedging } from './service-hedging.ts'
import type { ServiceHedging } from './service-hedging.ts'

/** Metric values of one service. */
export interface ServiceMetrics extends SelectorCounts {
  service: string
  /** Requests queued at present. */
  waiting: number
  /** Registered targets that are not leaving, in zones that are not evacuated. */
  targets: number
  /** Attempts beyond the first since the start. */
  retries: number
  /** Hedges within the limit of the settings, since the start. */
  hedges: HedgeCounts
}

/** The services that have been used. */
export interface GatewayServices {
  /** Returns a service; creates it on first use. */
  get(name: ServiceId): GatewayService
  /** Changes the retry burst of each service, in requests. */
  updateMaxRetryTokens(maxTokens: number): void
  /** Changes the limit of hedges, a share of extra work; undefined when the settings have none. */
  updateMaxHedgeShare(share: number | undefined): void
  /** Returns the services that have been used. */
  list(): GatewayService[]
  /** Finds out whether a target has crashed while it may have gone on with requests that this entry had cancelled. */
  checkAbandoned(state: TargetState): void
  /** Returns the number of crashes of targets that this process has found. */
  countCrashes(): number
  /** Returns the metric values of all services that have been used. */
  listMetrics(): ServiceMetrics[]
}

/** Options that the services have in common with the state of a gateway. */
export interface ServiceOptions {
  zone: ZoneId
  clock: Clock
  random: () => number
  logger: PartLogger
  /** Retry tokens added by each request, and the maximum number of tokens. */
  retryBudget: { share: number, maxTokens: number }
  /** Returns how many load probes this process may send to one target per second. */
  getLoadProbesPerSecond(): number
  /** Keeps requests from crashing target after target. */
  quarantine: Pick<RequestQuarantine, 'hasAbandoned' | 'recordLostTarget'>
  /** Keeps the requests within the rate limits that targets advertise. */
  limiter: TargetLimiter
  /** Called when this process detects that a run of a target is leaving, so that the peers can be notified. */
  handleLeaving(target: TargetId, bornMs: number): void
}

/** Options of `createGatewayServices`. */
export interface GatewayServicesOptions extends ServiceOptions {
  registry: TargetRegistry
  states: TargetStates
  /** Whether the operator has asked that nothing be sent to the targets of a zone. */
  isEvacuated(zone: ZoneId): boolean
  /** Returns the path of a service's health endpoint in the configuration in effect. */
  getHealthPath(service: ServiceId): string | undefined
}

/** Creates the services; none exists before its first use. */
export function createGatewayServices (options: GatewayServicesOptions): GatewayServices {
  const { registry, clock, logger, limiter } = options
  const services = new Map<ServiceId, GatewayService & { hedging: ServiceHedging }>()
  const crashChecks = createCrashChecks({ clock, logger })
  let maxRetryTokens = options.retryBudget.maxTokens
  let maxHedgeShare: number | undefined

  const markLeaving = (service: ServiceId, state: TargetState, evidence: string): void => {
    const { id, bornMs } = state.registered.report
    if (!registry.markLeaving(id, bornMs)) return
    logger.info('Marked a target as leaving.', { target: id, service, because: evidence })
    options.handleLeaving(id, bornMs)
  }
  const pauseTarget = (state: TargetState, pauseMs: number): void => {
    const nowMs = clock.monotonicMs()
    if (state.pausedUntilMs <= nowMs) logger.info('A target rejects requests for a while; it gets none.', { target: state.registered.report.id, forMs: Math.round(pauseMs) })
    state.pausedUntilMs = Math.max(state.pausedUntilMs, nowMs + pauseMs)
  }
  const findLostTarget = async (state: TargetState): Promise<void> => {
    const finding = await crashChecks.check(state)
    if (finding === 'crashed') options.quarantine.recordLostTarget(state.registered.report.id)
  }
  const checkAbandoned = (state: TargetState): void => {
    if (!options.quarantine.hasAbandoned(state.registered.report.id)) return
    findLostTarget(state).catch((cause: unknown) => logger.error('Checking a target for a crash failed.', { target: state.registered.report.id, err: cause }))
  }
  const createService = (name: ServiceId): GatewayService & { hedging: ServiceHedging } => {
    const handleLeaving = (state: TargetState, evidence: string): void => markLeaving(name, state, evidence)
    const recordNotices = (state: TargetState, { limit, isLeaving, pauseMs, coldForMs }: TargetNotices, sentAtMs: number): void => {
      limiter.record(state.registered.report.id, limit, sentAtMs)
      if (coldForMs !== undefined) limiter.recordCold(state.registered.report.id, coldForMs, sentAtMs)
      if (isLeaving) handleLeaving(state, 'a response of it says so')
      if (pauseMs !== undefined) pauseTarget(state, pauseMs)
    }
    const selector = createServiceSelector({ ...options, service: name, getHealthPath: () => options.getHealthPath(name), handleLeaving, recordNotices, handleUnreached: checkAbandoned })
    return {
      name,
      selector,
      // An idle connection ends with the target's process; a probe leaves one behind.
      watchTarget ({ pool, registered }) { if (pool.countConnections().idle === 0) selector.checkReachable([registered.report.id]) },
      retryBudget: createRatioBudget({ share: options.retryBudget.share, maxTokens: maxRetryTokens }),
      hedging: createServiceHedging(maxHedgeShare),
      handleLeaving,
      recordNotices,
      checkCrash: crashChecks.check
    }
  }
  return {
    get (name) {
      const known = services.get(name) ?? createService(name)
      services.set(name, known)
      return known
    },
    updateMaxRetryTokens (maxTokens) {
      maxRetryTokens = maxTokens
      for (const { retryBudget } of services.values()) retryBudget.updateMaxTokens(maxTokens)
    },
    updateMaxHedgeShare (share) {
      maxHedgeShare = share
      for (const { hedging } of services.values()) hedging.updateMaxExtraShare(share)
    },
    list: () => [...services.values()],
    checkAbandoned,
    countCrashes: crashChecks.countCrashes,
    listMetrics: () => [...services.values()].map(({ name, selector, retryBudget, hedging }) => ({
      service: name,
      waiting: selector.countWaiting(),
      targets: registry.list(name).filter((target) => !target.isLeaving && !options.isEvacuated(target.report.zone)).length,
      retries: retryBudget.countAcquired(),
      hedges: hedging.report(),
      ...selector.report()
    }))
  }
}
