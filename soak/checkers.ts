/**
 * Checks what callers and targets saw in a run against the platform's rules. Each check also counts how often its premise came
 * about, so that one that never applies is seen.
 */
import { checkCold, checkCustomer, checkEvacuated, checkQuota, checkRevoked } from './customer-checkers.ts'
import type { SoakEvent } from './events.ts'
import { describe, isExcused, toEvidence } from './evidence.ts'
import type { CheckResult, Evidence, Request } from './evidence.ts'
import { formatBody } from './targets.ts'

/** Time after which a fault must no longer show, in ms: `stableWindow` and `drain` of the platform, and the slack for final responses. */
const STABLE_WINDOW_MS = 3_000
const DRAIN_MS = 2_000
const FINAL_SLACK_MS = 500
const RETRY_AFTER_SLACK_MS = 500
const MIN_PARTITION_MS = 5_000
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])
/** What the rules allow: responses that are not final in time, requests within a `Retry-After`, crashed retries, lost connections. */
const ALLOWED_LATE = { count: 8, share: 0.25 }
const ALLOWED_WITHIN_RETRY_AFTER = 2
const ALLOWED_DEADLY = 3
const ALLOWED_LOST = 3
const ALLOWED_FAILURES = { count: 10, share: 1 / 50 }
const MIN_SERVED_SHARE = 2 / 3

function checkOnce ({ requests }: Evidence): CheckResult {
  const ran = [...requests.values()].filter(({ isIdempotent, runs }) => !isIdempotent && runs.length > 0)
  return { name: 'once', premiseCount: ran.length, broken: ran.filter(({ runs }) => runs.length > 1).map(describe) }
}

function checkRefused ({ requests }: Evidence): CheckResult {
  const refused = [...requests.values()].filter(({ isIdempotent, end }) => !isIdempotent && end?.kind === 'answered' && NOT_RUN_STATUSES.has(end.status))
  return { name: 'refused', premiseCount: refused.length, broken: refused.filter(({ runs }) => runs.length > 0).map(describe) }
}

function checkWhole ({ requests }: Evidence): CheckResult {
  const successes = [...requests.values()].filter(({ end }) => end?.kind === 'answered' && end.status === 200)
  const isWhole = ({ id, end, runs }: Request): boolean =>
    end?.kind === 'answered' && end.signature === `${end.target} ${id}` && runs.some(({ target }) => target === end.target) && end.body === formatBody(id, end.target ?? '')
  return { name: 'whole', premiseCount: successes.length, broken: successes.filter((request) => !isWhole(request)).map(describe) }
}

function checkRoute ({ events, requests }: Evidence): CheckResult {
  const runs = events.filter((event) => event.type === 'run')
  const misrouted = runs.filter(({ id, service }) => requests.get(id)?.service !== service)
  return { name: 'route', premiseCount: runs.length, broken: misrouted.map(({ id, target }) => `${id} ran at ${target}`) }
}

/** Requests that last longer than the timeout of their route must have a final answer shortly after it. */
function checkFinal (evidence: Evidence): CheckResult {
  const long = [...evidence.requests.values()].filter(({ atMs, endedAtMs, timeoutMs, entry, end }) =>
    endedAtMs - atMs > timeoutMs && end?.kind !== 'left' && !isExcused(evidence, entry, atMs, endedAtMs))
  const late = long.filter(({ atMs, endedAtMs, timeoutMs }) => endedAtMs - atMs > timeoutMs + FINAL_SLACK_MS)
  const isBroken = late.length >= ALLOWED_LATE.count && late.length > long.length * ALLOWED_LATE.share
  return { name: 'final', premiseCount: long.length, broken: isBroken ? late.map(describe) : [] }
}

/** A request that was sent later than the drain time after its entry passed on that a target leaves must not reach that target. */
function checkDrain (evidence: Evidence): CheckResult {
  const passedAtMs = new Map<string, number>()
  for (const { entry, end, endedAtMs } of evidence.requests.values()) {
    if (end?.kind !== 'answered' || !end.isLeaving || end.target === undefined) continue
    const key = `${entry} ${end.target}`
    passedAtMs.set(key, Math.min(endedAtMs, passedAtMs.get(key) ?? Infinity))
  }
  const late = [...evidence.requests.values()].filter(({ entry, atMs, runs }) => runs.some(({ target }) => {
    const passedMs = passedAtMs.get(`${entry} ${target}`)
    return passedMs !== undefined && atMs > passedMs + DRAIN_MS && !isExcused(evidence, entry, passedMs, atMs, false)
  }))
  return { name: 'drain', premiseCount: passedAtMs.size, broken: late.map(describe) }
}

/** Callers must be served elsewhere while an entry is partitioned from all targets. */
function checkRecover ({ requests, disturbances }: Evidence): CheckResult {
  const partitions = disturbances.filter(({ what, atMs, untilMs }) => what === 'entry-partition' && untilMs - atMs - STABLE_WINDOW_MS >= MIN_PARTITION_MS)
  const broken = partitions.flatMap(({ entry, atMs, untilMs }) => {
    const [fromMs, toMs] = [atMs + STABLE_WINDOW_MS, untilMs - STABLE_WINDOW_MS]
    const others = disturbances.filter((each) => each.entry !== undefined && each.atMs < toMs && each.untilMs > fromMs)
    const tries = [...requests.values()].filter((request) => request.isFirst && !request.isDeadly && request.end?.kind !== 'left' && request.atMs > fromMs && request.atMs < toMs)
    const isServed = ({ end }: Request): boolean => end?.kind === 'answered' && end.status === 200
    const here = tries.filter((request) => request.entry === entry)
    const elsewhere = tries.filter((request) => !others.some((each) => each.entry === request.entry))
    const failedCount = here.filter((request) => !isServed(request)).length
    const share = here.length > 0 ? 1 - failedCount / here.length : 1
    const shareElsewhere = elsewhere.length > 0 ? elsewhere.filter(isServed).length / elsewhere.length : 0
    const isBroken = share < shareElsewhere * MIN_SERVED_SHARE && failedCount > ALLOWED_FAILURES.count + tries.length * ALLOWED_FAILURES.share
    return isBroken ? [`entry ${entry}: ${failedCount} of ${here.length} first tries failed; served elsewhere ${(shareElsewhere * 100).toFixed(0)}%`] : []
  })
  return { name: 'recover', premiseCount: partitions.length, broken }
}

function checkDeadly ({ events, requests }: Evidence): CheckResult {
  const crashes = events.filter((event) => event.type === 'crashed').filter(({ isByRequest }) => isByRequest)
  const third = crashes[2]
  if (!third) return { name: 'deadly', premiseCount: 0, broken: [] }
  const later = [...requests.values()].filter(({ isDeadly, atMs, runs }) => isDeadly && atMs > third.atMs + STABLE_WINDOW_MS && runs.length > 0)
  return { name: 'deadly', premiseCount: 1, broken: later.length > ALLOWED_DEADLY ? later.map(describe) : [] }
}

/** An entry that a target has rejected with `Retry-After` must not send it more than a few requests within that time. */
function checkRetryAfter (evidence: Evidence): CheckResult {
  const paused = evidence.events.filter((event) => event.type === 'paused')
  const firsts = new Map<string, { fromMs: number, untilMs: number, entry: number, count: number }>()
  for (const { id, target, atMs, untilMs } of paused) {
    const entry = evidence.requests.get(id)?.entry
    if (entry === undefined) continue
    const key = `${entry} ${target} ${untilMs}`
    const known = firsts.get(key) ?? { fromMs: atMs + RETRY_AFTER_SLACK_MS, untilMs, entry, count: 0 }
    firsts.set(key, known)
    if (atMs > known.fromMs) known.count += 1
  }
  const broken = [...firsts].filter(([, { count, entry, fromMs, untilMs }]) => count > ALLOWED_WITHIN_RETRY_AFTER && !isExcused(evidence, entry, fromMs, untilMs))
  return { name: 'retry-after', premiseCount: firsts.size, broken: broken.map(([key, { count }]) => `entry, target and end ${key}: ${count} requests`) }
}

/** A request on a kept connection that a sound target runs must not end with a closed connection. */
function checkLost (evidence: Evidence): CheckResult {
  const isSound = (target: string, fromMs: number, toMs: number): boolean => !evidence.events.some((event) =>
    (event.type === 'crashed' && event.target === target && event.atMs >= fromMs && event.atMs <= toMs) ||
    (event.type === 'disturbed' && event.target === target && event.atMs <= toMs))
  const kept = [...evidence.requests.values()].filter(({ isReused, entry, atMs, endedAtMs, runs }) =>
    isReused && runs.length > 0 && !isExcused(evidence, entry, atMs, endedAtMs) && runs.every(({ target }) => isSound(target, atMs, endedAtMs)))
  const lost = kept.filter(({ end }) => end?.kind === 'closed')
  return { name: 'lost', premiseCount: kept.length, broken: lost.length > ALLOWED_LOST ? lost.map(describe) : [] }
}

function checkProcesses ({ events, disturbances }: Evidence): CheckResult {
  const ended = events.filter((event) => event.type === 'entry-ended')
  return { name: 'processes', premiseCount: 1 + disturbances.filter(({ entry }) => entry !== undefined).length, broken: ended.map(({ entry, detail }) => `entry ${entry}: ${detail}`) }
}

const CHECKS = [checkOnce, checkRefused, checkWhole, checkRoute, checkFinal, checkDrain, checkRecover, checkDeadly, checkRetryAfter, checkLost, checkProcesses, checkCustomer, checkRevoked, checkQuota, checkCold, checkEvacuated]

/** Checks the events of a run. */
export function checkRun (events: readonly SoakEvent[]): CheckResult[] {
  const evidence = toEvidence(events)
  return CHECKS.map((check) => check(evidence))
}
