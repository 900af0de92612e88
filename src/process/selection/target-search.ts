/**
 * Finds a target for one request of a service: orders the candidates by the local view, sends load probes to the first of
 * them, and acquires a permit where the target advertises a rate limit.
 */
import { canAccept, isOnTime } from '../../request/selection/can-accept.ts'
import { computePenalty } from '../../request/selection/candidate-penalty.ts'
import { drawColdTarget } from '../../request/selection/cold-share.ts'
import { createProbePlan } from '../../request/selection/probe-plan.ts'
import type { QueuedRequest } from '../../request/selection/request-queue.ts'
import type { ServiceId, TargetId, ZoneId } from '../../types.ts'
import type { RegisteredTarget, TargetRegistry } from '../discovery/target-registry.ts'
import type { TargetLimiter } from '../target-limits/target-limiter.ts'
import { shuffle } from '../gossip/probe-order.ts'
import { explainTarget, listLeaveOutReasons } from './explain-selection.ts'
import type { SelectionExplanation } from './explain-selection.ts'
import { getFaster } from './load-prober.ts'
import type { EstimatedTarget, LoadProber, LoadProberOptions } from './load-prober.ts'
import { isProven } from './target-states.ts'
import type { TargetState, TargetStates } from './target-states.ts'

/** A request that needs a target. */
export interface SelectionRequest extends QueuedRequest {
  /** Penalty of targets in other zones; 1 is the penalty of a target whose slots are all taken. */
  crossZonePenalty: number
  /** Targets that earlier attempts of the request used. */
  excluded: ReadonlySet<TargetId>
  /** Whether it is a trial of a suspected request, which runs apart from other trials if it can. */
  isTrial: boolean
}

/**
 * Why a target was selected. Suitable targets: `looked` by a load probe, `reported` by a recent load report, `waited`
 * by a response while the request was queued. Others: `best-seen` is the fastest of the probed ones, `untold` is the
 * best by this process's own counts, `cold` is a cold target that gets its small share.
 */
export type SelectionReason = 'looked' | 'reported' | 'waited' | 'best-seen' | 'untold' | 'cold'

/** The target selected for a request. */
export interface TargetSelection {
  state: TargetState
  /** Expected time from sending the request to its response, in ms. */
  expectedMs: number
  /** How long the selection took, with the time in the queue, in ms. */
  waitedMs: number
  reason: SelectionReason
  /** Rate limit that the target advertises, in requests per second over all entries; undefined without one. */
  limitPerSecond: number | undefined
}

/** Finds targets. A target that is returned counts the request as in flight. */
export interface TargetSearch {
  /** Lists all targets that are not leaving, nor in an evacuated zone, and accept requests, in random order. */
  listRegistered(): TargetState[]
  /** Whether all targets are in zones that are evacuated. */
  isEvacuated(): boolean
  /** Lists the targets that a request may use, without those that are ejected while enough others are left. */
  listUsable(request: SelectionRequest): TargetState[]
  /**
   * Returns the earliest instant at which a target that the request may use accepts requests again, by the monotonic clock in
   * ms; `Infinity` when there is none.
   */
  getResumeAtMs(request: SelectionRequest): number
  /** Returns the earliest instant at which one of these targets may accept a request, by the monotonic clock in ms; `-Infinity` for now. */
  getPermitAtMs(targets: readonly TargetState[]): number
  /** Probes candidates in rounds of at most these sizes; resolves with the first suitable target, else the fastest if the request should go there. */
  search(request: SelectionRequest, sizes: readonly number[], startedAtMs: number): Promise<TargetSelection | undefined>
  /**
   * Selects a target for a hedge: a suitable one that advertises no rate limit, is not warming up, and is found with few probes;
   * undefined without one.
   */
  searchSpare(request: SelectionRequest): Promise<TargetSelection | undefined>
  /** Returns the number of searches for which few load probes were left. */
  countScarceSearches(): number
  /** Selects the best target by this process's own counts, when no load probe can be sent or none returns a load. */
  acquireUnprobed(request: SelectionRequest, startedAtMs: number): Promise<TargetSelection | undefined>
  /** Selects a target that advertises no rate limit. */
  acquireUnlimited(candidate: EstimatedTarget, startedAtMs: number, reason: SelectionReason): TargetSelection
  /** Selects a target if its rate limit allows one more request. */
  tryAcquire(candidate: EstimatedTarget, startedAtMs: number, reason: SelectionReason): Promise<TargetSelection | undefined>
  /** Undoes a selection whose request was not sent. */
  cancel(selection: TargetSelection): void
  /** Explains which targets a request would try now, and why others are left out. Sends nothing and counts nothing. */
  explain(request: SelectionRequest): SelectionExplanation
}

/** How far a search has come: the targets probed so far, and when the selection started; and the time that the work takes, in ms. */
interface SearchProgress { workMs: number, probed: Set<TargetState>, startedAtMs: number }

/** Result of a round of probes. */
interface SearchRound { selection: TargetSelection | undefined, seen: EstimatedTarget | undefined }

/** Options of the target selection of a service. */
export interface TargetSearchOptions extends LoadProberOptions {
  service: ServiceId
  zone: ZoneId
  registry: TargetRegistry
  states: TargetStates
  /** Whether the operator has asked that nothing be sent to the targets of a zone. */
  isEvacuated(zone: ZoneId): boolean
  limiter: Pick<TargetLimiter, 'getPerSecond' | 'getAvailableAtMs' | 'isAvailable' | 'isCold' | 'hasCold' | 'acquire' | 'release'>
  random: () => number
}

/** A load report up to this age makes a probe unnecessary, in ms. */
const MAX_FRESH_REPORT_AGE_MS = 6
/** When at least this share of the targets is ejected, ejections are ignored, since the few others could not take the load. */
const MAX_EJECTED_SHARE = 0.6
/** Load probes for a hedge. */
const SPARE_PROBES = 2
/** Targets for which a permit is requested when none can be probed. */
const MAX_UNPROBED_CANDIDATES = 3

/** Creates the search for targets of a service. */
export function createTargetSearch (options: TargetSearchOptions, prober: LoadProber): TargetSearch {
  const { service, zone, registry, states, limiter, clock, random } = options
  let scarceCount = 0

  const listAllowed = (excluded: ReadonlySet<TargetId>): TargetState[] =>
    registry.list(service)
      .filter(({ report, isLeaving }) => !isLeaving && !excluded.has(report.id) && !options.isEvacuated(report.zone))
      .map((target) => states.get(target))
  /** Whether there are targets, and all of them are in evacuated zones. */
  const isEvacuated = (): boolean => {
    const isPresent = ({ isLeaving }: RegisteredTarget): boolean => !isLeaving
    const present = registry.list(service).filter(isPresent)
    return present.length > 0 && present.every(({ report }) => options.isEvacuated(report.zone))
  }
  const listUsable = ({ excluded, isTrial }: SelectionRequest): TargetState[] => {
    const nowMs = clock.monotonicMs()
    const all = listAllowed(excluded).filter((state) => state.pausedUntilMs <= nowMs)
    const notEjected = all.filter((state) => state.ejectedUntilMs <= nowMs)
    const usable = notEjected.length > all.length * (1 - MAX_EJECTED_SHARE) ? notEjected : all
    const proven = isTrial ? usable.filter(isProven) : []
    return proven.length > 0 ? proven : usable
  }
  /** Orders the usable targets by their penalties; `drawRandom` spreads similar ones. */
  const computeScores = (request: SelectionRequest, probed: ReadonlySet<TargetState>, drawRandom: () => number): { state: TargetState, penalty: number }[] => {
    const nowMs = clock.monotonicMs()
    const candidates = listUsable(request).filter((state) => !probed.has(state) && limiter.isAvailable(state.registered.report.id))
    const scored = candidates.map((state) => ({
      state,
      penalty: computePenalty({
        inFlight: state.inFlight + state.probesInFlight,
        slots: state.registered.report.slots,
        isSameZone: state.registered.report.zone === zone,
        hasIdleConnection: state.pool.countConnections().idle > 0,
        isWarming: state.registered.warmupEndsAtMs > nowMs || limiter.isCold(state.registered.report.id),
        isLimited: limiter.getPerSecond(state.registered.report.id) !== undefined,
        unsuitableReportAgeMs: state.isReportUnsuitable ? nowMs - state.reportAtMs : undefined
      }, request, drawRandom())
    }))
    return scored.sort((a, b) => a.penalty - b.penalty)
  }
  const orderCandidates = (request: SelectionRequest, probed: ReadonlySet<TargetState>): TargetState[] =>
    computeScores(request, probed, random).map(({ state }) => state)
  const countInFlight = ({ state, estimate }: EstimatedTarget, startedAtMs: number, reason: SelectionReason): TargetSelection => {
    state.inFlight += 1
    state.sentCount += 1
    const limitPerSecond = limiter.getPerSecond(state.registered.report.id)
    return { state, expectedMs: estimate.totalMs, waitedMs: clock.monotonicMs() - startedAtMs, reason, limitPerSecond }
  }
  const cancel = ({ state, limitPerSecond }: TargetSelection): void => {
    state.inFlight -= 1
    state.sentCount -= 1
    if (limitPerSecond !== undefined) limiter.release(state.registered.report.id)
  }
  /** Selects a target if its rate limit allows one more request. */
  const tryAcquire = async (candidate: EstimatedTarget, startedAtMs: number, reason: SelectionReason): Promise<TargetSelection | undefined> => {
    const selection = countInFlight(candidate, startedAtMs, reason)
    const { id } = candidate.state.registered.report
    if (selection.limitPerSecond === undefined || await limiter.acquire(id)) return { ...selection, waitedMs: clock.monotonicMs() - startedAtMs }
    candidate.state.inFlight -= 1
    candidate.state.sentCount -= 1
    return undefined
  }
  /** Finds a target whose recent load report shows it suitable. */
  const findReported = (ordered: readonly TargetState[], workMs: number): EstimatedTarget | undefined => {
    const nowMs = clock.monotonicMs()
    for (const state of ordered) {
      if (nowMs - state.reportAtMs > MAX_FRESH_REPORT_AGE_MS) continue
      const estimate = prober.estimate(state, workMs, state.sentCountAtReport)
      if (estimate.isSuitable) return { state, estimate }
    }
    return undefined
  }
  /** Selects the best target by this process's own counts, when no load probe can be sent or none returns a load. */
  const acquireUnprobed = async (request: SelectionRequest, startedAtMs: number): Promise<TargetSelection | undefined> => {
    for (const state of orderCandidates(request, new Set()).slice(0, MAX_UNPROBED_CANDIDATES)) {
      const candidate = { state, estimate: prober.estimate(state, request.workMs, state.sentCountAtReport) }
      if (prober.hasLoadReports() !== false && !canAccept(candidate.estimate, request, clock.monotonicMs())) return undefined
      const selection = await tryAcquire(candidate, startedAtMs, 'untold')
      if (selection) return selection
    }
    return undefined
  }
  /** Selects a cold target if it is the turn of one, so that it gets the few requests that it bears. */
  const acquireCold = async (request: SelectionRequest, startedAtMs: number): Promise<TargetSelection | undefined> => {
    if (!limiter.hasCold()) return undefined
    const usable = listUsable(request)
    const cold = usable.filter(({ registered }) => limiter.isCold(registered.report.id) && limiter.isAvailable(registered.report.id))
    const drawn = drawColdTarget(cold, usable.length, random)
    const [probed] = drawn ? prober.budget.acquireProbes([drawn], 1) : []
    const candidate = probed && await prober.probeCandidates([probed], request.workMs)
    const isFree = candidate !== undefined && candidate.estimate.occupancy <= 1
    return isFree && canAccept(candidate.estimate, request, clock.monotonicMs()) ? tryAcquire(candidate, startedAtMs, 'cold') : undefined
  }
  /** Probes the first candidates that may be probed. Returns the selection, or the fastest target seen; undefined when none may be probed. */
  const searchRound = async (ordered: readonly TargetState[], size: number, { workMs, probed, startedAtMs }: SearchProgress): Promise<SearchRound | undefined> => {
    const reported = findReported(ordered, workMs)
    const acquired = reported && await tryAcquire(reported, startedAtMs, 'reported')
    if (acquired) return { selection: acquired, seen: undefined }
    const candidates = prober.budget.acquireProbes(ordered.filter((state) => state !== reported?.state), size)
    if (candidates.length === 0) return undefined
    for (const state of candidates) probed.add(state)
    const candidate = await prober.probeCandidates(candidates, workMs)
    if (!candidate?.estimate.isSuitable) return { selection: undefined, seen: candidate }
    return { selection: await tryAcquire(candidate, startedAtMs, 'looked'), seen: undefined }
  }
  /** Searches in rounds as planned; returns the first suitable target, else the fastest one seen if the request should go there. */
  const searchRounds = async (request: SelectionRequest, sizes: readonly number[], startedAtMs: number): Promise<TargetSelection | undefined> => {
    const probed = new Set<TargetState>()
    let best: EstimatedTarget | undefined
    let ordered = orderCandidates(request, probed)
    const plan = createProbePlan(sizes, prober.budget.computeSavedShare(ordered))
    scarceCount += Number(plan.endsOnTime)
    for (const size of plan.rounds) {
      if (probed.size > 0) ordered = orderCandidates(request, probed)
      const round = await searchRound(ordered, size, { workMs: request.workMs, probed, startedAtMs })
      if (round?.selection) return round.selection
      if (!round) break
      best = getFaster(best, round.seen)
      if (plan.endsOnTime && best && isOnTime(best.estimate, request, clock.monotonicMs())) break
    }
    if (probed.size === 0) return acquireUnprobed(request, startedAtMs)
    return best && canAccept(best.estimate, request, clock.monotonicMs()) ? tryAcquire(best, startedAtMs, 'best-seen') : undefined
  }
  const searchSpare = async (request: SelectionRequest): Promise<TargetSelection | undefined> => {
    const startedAtMs = clock.monotonicMs()
    const candidates = orderCandidates(request, new Set())
      .filter(({ registered }) => limiter.getPerSecond(registered.report.id) === undefined && registered.warmupEndsAtMs <= startedAtMs)
    const round = await searchRound(candidates, SPARE_PROBES, { workMs: request.workMs, probed: new Set(), startedAtMs })
    if (round?.selection?.limitPerSecond === undefined) return round?.selection
    // The target has advertised a limit on its response to the probe.
    cancel(round.selection)
    return undefined
  }
  return {
    listRegistered: () => shuffle(listAllowed(new Set()).filter((state) => state.pausedUntilMs <= clock.monotonicMs()), random),
    isEvacuated,
    listUsable,
    getResumeAtMs: ({ excluded }) => Math.min(...listAllowed(excluded).map((state) => state.pausedUntilMs)),
    getPermitAtMs: (targets) => Math.min(...targets.map((state) => limiter.getAvailableAtMs(state.registered.report.id))),
    search: async (request, sizes, startedAtMs) => await acquireCold(request, startedAtMs) ?? await searchRounds(request, sizes, startedAtMs),
    searchSpare,
    countScarceSearches: () => scarceCount,
    acquireUnprobed,
    acquireUnlimited: countInFlight,
    tryAcquire,
    cancel,
    explain (request) {
      const nowMs = clock.monotonicMs()
      const candidates = computeScores(request, new Set(), () => 0)
      const usable = new Set(candidates.map(({ state }) => state))
      const others = registry.list(service).map((target) => states.get(target)).filter((state) => !usable.has(state))
      return {
        targets: candidates.map(({ state, penalty }) => explainTarget(state, penalty, prober.estimate(state, request.workMs, state.sentCountAtReport), nowMs)),
        leftOut: others.map((state) => ({
          target: state.registered.report.id,
          zone: state.registered.report.zone,
          reasons: listLeaveOutReasons(state, { nowMs, isEvacuated, hasPermit: limiter.isAvailable })
        }))
      }
    }
  }
}
