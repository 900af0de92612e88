/**
 * Selects targets for the requests of one service. Requests that find none wait for one or are rejected.
 */
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import { createCustomerShares } from '../../request/selection/customer-shares.ts'
import type { CustomerCounts } from '../../request/selection/customer-shares.ts'
import { CROWDED_SHARE } from '../../request/selection/estimate-target.ts'
import type { LoadReport } from '../../request/selection/load-report.ts'
import { canMeetLatencyTarget } from '../../request/selection/request-queue.ts'
import type { TargetId } from '../../types.ts'
import type { SelectionExplanation } from './explain-selection.ts'
import { createLoadProber } from './load-prober.ts'
import type { RequestOutcome } from './load-prober.ts'
import type { Reachability } from './reachability.ts'
import { createRejections } from './rejections.ts'
import { createTargetSearch } from './target-search.ts'
import type { SelectionRequest, TargetSearchOptions, TargetSelection } from './target-search.ts'
import type { TargetState } from './target-states.ts'
import { createWaitingRequests } from './waiting-requests.ts'
import type { Arrival } from './waiting-requests.ts'

/** What a selector has done. */
export interface SelectorCounts {
  /** Load probes sent since the start. */
  loadProbes: number
  /** Searches for a target while few load probes were left, since the start. */
  scarceSearches: number
  /** Requests that were queued since the start. */
  queued: number
  /** Requests rejected since the start because no target was selected. */
  rejected: number
  /** Requests queued at present, by priority. */
  waitingByPriority: Map<number, number>
  /** Customers by what they got lately. */
  customers: CustomerCounts
}

/** Selects targets for the requests of one service. */
export interface ServiceSelector {
  /**
   * Selects a target and counts the request as in flight there. Errors: `no-target`, `queue-full`, `queue-timeout`,
   * `service-evacuated`.
   */
  select(request: SelectionRequest): Promise<Result<TargetSelection, AppError>>
  /** Selects a target for a hedge at once, and counts it as in flight there; undefined when none is suitable. */
  selectSpare(request: SelectionRequest): Promise<TargetSelection | undefined>
  /** Stops counting a request as in flight at a target, and records the load report of its response. */
  release(state: TargetState, report: LoadReport | undefined): void
  /** Undoes a selection whose request was not sent. */
  cancel(selection: TargetSelection): void
  /** Records how a request that was started at `startedAtMs` ended at a target, for ejection. */
  recordOutcome(state: TargetState, outcome: RequestOutcome, startedAtMs: number): void
  /** Whether the targets can be reached, from here and from other entries. */
  reachability: Reachability
  /** Finds out whether these targets can be reached; without them, whether some can. */
  checkReachable(targets?: readonly TargetId[]): void
  /** Explains which targets a request would try now, and why others are left out. */
  explain(request: SelectionRequest): SelectionExplanation
  /** Returns the number of queued requests. */
  countWaiting(): number
  /** Returns what the selector has done. */
  report(): SelectorCounts
}

/** Load probes sent in parallel in each round of a search. */
const PROBES_PER_ROUND = [2, 3, 3] as const
const MS_PER_SECOND = 1_000
/** `Retry-After` of a request that another entry can serve at once, in s. */
const CUT_OFF_RETRY_AFTER_S = 0.01
/** `Retry-After` of a request to a service whose zones are all evacuated, in s. */
const EVACUATED_RETRY_AFTER_S = 1
/** Targets checked at a time for whether they can be reached. */
const MAX_REACH_CHECKS = 3

/** Whether a target is crowded by the request that was just counted there; one that is free takes it, however few slots it has. */
function isCrowding ({ report, registered, inFlight, sentCount, sentCountAtReport }: TargetState): boolean {
  const slots = report?.slots ?? registered.report.slots
  const countWithThis = Math.max(inFlight, report ? report.running + report.waiting + sentCount - sentCountAtReport : 0)
  return countWithThis > 1 && countWithThis / slots > CROWDED_SHARE
}

/** Creates the target selector of a service. */
export function createServiceSelector (options: TargetSearchOptions): ServiceSelector {
  const { service, clock } = options
  const prober = createLoadProber(options)
  const targets = createTargetSearch(options, prober)
  const demand = createCustomerShares()
  const rejections = createRejections(options.random)
  const { reachability } = prober
  const { reject } = rejections
  const isCheckOpen = (state: TargetState): boolean => reachability.isCheckOpen(state.registered.report.id)

  const rejectEvacuated = (): Result<TargetSelection, AppError> =>
    reject('service-evacuated', `All targets of service ${service} are in zones that the operator has asked to evacuate.`, EVACUATED_RETRY_AFTER_S)
  const rejectCutOff = (): Result<TargetSelection, AppError> => {
    if (!reachability.isCutOff()) return reject('no-target', `No entry is known to reach the targets of service ${service} at present.`)
    return reject('no-target', `This entry cannot reach the targets of service ${service} at present; use another entry.`, CUT_OFF_RETRY_AFTER_S)
  }
  /**
   * Cancels a selection that would crowd its target while the request can wait: a crowded target slows down, so that all of
   * them together serve less. Requests without a customer may crowd a target.
   */
  const cancelCrowding = (selection: TargetSelection, request: SelectionRequest): boolean => {
    if (request.customer === undefined || selection.reason !== 'best-seen' || !canMeetLatencyTarget(request, clock.monotonicMs())) return false
    if (!isCrowding(selection.state)) return false
    targets.cancel(selection)
    return true
  }
  const waiting = createWaitingRequests({ ...options, targets, prober, demand, rejections, cancelCrowding, rejectCutOff, rejectEvacuated })
  /** Waits for the first target that accepts requests again, or rejects the request at once when that is too late for it. */
  const waitForPaused = async (request: SelectionRequest, arrival: Arrival): Promise<Result<TargetSelection, AppError>> => {
    const resumeAtMs = targets.getResumeAtMs(request)
    if (resumeAtMs === Infinity) return reject('no-target', `No usable target is left for service ${service}.`)
    if (resumeAtMs + request.workMs <= request.deadlineAtMs) return await waiting.wait(request, arrival)
    return reject('no-target', `All targets of service ${service} reject requests until after the deadline.`, (resumeAtMs - arrival.startedAtMs) / MS_PER_SECOND)
  }
  const selectTarget = async (request: SelectionRequest, arrival: Arrival): Promise<Result<TargetSelection, AppError>> => {
    const { startedAtMs } = arrival
    if (reachability.hasLostAll()) return rejectCutOff()
    const usable = targets.listUsable(request)
    if (usable.length === 0 && targets.isEvacuated()) return rejectEvacuated()
    if (usable.length === 0) return waitForPaused(request, arrival)
    const permitAtMs = targets.getPermitAtMs(usable)
    if (permitAtMs + request.workMs > request.deadlineAtMs) {
      const waitS = (permitAtMs - startedAtMs) / MS_PER_SECOND
      return reject('queue-full', `All targets of service ${service} are at the rate limits that they advertise, or that they bear while cold, until after the deadline.`, waitS)
    }
    if (prober.hasLoadReports() === false) {
      const unprobed = await targets.acquireUnprobed(request, startedAtMs)
      if (unprobed) return ok(unprobed)
    }
    if (waiting.count() > 0) return waiting.wait(request, arrival)
    const selection = await targets.search(request, PROBES_PER_ROUND, startedAtMs)
    return selection && !cancelCrowding(selection, request) ? ok(selection) : waiting.wait(request, arrival)
  }
  return {
    async select (request) {
      const startedAtMs = clock.monotonicMs()
      const isExcess = demand.recordAsked(request, startedAtMs)
      const selection = await selectTarget(request, { startedAtMs, isExcess })
      if (selection.isOk()) demand.recordServed(request, clock.monotonicMs())
      else demand.recordRejected(request, clock.monotonicMs())
      return selection
    },
    selectSpare: targets.searchSpare,
    release (state, report) {
      state.inFlight -= 1
      if (!report) return
      prober.recordReport(state, report)
      waiting.offer(state)
    },
    cancel: targets.cancel,
    recordOutcome: prober.recordOutcome,
    reachability,
    checkReachable (wanted) {
      const registered = targets.listRegistered()
      const ordered = wanted
        ? registered.filter((state) => wanted.includes(state.registered.report.id))
        : registered.sort((a, b) => Number(isCheckOpen(b)) - Number(isCheckOpen(a)))
      prober.checkReachable(ordered, wanted?.length ?? MAX_REACH_CHECKS)
    },
    explain: targets.explain,
    countWaiting: waiting.count,
    report: () => ({
      queued: waiting.countQueued(),
      rejected: rejections.count(),
      loadProbes: prober.countProbes(),
      scarceSearches: targets.countScarceSearches(),
      waitingByPriority: waiting.countByPriority(),
      customers: demand.report(clock.monotonicMs())
    })
  }
}
