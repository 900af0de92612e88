/**
 * Places the requests of one service: looks at a few promising targets right before sending and takes the first good
 * one; requests that find none wait in one queue.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { sendLook } from '../../connection/send-look.ts'
import type { LookResult } from '../../connection/send-look.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { estimateTarget } from '../../request/placement/estimate.ts'
import type { Estimate } from '../../request/placement/estimate.ts'
import type { LoadReport } from '../../request/placement/load-report.ts'
import { computePenalty } from '../../request/placement/order-candidates.ts'
import { createWaitingQueue } from '../../request/placement/waiting-queue.ts'
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'
import type { TargetRegistry } from '../discovery/target-registry.ts'
import type { PartLogger } from '../logger.ts'
import type { TargetState, TargetStates } from './target-states.ts'

/** A request that looks for a target. Instants by the monotonic clock in ms. */
export interface PlacementRequest {
  /** Rank; 0 is the most urgent. */
  priority: number
  /** Time that the work takes on a target of usual speed, in ms. */
  workMs: number
  /** An answer by this instant is worth most. */
  aimAtMs: number
  /** An answer after this instant is worth nothing. */
  deadlineAtMs: number
  /** What crossing zones costs it; 1 stands for a full target. */
  farPenalty: number
  /** Targets that were tried already. */
  excluded: ReadonlySet<TargetId>
  /** Ends the search when the caller leaves. */
  isGone(): boolean
}

/** A target for a request. */
export interface Placement {
  state: TargetState
  /** How long the answer should take, in ms. */
  expectedMs: number
  /** How long it waited for its place, in ms. */
  waitedMs: number
  /** Why this target. */
  reason: 'looked' | 'best-seen' | 'untold'
}

/** What the placer of a service has done. */
export interface PlacerCounts { looks: number, queued: number, refused: number }

/** Places the requests of one service. */
export interface ServicePlacer {
  /** Finds a target and counts the request there. Errors: `no-target`, `queue-full`, `queue-timeout`. */
  place(request: PlacementRequest): Promise<Result<Placement, AppError>>
  /** Notes the end of a request at a target, with the load that its answer told. */
  release(state: TargetState, report: LoadReport | undefined): void
  countWaiting(): number
  report(): PlacerCounts
}

/** How to create a placer. */
export interface ServicePlacerOptions {
  service: ServiceId
  zone: ZoneId
  registry: TargetRegistry
  states: TargetStates
  clock: Clock
  random: () => number
  logger: PartLogger
  /** Returns how many looks this process may take at one target, a second. */
  getLooksPerSecond(): number
  /** Returns the path of the health endpoint in the configuration in force. */
  getHealthPath(): string | undefined
  /** Told when a look shows that a target is leaving or has been replaced. */
  handleLeaving(state: TargetState, evidence: string): void
}

/** Looks at once, in each round of a search. */
const ROUND_SIZES = [2, 3, 3] as const
const QUEUE_ROUND_SIZE = 3
/** After this long a round goes on without the looks that are still out, in ms. */
const ROUND_PATIENCE_MS = 12
/** A look without an answer for this long means that the connection or the target is dead, in ms. */
const LOOK_TIMEOUT_MS = 250
/** Between two rounds for waiting requests that found no good target, in ms. */
const ROUND_PAUSE_MS = 20
const LOOK_BURST = 6
const MS_PER_SECOND = 1000
const AVOID_MS = 400
const LONGEST_AVOID_MS = 3_000

/** One target that a round has looked at. */
interface Sighting { state: TargetState, estimate: Estimate }

interface Waiting {
  request: PlacementRequest
  queuedAtMs: number
  settle(result: Result<Placement, AppError>): void
}

/** Creates the placer of a service. */
export function createServicePlacer (options: ServicePlacerOptions): ServicePlacer {
  const { service, zone, registry, states, clock, random, logger } = options
  const queue = createWaitingQueue<Waiting>()
  const counts: PlacerCounts = { looks: 0, queued: 0, refused: 0 }
  /** Whether the targets of this service tell their load; undefined until one was asked. */
  let tellsLoad: boolean | undefined
  let isDispatching = false
  let wakeDispatcher: () => void = () => undefined
  /** The usual pause between two places for waiting requests, in ms. */
  let placeIntervalMs = 10

  const listUsable = (request: PlacementRequest): TargetState[] => {
    const nowMs = clock.monotonicMs()
    const all = registry.list(service).filter((target) => !target.isLeaving).map((target) => states.get(target))
    const untried = all.filter((state) => !request.excluded.has(state.registered.report.id))
    const calm = untried.filter((state) => state.avoidUntilMs <= nowMs)
    return calm.length > 0 ? calm : untried
  }
  const estimate = (state: TargetState, request: PlacementRequest, sentBefore: number): Estimate => estimateTarget({
    report: state.report,
    sentSince: state.sent - sentBefore,
    inFlight: state.inFlight,
    slots: state.registered.report.slots,
    isWarming: state.registered.warmUntilMs > clock.monotonicMs(),
    workMs: request.workMs
  })
  const orderCandidates = (request: PlacementRequest, seen: ReadonlySet<TargetState>): TargetState[] => {
    const nowMs = clock.monotonicMs()
    const ranked = listUsable(request).filter((state) => !seen.has(state)).map((state) => ({
      state,
      penalty: computePenalty({
        inFlight: state.inFlight + state.looking,
        slots: state.registered.report.slots,
        isNear: state.registered.report.zone === zone,
        hasIdleConnection: state.pool.countConnections().idle > 0,
        isWarming: state.registered.warmUntilMs > nowMs,
        badReportAgeMs: state.isReportBad ? nowMs - state.reportAtMs : undefined
      }, request, random())
    }))
    return ranked.sort((a, b) => a.penalty - b.penalty).map(({ state }) => state)
  }
  const takeLook = (state: TargetState): boolean => {
    const nowMs = clock.monotonicMs()
    const { looks } = state
    const earned = (nowMs - looks.filledAtMs) * options.getLooksPerSecond() / MS_PER_SECOND
    looks.tokens = Math.min(LOOK_BURST, looks.tokens + earned)
    looks.filledAtMs = nowMs
    if (looks.tokens < 1) return false
    looks.tokens -= 1
    return true
  }
  const takeCandidates = (ordered: readonly TargetState[], size: number): TargetState[] => {
    const taken: TargetState[] = []
    for (const state of ordered) {
      if (taken.length >= size) break
      if (takeLook(state)) taken.push(state)
    }
    return taken
  }
  const recordFailure = (state: TargetState, what: string): void => {
    state.failuresInRow += 1
    const avoidMs = Math.min(LONGEST_AVOID_MS, AVOID_MS * 2 ** (state.failuresInRow - 1))
    state.avoidUntilMs = clock.monotonicMs() + avoidMs
    logger.info('Avoid a target.', { target: state.registered.report.id, because: what, forMs: avoidMs, failuresInRow: state.failuresInRow })
  }
  const recordReport = (state: TargetState, report: LoadReport, atMs: number): void => {
    state.report = report
    state.reportAtMs = atMs
  }
  const applyLook = (state: TargetState, result: LookResult): void => {
    switch (result.kind) {
      case 'load':
        tellsLoad = true
        state.failuresInRow = 0
        recordReport(state, result.report, clock.monotonicMs())
        break
      case 'healthy':
        tellsLoad ??= false
        state.failuresInRow = 0
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
  const look = async (state: TargetState, request: PlacementRequest): Promise<Sighting | undefined> => {
    const path = options.getHealthPath()
    const connection = path === undefined ? undefined : state.pool.takeConnection({ needsProof: false })
    if (path === undefined || !connection) return undefined
    counts.looks += 1
    state.looking += 1
    const sentBefore = state.sent
    const { id, address, port } = state.registered.report
    const result = await sendLook(connection, { target: id, host: `${address}:${port}`, path, timeoutMs: LOOK_TIMEOUT_MS, clock })
    state.looking -= 1
    applyLook(state, result)
    if (result.kind !== 'load' && result.kind !== 'healthy') return undefined
    const sighting = { state, estimate: estimate(state, request, sentBefore) }
    state.isReportBad = !sighting.estimate.isGood
    return sighting
  }
  /** Looks at some targets at once; resolves with the first good one, else with the best when all are back or time is up. */
  const lookAround = (candidates: readonly TargetState[], request: PlacementRequest): Promise<Sighting | undefined> => new Promise((resolve) => {
    let best: Sighting | undefined
    let out = candidates.length
    const cancelTimer = clock.startTimer(ROUND_PATIENCE_MS, () => resolve(best))
    const settle = (sighting: Sighting | undefined): void => {
      out -= 1
      if (sighting && (!best || sighting.estimate.totalMs < best.estimate.totalMs)) best = sighting
      if (out > 0 && !sighting?.estimate.isGood) return
      cancelTimer()
      resolve(sighting?.estimate.isGood ? sighting : best)
    }
    if (out === 0) settle(undefined)
    for (const state of candidates) look(state, request).then(settle, () => settle(undefined))
  })
  const take = (sighting: Sighting, startedAtMs: number, reason: Placement['reason']): Placement => {
    const { state } = sighting
    state.inFlight += 1
    state.sent += 1
    return { state, expectedMs: sighting.estimate.totalMs, waitedMs: clock.monotonicMs() - startedAtMs, reason }
  }
  /** Takes the least loaded target by own requests, for services whose targets tell no load. */
  const takeUntold = (request: PlacementRequest, startedAtMs: number): Placement | undefined => {
    const [state] = orderCandidates(request, new Set())
    if (!state) return undefined
    return take({ state, estimate: estimate(state, request, state.sent) }, startedAtMs, 'untold')
  }
  /** Whether an answer from there would still be in time. */
  const isInTime = ({ estimate: { totalMs } }: Sighting, { aimAtMs, deadlineAtMs }: PlacementRequest): boolean => {
    const nowMs = clock.monotonicMs()
    const limitMs = aimAtMs - nowMs > 0 ? aimAtMs : deadlineAtMs
    return nowMs + totalMs <= limitMs
  }
  const search = async (request: PlacementRequest, sizes: readonly number[], startedAtMs: number): Promise<Placement | undefined> => {
    const seen = new Set<TargetState>()
    let best: Sighting | undefined
    for (const size of sizes) {
      const candidates = takeCandidates(orderCandidates(request, seen), size)
      if (candidates.length === 0) return best ? undefined : takeUntold(request, startedAtMs)
      for (const state of candidates) seen.add(state)
      const sighting = await lookAround(candidates, request)
      if (sighting?.estimate.isGood) return take(sighting, startedAtMs, 'looked')
      if (sighting && (!best || sighting.estimate.totalMs < best.estimate.totalMs)) best = sighting
    }
    return best && isInTime(best, request) ? take(best, startedAtMs, 'best-seen') : undefined
  }
  /** Whether even a good target could no longer answer in time. */
  const isHopeless = ({ request }: Waiting): boolean => clock.monotonicMs() + request.workMs > request.deadlineAtMs

  const dispatch = async (): Promise<void> => {
    for (let head = queue.peek(); head; head = queue.peek()) {
      if (head.request.isGone() || isHopeless(head)) {
        queue.remove(head)
        counts.refused += 1
        head.settle(err(createError('queue-timeout', 'No target became free in time.')))
        continue
      }
      const beganAtMs = clock.monotonicMs()
      const placement = await search(head.request, [QUEUE_ROUND_SIZE], head.queuedAtMs)
      if (placement) {
        queue.remove(head)
        head.settle(ok(placement))
        placeIntervalMs = 0.8 * placeIntervalMs + 0.2 * (clock.monotonicMs() - beganAtMs)
        continue
      }
      await new Promise<void>((resolve) => {
        const cancel = clock.startTimer(ROUND_PAUSE_MS, resolve)
        wakeDispatcher = () => { cancel(); resolve() }
      })
    }
  }
  const startDispatching = (): void => {
    if (isDispatching) return
    isDispatching = true
    dispatch()
      .catch((cause: unknown) => logger.error('Dispatching failed.', { err: cause }))
      .finally(() => { isDispatching = false })
  }
  const waitForPlace = (request: PlacementRequest, queuedAtMs: number): Promise<Result<Placement, AppError>> => new Promise((resolve) => {
    counts.queued += 1
    queue.add({ request, queuedAtMs, settle: resolve }, request)
    startDispatching()
  })
  const place = async (request: PlacementRequest): Promise<Result<Placement, AppError>> => {
    const startedAtMs = clock.monotonicMs()
    if (listUsable(request).length === 0) {
      counts.refused += 1
      return err(createError('no-target', `No target of service ${service} can take the request.`))
    }
    if (tellsLoad === false) {
      const untold = takeUntold(request, startedAtMs)
      if (untold) return ok(untold)
    }
    if (queue.count() > 0) return waitForPlace(request, startedAtMs)
    const placement = await search(request, ROUND_SIZES, startedAtMs)
    return placement ? ok(placement) : waitForPlace(request, startedAtMs)
  }
  return {
    place,
    release (state, report) {
      state.inFlight -= 1
      if (report) recordReport(state, report, clock.monotonicMs())
      wakeDispatcher()
    },
    countWaiting: () => queue.count(),
    report: () => ({ ...counts })
  }
}
