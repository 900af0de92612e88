/**
 * Looks at targets within their budgets, and what a look, an answer or a failure says of a target.
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

/** A target with what it would do with one more request. */
export interface Sighting { state: TargetState, estimate: Estimate }

/** How a target ended a request: it answered, it answered with a failure or refused, or the connection failed. */
export type RequestEnd = 'answered' | 'failed' | 'unreachable' | 'broken'

/** How to create the looks. */
export interface TargetLooksOptions {
  clock: Clock
  logger: PartLogger
  /** Returns how many looks this process may take at one target, a second. */
  getLooksPerSecond(): number
  /** Returns the path of the health endpoint in the configuration in force. */
  getHealthPath(): string | undefined
  /** Told when a look shows that a target has been replaced. */
  handleLeaving(state: TargetState, evidence: string): void
  /** Sends one look; tests pass one that needs no network. */
  lookAt?: typeof sendLook
}

/** Looks at the targets of one service. */
export interface TargetLooks {
  /** Takes at most `size` of the targets, in their order, whose budget allows a look. */
  takeCandidates(ordered: readonly TargetState[], size: number): TargetState[]
  /** Looks at several at once; resolves with the first good one, else with the best when all are back or time is up. */
  lookAround(candidates: readonly TargetState[], workMs: number): Promise<Sighting | undefined>
  /** Estimates from what is known; `sentBefore` is the count of requests sent when the report was asked for. */
  estimate(state: TargetState, workMs: number, sentBefore: number): Estimate
  /** Notes the load that an answer told. */
  recordReport(state: TargetState, report: LoadReport): void
  /** Notes how a target ended a request; one that fails often gets nothing for a while. */
  recordEnd(state: TargetState, end: RequestEnd): void
  /** Whether the targets of this service tell their load; undefined until one was asked. */
  getTellsLoad(): boolean | undefined
  countLooks(): number
}

/** After this long a round goes on without the looks that are still out, in ms. */
const ROUND_PATIENCE_MS = 12
/** A look without an answer for this long means that the connection or the target is dead, in ms. */
const LOOK_TIMEOUT_MS = 250
/** Looks at one target that may be saved up. */
const LOOK_BURST = 6
/** A failing target gets nothing for this long at first, and twice as long after each further failure, in ms. */
const AVOID_MS = 400
const LONGEST_AVOID_MS = 3_000
/** A target that fails more than this share of its latest requests is avoided. */
const LARGEST_FAILED_SHARE = 0.35
const FAILED_SHARE_WEIGHT = 0.2

/** Returns the better of two sightings. */
export function getBetter (a: Sighting | undefined, b: Sighting | undefined): Sighting | undefined {
  if (!a || !b) return a ?? b
  return b.estimate.totalMs < a.estimate.totalMs ? b : a
}

/** Creates the looks of one service. */
export function createTargetLooks (options: TargetLooksOptions): TargetLooks {
  const { clock, logger, lookAt = sendLook } = options
  let tellsLoad: boolean | undefined
  let lookCount = 0

  const takeLook = ({ looks }: TargetState): boolean =>
    takeToken(looks, { perSecond: options.getLooksPerSecond(), largest: LOOK_BURST }, clock.monotonicMs())
  const recordReport = (state: TargetState, report: LoadReport): void => {
    state.report = report
    state.reportAtMs = clock.monotonicMs()
    state.sentAtReport = state.sent
  }
  const recordFailure = (state: TargetState, evidence: string): void => {
    state.failuresInRow += 1
    const avoidMs = Math.min(LONGEST_AVOID_MS, AVOID_MS * 2 ** (state.failuresInRow - 1))
    state.avoidUntilMs = clock.monotonicMs() + avoidMs
    logger.info('Avoid a target.', { target: state.registered.report.id, because: evidence, forMs: avoidMs, failuresInRow: state.failuresInRow })
  }
  const recordEnd = (state: TargetState, end: RequestEnd): void => {
    if (end === 'unreachable') {
      recordFailure(state, 'no connection could be made')
      return
    }
    state.failedShare += FAILED_SHARE_WEIGHT * (Number(end !== 'answered') - state.failedShare)
    if (state.failedShare < LARGEST_FAILED_SHARE) return
    state.failedShare = LARGEST_FAILED_SHARE / 2
    recordFailure(state, 'it fails many requests')
  }
  const recordSuccess = (state: TargetState): void => {
    if (state.failuresInRow > 0) logger.info('A target answers again.', { target: state.registered.report.id, failuresInRow: state.failuresInRow })
    state.failuresInRow = 0
  }
  const applyLook = (state: TargetState, result: LookResult, sentBefore: number): void => {
    switch (result.kind) {
      case 'load':
        tellsLoad = true
        recordSuccess(state)
        recordReport(state, result.report)
        state.sentAtReport = sentBefore
        break
      case 'healthy':
        tellsLoad ??= false
        recordSuccess(state)
        break
      case 'unhealthy':
        recordFailure(state, 'its health endpoint refuses')
        break
      case 'replaced':
        options.handleLeaving(state, 'another target answers at its address')
        break
      case 'silent':
      case 'unreachable':
        recordFailure(state, `a look found it ${result.kind}`)
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
  /** Looks at one target; undefined when it cannot take work. */
  const look = async (state: TargetState, workMs: number): Promise<Sighting | undefined> => {
    const path = options.getHealthPath()
    const connection = path === undefined ? undefined : state.pool.takeConnection({ needsProof: false })
    if (path === undefined || !connection) return undefined
    lookCount += 1
    state.looking += 1
    const sentBefore = state.sent
    const { id, address, port } = state.registered.report
    const result = await lookAt(connection, { target: id, host: `${address}:${port}`, path, timeoutMs: LOOK_TIMEOUT_MS, clock })
    state.looking -= 1
    applyLook(state, result, sentBefore)
    if (result.kind !== 'load' && result.kind !== 'healthy') return undefined
    const sighting = { state, estimate: estimate(state, workMs, sentBefore) }
    state.isReportBad = !sighting.estimate.isGood
    return sighting
  }
  return {
    takeCandidates (ordered, size) {
      const taken: TargetState[] = []
      for (const state of ordered) {
        if (taken.length >= size) break
        if (takeLook(state)) taken.push(state)
      }
      return taken
    },
    lookAround: (candidates, workMs) => new Promise((resolve) => {
      let best: Sighting | undefined
      let out = candidates.length
      const cancelTimer = clock.startTimer(ROUND_PATIENCE_MS, () => resolve(best))
      const settle = (sighting: Sighting | undefined): void => {
        out -= 1
        best = getBetter(best, sighting)
        if (out > 0 && !sighting?.estimate.isGood) return
        cancelTimer()
        resolve(sighting?.estimate.isGood ? sighting : best)
      }
      for (const state of candidates) look(state, workMs).then(settle, () => settle(undefined))
    }),
    estimate,
    recordReport,
    recordEnd,
    getTellsLoad: () => tellsLoad,
    countLooks: () => lookCount
  }
}
