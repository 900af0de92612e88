/**
 * The crashes of targets that all entries have reported, with the requests that were running there, and what follows from
 * them for a request: nothing, a suspicion, or its quarantine.
 *
 * A request that was running at a crash is suspected until it completes once. Suspected, it runs in trials only, one at a
 * time over all entries. Crashes of trials put it in quarantine; others do not, because a rack that fails ends many
 * targets with the same popular request at once. Entries that know the same crashes come to the same conclusion.
 */
import type { Clock } from '../../clock.ts'
import type { RequestFingerprint } from '../../request/request-fingerprint.ts'
import type { TargetId } from '../../types.ts'

/**
 * How a request ran that was running at a crash: `ordinary` when it was not suspected at its start; `trial`; or `isolated`,
 * a trial without another suspected request at the target, which had completed requests before.
 */
export type RunKind = 'ordinary' | 'trial' | 'isolated'

/** A request that was running at a target when it crashed. */
export interface CrashedRun { request: RequestFingerprint, kind: RunKind }

/** A crash of a target, as one or more entries saw it. The instant is by the monotonic clock in ms. */
export interface TargetCrash { target: TargetId, atMs: number, runs: CrashedRun[] }

/** What is concluded about a request. Instants by the monotonic clock in ms. */
export type Suspicion =
  | { kind: 'none' }
  /** It may have caused a crash, or its quarantine has passed: a trial may show. */
  | { kind: 'suspected', crashCount: number }
  /** It crashed its targets; it must not run before `untilMs`. */
  | { kind: 'quarantined', crashCount: number, untilMs: number }

/** The crashes that are remembered. */
export interface CrashHistory {
  /** Whether no request is suspected. */
  isEmpty(): boolean
  /** Adds a crash, or what another entry saw of a known one. Returns whether it is news. */
  add(crash: TargetCrash): boolean
  /** Records that a request completed at `atMs`: earlier crashes no longer count against it. Returns whether any did. */
  clear(request: RequestFingerprint, atMs: number): boolean
  /**
   * Records that a trial was cancelled at `atMs` before its end. After a quarantine the next trial then has to wait as for a first
   * quarantine. Returns false, and records nothing, if there has been no quarantine.
   */
  recordUnfinishedTrial(request: RequestFingerprint, atMs: number): boolean
  /** Returns what is concluded about a request. */
  getSuspicion(request: RequestFingerprint): Suspicion
  /** Lists the crashes that count against a request, in the order of time. */
  listCrashes(request: RequestFingerprint): readonly TargetCrash[]
  /** Lists the crashes that count against any request. */
  list(): readonly TargetCrash[]
  /** Returns at most `maxCount` crashes that count against a request, with each call the next ones. */
  takeNext(maxCount: number): TargetCrash[]
  /** Forgets what is too old. Call it periodically. */
  removeExpired(): void
  /** Counts the requests that are suspected or in quarantine. */
  count(): { suspected: number, quarantined: number }
}

/** Reports of crashes of one target within this time are about the same crash, in ms. */
const SAME_CRASH_MS = 1_000
/**
 * Crashes of this many other targets within this time before or after, in ms, point to a common cause such as the loss of a
 * rack. Later ones count for a moment only, so that they cannot end a quarantine.
 */
const COMMON_CAUSE_MS = { before: 500, after: 50 }
const MIN_COMMON_CAUSE_TARGETS = 2
/** A request is put in quarantine after this number of crashed trials, or after one that was conclusive. */
const MAX_CRASHED_TRIALS = 2
/** Duration of the quarantine, in ms: after the trial that led to it, after the next one, and after each one from then on. */
const QUARANTINE_MS = [30_000, 600_000, 86_400_000] as const
/** A crash counts for this time, and for as long after the quarantine of a request that it led to, in ms. */
const MEMORY_MS = 600_000
const MAX_REMEMBERED_CRASHES = 512
const MAX_RUNS_PER_CRASH = 64
const MAX_CLEARED = 1_024
const RUN_KINDS: readonly RunKind[] = ['ordinary', 'trial', 'isolated']

function getQuarantineMs (furtherTrialCount: number): number {
  return QUARANTINE_MS[Math.min(furtherTrialCount, QUARANTINE_MS.length - 1)] ?? 0
}

function getRunKind (crash: TargetCrash, request: RequestFingerprint): RunKind {
  return crash.runs.find((run) => run.request === request)?.kind ?? 'ordinary'
}

/** Creates an empty history. */
export function createCrashHistory (clock: Clock): CrashHistory {
  /** In the order in which they became known. */
  const crashes = new Set<TargetCrash>()
  const byRequest = new Map<RequestFingerprint, TargetCrash[]>()
  /** When requests completed, so that a late report of an earlier crash does not count. */
  const clearedAtMs = new Map<RequestFingerprint, number>()
  /** When the latest trial after a quarantine was cancelled. */
  const unfinishedAtMs = new Map<RequestFingerprint, number>()
  let nextIndex = 0

  const listCrashes = (request: RequestFingerprint): readonly TargetCrash[] => byRequest.get(request) ?? []
  const findSame = ({ target, atMs }: TargetCrash): TargetCrash | undefined =>
    [...crashes].find((known) => known.target === target && Math.abs(known.atMs - atMs) <= SAME_CRASH_MS)
  /** Whether another request at the target had been suspected before, so that either may be the cause. */
  const isAmbiguous = (crash: TargetCrash, request: RequestFingerprint): boolean =>
    crash.runs.some((run) => run.request !== request && listCrashes(run.request).some((other) => other !== crash && other.atMs < crash.atMs))
  const hasCommonCause = (crash: TargetCrash, own: readonly TargetCrash[]): boolean => {
    const fromMs = crash.atMs - COMMON_CAUSE_MS.before
    const toMs = crash.atMs + COMMON_CAUSE_MS.after
    const others = [...crashes].filter((other) => !own.includes(other) && other.atMs >= fromMs && other.atMs <= toMs)
    return others.length >= MIN_COMMON_CAUSE_TARGETS
  }
  const isConclusive = (crash: TargetCrash, request: RequestFingerprint): boolean =>
    getRunKind(crash, request) === 'isolated' && !isAmbiguous(crash, request) && !hasCommonCause(crash, listCrashes(request))
  /** Returns when the quarantine of a request ends or has ended; undefined if it has not been in quarantine. */
  const findQuarantineEnd = (request: RequestFingerprint): number | undefined => {
    const own = listCrashes(request)
    const trials = own.filter((crash) => getRunKind(crash, request) !== 'ordinary')
    const start = trials.findIndex((crash, index) => index + 1 >= MAX_CRASHED_TRIALS || isConclusive(crash, request))
    const last = own.at(-1)
    if (start < 0 || !last) return undefined
    const endMs = last.atMs + getQuarantineMs(trials.length - 1 - start)
    const unfinishedMs = unfinishedAtMs.get(request) ?? -Infinity
    return unfinishedMs >= endMs ? unfinishedMs + getQuarantineMs(0) : endMs
  }
  const getSuspicion = (request: RequestFingerprint): Suspicion => {
    const crashCount = listCrashes(request).length
    if (crashCount === 0) return { kind: 'none' }
    const untilMs = findQuarantineEnd(request)
    return untilMs !== undefined && untilMs > clock.monotonicMs() ? { kind: 'quarantined', crashCount, untilMs } : { kind: 'suspected', crashCount }
  }
  const isInQuarantine = ({ runs }: TargetCrash): boolean => runs.some(({ request }) => getSuspicion(request).kind === 'quarantined')
  /** Returns when a crash no longer counts. */
  const getExpiryMs = ({ atMs, runs }: TargetCrash): number => {
    const ends = runs.map(({ request }) => findQuarantineEnd(request) ?? listCrashes(request).at(-1)?.atMs ?? atMs)
    return Math.max(atMs, ...ends) + MEMORY_MS
  }

  const list = (): TargetCrash[] => [...crashes].filter(({ runs }) => runs.length > 0)
  const removeRun = (request: RequestFingerprint, crash: TargetCrash): void => {
    const rest = listCrashes(request).filter((other) => other !== crash)
    if (rest.length > 0) byRequest.set(request, rest)
    else byRequest.delete(request)
  }
  const remove = (crash: TargetCrash): void => {
    crashes.delete(crash)
    for (const { request } of crash.runs) removeRun(request, crash)
  }
  /** Drops the oldest crash when there is no room for another; those that keep a request in quarantine are forgotten last. */
  const dropOldest = (): void => {
    if (crashes.size < MAX_REMEMBERED_CRASHES) return
    const all = [...crashes]
    const oldest = all.find((crash) => !isInQuarantine(crash)) ?? all[0]
    if (oldest) remove(oldest)
  }
  const addRun = (crash: TargetCrash, { request, kind }: CrashedRun): boolean => {
    if ((clearedAtMs.get(request) ?? -Infinity) >= crash.atMs) return false
    const known = crash.runs.find((run) => run.request === request)
    if (known) {
      const isStronger = RUN_KINDS.indexOf(kind) > RUN_KINDS.indexOf(known.kind)
      if (isStronger) known.kind = kind
      return isStronger
    }
    if (crash.runs.length >= MAX_RUNS_PER_CRASH) return false
    crash.runs.push({ request, kind })
    byRequest.set(request, [...listCrashes(request), crash].sort((a, b) => a.atMs - b.atMs))
    return true
  }
  const recordCleared = (request: RequestFingerprint, atMs: number): void => {
    const latestMs = Math.max(atMs, clearedAtMs.get(request) ?? -Infinity)
    clearedAtMs.delete(request)
    clearedAtMs.set(request, latestMs)
    const [oldest] = clearedAtMs.keys()
    if (clearedAtMs.size > MAX_CLEARED && oldest !== undefined) clearedAtMs.delete(oldest)
  }
  return {
    isEmpty: () => byRequest.size === 0,
    add (crash) {
      const known = findSame(crash)
      const kept = known ?? { ...crash, runs: [] }
      if (!known) {
        dropOldest()
        crashes.add(kept)
      }
      const news = crash.runs.filter((run) => addRun(kept, run))
      return !known || news.length > 0
    },
    clear (request, atMs) {
      recordCleared(request, atMs)
      unfinishedAtMs.delete(request)
      const counting = listCrashes(request).filter((crash) => crash.atMs <= atMs)
      for (const crash of counting) {
        crash.runs = crash.runs.filter((run) => run.request !== request)
        removeRun(request, crash)
      }
      return counting.length > 0
    },
    recordUnfinishedTrial (request, atMs) {
      const endMs = findQuarantineEnd(request)
      if (endMs === undefined || atMs < endMs) return false
      unfinishedAtMs.set(request, atMs)
      return true
    },
    getSuspicion,
    listCrashes,
    list,
    takeNext (maxCount) {
      const counting = list()
      const taken = Array.from({ length: Math.min(maxCount, counting.length) }, (_, index) => counting[(nextIndex + index) % counting.length])
      nextIndex = counting.length > 0 ? (nextIndex + taken.length) % counting.length : 0
      return taken.filter((crash) => crash !== undefined)
    },
    removeExpired () {
      const nowMs = clock.monotonicMs()
      for (const crash of crashes) if (getExpiryMs(crash) < nowMs) remove(crash)
      for (const request of unfinishedAtMs.keys()) if (!byRequest.has(request)) unfinishedAtMs.delete(request)
      for (const [request, atMs] of clearedAtMs) if (atMs + MEMORY_MS < nowMs) clearedAtMs.delete(request)
    },
    count () {
      const kinds = [...byRequest.keys()].map((request) => getSuspicion(request).kind)
      return { suspected: kinds.filter((kind) => kind === 'suspected').length, quarantined: kinds.filter((kind) => kind === 'quarantined').length }
    }
  }
}
