/**
 * Sends load probes to the targets of a service within a rate limit, and updates the state of a target after a load
 * probe, a response or a failure. Targets that fail are ejected for a limited time.
 */
import type { Clock } from '../../clock.ts'
import { checkForCrash } from '../../connection/check-for-crash.ts'
import { sendLoadProbe } from '../../connection/send-load-probe.ts'
import type { LoadProbeResult } from '../../connection/send-load-probe.ts'
import type { TargetConnection } from '../../connection/target-pool.ts'
import { estimateTarget } from '../../request/selection/estimate-target.ts'
import type { Estimate } from '../../request/selection/estimate-target.ts'
import type { TargetNotices } from '../../request/selection/target-notices.ts'
import type { LoadReport } from '../../request/selection/load-report.ts'
import type { PartLogger } from '../logger.ts'
import type { TargetLimiter } from '../target-limits/target-limiter.ts'
import { createProbeBudget } from './probe-budget.ts'
import type { ProbeBudget } from './probe-budget.ts'
import { createProbeTimes } from './probe-times.ts'
import { createReachability } from './reachability.ts'
import type { Reachability } from './reachability.ts'
import type { TargetState } from './target-states.ts'

/** A target with the estimate for one more request. */
export interface EstimatedTarget { state: TargetState, estimate: Estimate }

/**
 * How a request ended at a target: `answered` with a complete response; `failed` for a server error or a rejection;
 * `unreachable` before anything was sent; `broken` for a connection that failed after the request was sent, or a response that
 * was truncated; `unanswered` when the request ended before the target had responded. `responded`, when the head of a response
 * has come, is followed by another outcome.
 */
export type RequestOutcome = 'responded' | 'answered' | 'failed' | 'unreachable' | 'broken' | 'unanswered'

/** Options of `createLoadProber`. */
export interface LoadProberOptions {
  clock: Clock
  logger: PartLogger
  limiter: Pick<TargetLimiter, 'isCold'>
  /** Returns how many load probes this process may send to one target per second. */
  getLoadProbesPerSecond(): number
  /** Returns the path of the health endpoint in the configuration in effect. */
  getHealthPath(): string | undefined
  /** Called when a load probe shows that another target has taken over the address. */
  handleLeaving(state: TargetState, evidence: string): void
  /** Called with what the target says about itself on the response to a load probe that was sent at `sentAtMs`. */
  recordNotices(state: TargetState, notices: TargetNotices, sentAtMs: number): void
  /** Called when a load probe got no response. */
  handleUnreached?(state: TargetState): void
  /** Sends one load probe; tests replace it to need no network. */
  sendLoadProbe?: typeof sendLoadProbe
  /** Opens a connection to a target; tests replace it to need no network. */
  checkForCrash?: typeof checkForCrash
}

/** Sends load probes to the targets of one service and tracks their state. */
export interface LoadProber {
  /** The load probes that may be sent. */
  budget: ProbeBudget
  /**
   * Probes targets in parallel and resolves with the first suitable one. When none is suitable, resolves with the fastest
   * one of the results received, after all results or the time in which the targets usually respond; undefined when there is none.
   */
  probeCandidates(candidates: readonly TargetState[], workMs: number): Promise<EstimatedTarget | undefined>
  /** Estimates one more request from the local view; `sentBefore` is the number of requests sent when the load report was requested. */
  estimate(state: TargetState, workMs: number, sentBefore: number): Estimate
  /** Records the load report of a response. */
  recordReport(state: TargetState, report: LoadReport): void
  /** Records how a request that was started at `startedAtMs` ended at a target; ejects the target when it fails too often. */
  recordOutcome(state: TargetState, outcome: RequestOutcome, startedAtMs: number): void
  /** Finds out whether these targets, at most `size`, can be reached, as far as their rate limits allow. */
  checkReachable(ordered: readonly TargetState[], size: number): void
  /** Whether the targets of this service report their load; undefined until one has been probed. */
  hasLoadReports(): boolean | undefined
  /** Whether the targets can be reached. */
  reachability: Reachability
  /** Returns the number of load probes sent since the start. */
  countProbes(): number
}

/** A load probe without a response for this long counts as a failure of the target, in ms. */
const LOAD_PROBE_TIMEOUT_MS = 250
/** Time between two connections that are opened to one target only to find out whether it can be reached, in ms. */
const CONNECTION_CHECK_INTERVAL_MS = 500
/** First ejection time in ms; each further consecutive failure doubles it. */
const INITIAL_EJECTION_MS = 400
const MAX_EJECTION_MS = 3_000
/** A target whose failure rate reaches this share is ejected. */
const MAX_FAILURE_RATE = 0.35
/** Weight of a new outcome in the failure rate. */
const FAILURE_RATE_WEIGHT = 0.2

/** Returns the target with the shorter expected time. */
export function getFaster (a: EstimatedTarget | undefined, b: EstimatedTarget | undefined): EstimatedTarget | undefined {
  if (!a || !b) return a ?? b
  return b.estimate.totalMs < a.estimate.totalMs ? b : a
}

/** Creates the load prober of one service. */
export function createLoadProber (options: LoadProberOptions): LoadProber {
  const { clock, logger, sendLoadProbe: sendProbe = sendLoadProbe, checkForCrash: openConnection = checkForCrash } = options
  let isReportingLoad: boolean | undefined
  const reachability = createReachability(clock)
  const budget = createProbeBudget(clock, options.getLoadProbesPerSecond)
  const probeTimes = createProbeTimes()
  let probeCount = 0

  const recordReport = (state: TargetState, report: LoadReport): void => {
    state.report = report
    state.reportAtMs = clock.monotonicMs()
    state.sentCountAtReport = state.sentCount
  }
  const recordFailure = (state: TargetState, evidence: string): void => {
    state.consecutiveFailures += 1
    const ejectionMs = Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** (state.consecutiveFailures - 1))
    state.ejectedUntilMs = clock.monotonicMs() + ejectionMs
    logger.info('Ejected a target.', { target: state.registered.report.id, because: evidence, forMs: ejectionMs, failuresInRow: state.consecutiveFailures })
  }
  /**
   * Opens a connection to a target. Where targets report load, a connection that works says little, since what is sent on it may
   * still get no response; where they do not, the health endpoint may wait for a slot, and a connection is all there is.
   */
  const checkConnection = async (state: TargetState): Promise<void> => {
    const startedAtMs = clock.monotonicMs()
    state.connectionCheckedAtMs = startedAtMs
    const { id } = state.registered.report
    const finding = await openConnection(state.registered.report, clock)
    if (finding !== 'alive') reachability.recordUnreached(id, startedAtMs)
    else if (isReportingLoad === false) reachability.recordReached(id)
  }
  /** Whether a target has not been heard for as long as a load probe waits, although a request was sent to it. */
  const isSilentSince = (state: TargetState, startedAtMs: number): boolean =>
    clock.monotonicMs() - startedAtMs >= LOAD_PROBE_TIMEOUT_MS && (reachability.getReachedAtMs(state.registered.report.id) ?? -Infinity) < startedAtMs
  const recordRequestOutcome = (state: TargetState, outcome: RequestOutcome, startedAtMs: number): void => {
    const hasResponded = outcome === 'responded' || outcome === 'answered' || outcome === 'failed'
    if (hasResponded) reachability.recordReached(state.registered.report.id)
    else if (outcome === 'unreachable') reachability.recordUnreached(state.registered.report.id, startedAtMs)
    else if (isSilentSince(state, startedAtMs)) startReachCheck(state)
    if (outcome === 'unanswered' || outcome === 'responded') return
    if (outcome === 'unreachable') {
      recordFailure(state, 'no connection could be made')
      return
    }
    state.failureRate += FAILURE_RATE_WEIGHT * (Number(outcome !== 'answered') - state.failureRate)
    if (state.failureRate < MAX_FAILURE_RATE) return
    state.failureRate = MAX_FAILURE_RATE / 2
    recordFailure(state, 'too many of its recent requests failed')
  }
  const recordSuccess = (state: TargetState): void => {
    if (state.consecutiveFailures > 0) logger.info('A target succeeded after failures.', { target: state.registered.report.id, failuresInRow: state.consecutiveFailures })
    state.consecutiveFailures = 0
  }
  const applyProbeResult = (state: TargetState, result: LoadProbeResult, sentBefore: number, sentAtMs: number): void => {
    if (result.kind === 'silent' || result.kind === 'unreachable') reachability.recordUnreached(state.registered.report.id, sentAtMs)
    else reachability.recordReached(state.registered.report.id)
    switch (result.kind) {
      case 'load':
        isReportingLoad = true
        recordSuccess(state)
        recordReport(state, result.report)
        state.sentCountAtReport = sentBefore
        break
      case 'healthy':
        isReportingLoad ??= false
        recordSuccess(state)
        break
      case 'unhealthy':
        recordFailure(state, 'its health endpoint reports it unhealthy')
        break
      case 'replaced':
        options.handleLeaving(state, 'another target responds at its address')
        break
      case 'silent':
      case 'unreachable':
        recordFailure(state, `a load probe found it ${result.kind}`)
        options.handleUnreached?.(state)
        break
    }
  }
  const estimate = (state: TargetState, workMs: number, sentBefore: number): Estimate => estimateTarget({
    report: state.report,
    sentCountSinceReport: state.sentCount - sentBefore,
    inFlight: state.inFlight,
    slots: state.registered.report.slots,
    isWarming: state.registered.warmupEndsAtMs > clock.monotonicMs() || options.limiter.isCold(state.registered.report.id),
    workMs
  })
  /** Sends a load probe on a connection to a target; resolves with undefined when the target is unusable. */
  const sendProbeOn = async (state: TargetState, connection: TargetConnection, path: string, workMs: number): Promise<EstimatedTarget | undefined> => {
    probeCount += 1
    state.probesInFlight += 1
    const sentBefore = state.sentCount
    const sentAtMs = clock.monotonicMs()
    const { id, address, port } = state.registered.report
    const result = await sendProbe(connection, { target: id, host: `${address}:${port}`, path, timeoutMs: LOAD_PROBE_TIMEOUT_MS, clock })
    state.probesInFlight -= 1
    if (result.kind === 'load' || result.kind === 'healthy') probeTimes.record(state.registered.report.zone, clock.monotonicMs() - sentAtMs)
    applyProbeResult(state, result, sentBefore, sentAtMs)
    if ('notices' in result) options.recordNotices(state, result.notices, sentAtMs)
    if (result.kind !== 'load' && result.kind !== 'healthy') return undefined
    const candidate = { state, estimate: estimate(state, workMs, sentBefore) }
    state.isReportUnsuitable = !candidate.estimate.isSuitable
    return candidate
  }
  /** Starts a load probe to one target; undefined when no probe can be sent. */
  const startProbe = (state: TargetState, workMs: number): Promise<EstimatedTarget | undefined> | undefined => {
    const path = options.getHealthPath()
    const connection = path === undefined ? undefined : state.pool.acquireConnection({ requiresLiveness: false })
    return path === undefined || !connection ? undefined : sendProbeOn(state, connection, path, workMs)
  }
  /** Starts to find out whether a target can be reached; returns whether its rate limits allow that now. */
  const startReachCheck = (state: TargetState): boolean => {
    const probe = isReportingLoad !== false && budget.tryAcquire(state) ? startProbe(state, 0) : undefined
    const isDue = clock.monotonicMs() - state.connectionCheckedAtMs >= CONNECTION_CHECK_INTERVAL_MS
    const check = probe ?? (isDue ? checkConnection(state) : undefined)
    check?.catch((cause: unknown) => logger.error('Checking whether a target can be reached failed.', { target: state.registered.report.id, err: cause }))
    return check !== undefined
  }
  return {
    budget,
    checkReachable (ordered, size) {
      let startedCount = 0
      for (const state of ordered) {
        if (startedCount < size && startReachCheck(state)) startedCount += 1
      }
    },
    probeCandidates: (candidates, workMs) => new Promise((resolve) => {
      let best: EstimatedTarget | undefined
      let pendingCount = candidates.length
      const timeoutMs = Math.max(...candidates.map(({ registered }) => probeTimes.getTimeoutMs(registered.report.zone)))
      const cancelTimer = clock.startTimer(timeoutMs, () => resolve(best))
      const settle = (candidate: EstimatedTarget | undefined): void => {
        pendingCount -= 1
        best = getFaster(best, candidate)
        if (pendingCount > 0 && !candidate?.estimate.isSuitable) return
        cancelTimer()
        resolve(candidate?.estimate.isSuitable ? candidate : best)
      }
      for (const state of candidates) (startProbe(state, workMs) ?? Promise.resolve(undefined)).then(settle, () => settle(undefined))
    }),
    estimate,
    recordReport,
    recordOutcome: recordRequestOutcome,
    hasLoadReports: () => isReportingLoad,
    reachability,
    countProbes: () => probeCount
  }
}
