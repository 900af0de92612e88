/**
 * Sends load probes to the targets of a service within a rate limit, and updates the state of a target after a load
 * probe, a response or a failure. Targets that fail are ejected for a while.
 */
import type { Clock } from '../../clock.ts'
import { sendLook } from '../../connection/send-look.ts'
import type { LookResult } from '../../connection/send-look.ts'
import { takeToken } from '../../request/balancing/token-bucket.ts'
import { estimateTarget } from '../../request/placement/estimate.ts'
import type { Estimate } from '../../request/placement/estimate.ts'
import type { LoadReport } from '../../request/placement/load-report.ts'
import type { PartLogger } from '../logger.ts'
import type { TargetState } from './target-states.ts'

/** A target with the estimate for one more request. */
export interface Sighting { state: TargetState, estimate: Estimate }

/**
 * How a request ended at a target: `answered`; `failed` for a server error or a rejection; `unreachable` before anything
 * was sent; `broken` for a connection that failed after the request was sent.
 */
export type RequestEnd = 'answered' | 'failed' | 'unreachable' | 'broken'

/** Options of `createLoadProber`. */
export interface TargetLooksOptions {
  clock: Clock
  logger: PartLogger
  /** Returns how many load probes this process may send to one target per second. */
  getLooksPerSecond(): number
  /** Returns the path of the health endpoint in the configuration in effect. */
  getHealthPath(): string | undefined
  /** Called when a load probe shows that another target has taken over the address. */
  handleLeaving(state: TargetState, evidence: string): void
  /** Sends one load probe; tests replace it to need no network. */
  lookAt?: typeof sendLook
}

/** Sends load probes to the targets of one service and tracks their state. */
export interface TargetLooks {
  /** Returns the first targets, at most `size`, whose rate limit allows a load probe, and charges them for it. */
  takeCandidates(ordered: readonly TargetState[], size: number): TargetState[]
  /** Probes targets in parallel; resolves with the first suitable one, else with the fastest after all results or `ROUND_TIMEOUT_MS`. */
  lookAround(candidates: readonly TargetState[], workMs: number): Promise<Sighting | undefined>
  /** Estimates one more request from the local view; `sentBefore` is the number of requests sent when the load report was requested. */
  estimate(state: TargetState, workMs: number, sentBefore: number): Estimate
  /** Records the load report of a response. */
  recordReport(state: TargetState, report: LoadReport): void
  /** Records how a request ended at a target; ejects the target when it fails too often. */
  recordEnd(state: TargetState, outcome: RequestEnd): void
  /** Whether the targets of this service report their load; undefined until one has been probed. */
  getTellsLoad(): boolean | undefined
  /** Returns the number of load probes sent since the start. */
  countLooks(): number
}

/** A round of probes ends after this time without the results still missing, in ms. */
const ROUND_TIMEOUT_MS = 12
/** A load probe without a response for this long counts as a failure of the target, in ms. */
const LOAD_PROBE_TIMEOUT_MS = 250
/** Load probes that may be sent to one target at once. */
const LOAD_PROBE_BURST = 6
/** First ejection time in ms; each further consecutive failure doubles it. */
const INITIAL_EJECTION_MS = 400
const MAX_EJECTION_MS = 3_000
/** A target whose failure rate reaches this share is ejected. */
const MAX_FAILURE_RATE = 0.35
const FAILURE_RATE_WEIGHT = 0.2

/** Returns the target with the shorter expected time. */
export function getBetter (a: Sighting | undefined, b: Sighting | undefined): Sighting | undefined {
  if (!a || !b) return a ?? b
  return b.estimate.totalMs < a.estimate.totalMs ? b : a
}

/** Creates the load prober of one service. */
export function createTargetLooks (options: TargetLooksOptions): TargetLooks {
  const { clock, logger, lookAt: sendProbe = sendLook } = options
  let isReportingLoad: boolean | undefined
  let probeCount = 0

  const acquireProbe = ({ looks: bucket }: TargetState): boolean =>
    takeToken(bucket, { perSecond: options.getLooksPerSecond(), largest: LOAD_PROBE_BURST }, clock.monotonicMs())
  const recordReport = (state: TargetState, report: LoadReport): void => {
    state.report = report
    state.reportAtMs = clock.monotonicMs()
    state.sentAtReport = state.sent
  }
  const recordFailure = (state: TargetState, evidence: string): void => {
    state.failuresInRow += 1
    const ejectionMs = Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** (state.failuresInRow - 1))
    state.avoidUntilMs = clock.monotonicMs() + ejectionMs
    logger.info('Ejected a target.', { target: state.registered.report.id, because: evidence, forMs: ejectionMs, failuresInRow: state.failuresInRow })
  }
  const recordRequestOutcome = (state: TargetState, outcome: RequestEnd): void => {
    if (outcome === 'unreachable') {
      recordFailure(state, 'no connection could be made')
      return
    }
    state.failedShare += FAILURE_RATE_WEIGHT * (Number(outcome !== 'answered') - state.failedShare)
    if (state.failedShare < MAX_FAILURE_RATE) return
    state.failedShare = MAX_FAILURE_RATE / 2
    recordFailure(state, 'too many of its recent requests failed')
  }
  const recordSuccess = (state: TargetState): void => {
    if (state.failuresInRow > 0) logger.info('A target succeeded after failures.', { target: state.registered.report.id, failuresInRow: state.failuresInRow })
    state.failuresInRow = 0
  }
  const applyProbeResult = (state: TargetState, result: LookResult, sentBefore: number): void => {
    switch (result.kind) {
      case 'load':
        isReportingLoad = true
        recordSuccess(state)
        recordReport(state, result.report)
        state.sentAtReport = sentBefore
        break
      case 'healthy':
        isReportingLoad ??= false
        recordSuccess(state)
        break
      case 'unhealthy':
        recordFailure(state, 'its health endpoint reports it unhealthy')
        break
      case 'replaced':
        options.handleLeaving(state, 'another target answers at its address')
        break
      case 'silent':
      case 'unreachable':
        recordFailure(state, `a load probe found it ${result.kind}`)
        break
    }
  }
  const estimate = (state: TargetState, workMs: number, sentBefore: number): Estimate => estimateTarget({
    report: state.report,
    sentSince: state.sent - sentBefore,
    inFlight: state.inFlight,
    slots: state.registered.report.slots,
    isWarming: state.registered.warmUntilMs > clock.monotonicMs(),
    workMs
  })
  /** Sends a load probe to one target; undefined when the target is unusable or no probe can be sent. */
  const probe = async (state: TargetState, workMs: number): Promise<Sighting | undefined> => {
    const path = options.getHealthPath()
    const connection = path === undefined ? undefined : state.pool.takeConnection({ needsProof: false })
    if (path === undefined || !connection) return undefined
    probeCount += 1
    state.looking += 1
    const sentBefore = state.sent
    const { id, address, port } = state.registered.report
    const result = await sendProbe(connection, { target: id, host: `${address}:${port}`, path, timeoutMs: LOAD_PROBE_TIMEOUT_MS, clock })
    state.looking -= 1
    applyProbeResult(state, result, sentBefore)
    if (result.kind !== 'load' && result.kind !== 'healthy') return undefined
    const candidate = { state, estimate: estimate(state, workMs, sentBefore) }
    state.isReportBad = !candidate.estimate.isGood
    return candidate
  }
  return {
    takeCandidates (ordered, size) {
      const acquired: TargetState[] = []
      for (const state of ordered) {
        if (acquired.length >= size) break
        if (acquireProbe(state)) acquired.push(state)
      }
      return acquired
    },
    lookAround: (candidates, workMs) => new Promise((resolve) => {
      let best: Sighting | undefined
      let pendingCount = candidates.length
      const cancelTimer = clock.startTimer(ROUND_TIMEOUT_MS, () => resolve(best))
      const settle = (candidate: Sighting | undefined): void => {
        pendingCount -= 1
        best = getBetter(best, candidate)
        if (pendingCount > 0 && !candidate?.estimate.isGood) return
        cancelTimer()
        resolve(candidate?.estimate.isGood ? candidate : best)
      }
      for (const state of candidates) probe(state, workMs).then(settle, () => settle(undefined))
    }),
    estimate,
    recordReport,
    recordEnd: recordRequestOutcome,
    getTellsLoad: () => isReportingLoad,
    countLooks: () => probeCount
  }
}
