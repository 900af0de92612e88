/**
 * Checks the invariants of the system on a played trace: compares the responses that callers got with the records of
 * the targets.
 */
import { request } from 'undici'
import { formatWorkId } from './build-request.ts'
import type { TargetHost } from './deployment.ts'
import { findTargets } from './run-trace.ts'
import type { PlayedFault, PlayedRequest, PlayedTrace } from './run-trace.ts'

const MS_PER_SECOND = 1000
const LEAVING_GRACE_MS = 2_000
const MAX_SHOWN_FAULTS = 5

/** What one target recorded of its work. */
export interface TargetWorkRecord {
  target: TargetHost
  /** Busy time summed over its slots, in ms. */
  busyMs: number
  /** Operations that it ran, with the idempotency key if there was one. */
  runs: { key?: string, operation: string, atMs: number, state: string }[]
  probes: number
  connections: number
}

/** The check result of one invariant. Written to the report. */
export interface CheckResult {
  invariant: string
  holds: boolean
  /** Number of cases checked. */
  checked: number
  /** Descriptions of the first violations, at most five. */
  faults: string[]
}

/**
 * Cost of the probes that reached the targets of one service, and the measuring budget. `shareOfServerTime` is the
 * cost as a share of the time of all their slots. Written to the report.
 */
export interface MeasuringCost { service: string, probes: number, costMs: number, budgetMs: number, shareOfServerTime: number }

/** Reads the records of the targets. */
export async function readTargetRecords (targets: readonly TargetHost[]): Promise<TargetWorkRecord[]> {
  return Promise.all(targets.map(async (target) => {
    const response = await request(`http://${target.address}:${target.port}/ledger-of-runs`)
    const { busyMs, runs, counts } = await response.body.json() as { busyMs: number, runs: TargetWorkRecord['runs'], counts: { probes: number, connections: number } }
    return { target, busyMs, runs, probes: counts.probes, connections: counts.connections }
  }))
}

function createCheckResult (invariant: string, checked: number, faults: string[]): CheckResult {
  return { invariant, holds: faults.length === 0, checked, faults: faults.slice(0, MAX_SHOWN_FAULTS) }
}

/** Returns the time, caller and operation of a request, for messages. */
function formatRequest ({ line, expected }: PlayedRequest): string {
  return `${line.time} ms ${line.caller} ${expected.recordedOperation}`
}

/** Returns how the body of a response differs from the expected one; undefined when it does not. */
function findContentFault (played: PlayedRequest): string | undefined {
  const { response, expected } = played
  if (expected.download) {
    const isSame = response.bytes === expected.download.bytes && response.sha256 === expected.download.sha256
    return isSame ? undefined : `${formatRequest(played)}: ${response.bytes} bytes received, ${expected.download.bytes} expected, or the digest differs`
  }
  const isOwnOperation = response.text.includes(`"operation":"${expected.recordedOperation}"`)
  return isOwnOperation ? undefined : `${formatRequest(played)}: response to another operation: ${response.text.slice(0, 100)}`
}

function checkResponses (trace: PlayedTrace): CheckResult {
  const successful = trace.requests.filter(({ response }) => response.status === 200)
  return createCheckResult('each caller receives the complete response to its own request', successful.length, successful.flatMap((played) => findContentFault(played) ?? []))
}

/** Counts how often each piece of work ran, by the records of the targets. */
function countRuns (targetRecords: readonly TargetWorkRecord[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const run of targetRecords.flatMap(({ runs }) => runs)) {
    const workId = formatWorkId(run.operation, run.key)
    counts.set(workId, (counts.get(workId) ?? 0) + 1)
  }
  return counts
}

function checkAtMostOnce (trace: PlayedTrace, counts: Map<string, number>): CheckResult {
  const workIds = new Set(trace.requests.flatMap(({ expected }) => expected.workId ?? []))
  const duplicated = [...workIds].filter((workId) => (counts.get(workId) ?? 0) > 1)
  return createCheckResult('non-idempotent work runs at most once', workIds.size, duplicated.map((workId) => `${workId} ran ${counts.get(workId)} times`))
}

/** Groups requests by the piece of work that they request. */
function buildWorkGroups (trace: PlayedTrace): Map<string, PlayedRequest[]> {
  const groups = new Map<string, PlayedRequest[]>()
  for (const played of trace.requests) {
    const workId = played.expected.workId ?? formatWorkId(played.expected.recordedOperation, undefined)
    groups.set(workId, [...groups.get(workId) ?? [], played])
  }
  return groups
}

/** Whether every attempt of a request was reported as not run or never sent. */
function isReportedNotRun ({ response }: PlayedRequest): boolean {
  return response.attempts.every((attempt) => attempt.kind === 'refused' || (attempt.kind === 'answered' && attempt.fate === 'not-run'))
}

function checkNotRunReports (trace: PlayedTrace, counts: Map<string, number>): CheckResult {
  const groups = [...buildWorkGroups(trace)].filter(([, group]) => group.some(isReportedNotRun))
  const faults = groups.flatMap(([workId, group]) => {
    const isAllReportedNotRun = group.every(isReportedNotRun)
    return isAllReportedNotRun && (counts.get(workId) ?? 0) > 0 ? [`${workId} ran although reported as not-run`] : []
  })
  return createCheckResult('a request reported as not-run did not run', groups.length, faults)
}

function checkLeavingTargets (trace: PlayedTrace, targetRecords: readonly TargetWorkRecord[]): CheckResult {
  const leaving = trace.faults.filter(({ line }) => line.what === 'control' && line.with?.['isLeaving'] === true)
  const faults = leaving.flatMap(({ line, atMs }) => findTargets(targetRecords.map(({ target }) => target), line.where).flatMap((target) => {
    const record = targetRecords.find((candidate) => candidate.target === target)
    const lateRuns = record?.runs.filter((run) => run.atMs > atMs + LEAVING_GRACE_MS) ?? []
    const first = lateRuns[0]
    return first ? [`${target.id} received ${lateRuns.length} new requests more than ${LEAVING_GRACE_MS} ms after it began to leave: first ${first.operation} after ${first.atMs - atMs} ms`] : []
  }))
  return createCheckResult('a leaving target receives no new work after 2 s', leaving.length, faults)
}

/** Controls of the target stand-in that break connections whatever the entries do. */
const CONNECTION_FAULTS = ['truncateNext', 'crossNext', 'silenceOpen']

function canBreakConnections ({ line }: PlayedFault): boolean {
  return line.what === 'kill' || line.what === 'freeze' || CONNECTION_FAULTS.some((name) => line.with?.[name])
}

function checkPlannedStops (trace: PlayedTrace, exitCodes: Record<string, number | null | undefined>): CheckResult {
  const stopped = trace.faults.filter(({ line }) => line.what === 'stop')
  const hasConnectionFault = trace.faults.some(canBreakConnections)
  const brokenRequests = hasConnectionFault ? [] : trace.requests.filter(({ response }) => response.attempts.some(({ kind }) => kind === 'broken'))
  const badExits = stopped.filter(({ line }) => exitCodes[line.where] !== 0).map(({ line }) => `${line.where} ended with exit code ${exitCodes[line.where]}`)
  return createCheckResult('no planned stop interrupts a request', hasConnectionFault ? stopped.length : trace.requests.length, [...badExits, ...brokenRequests.map((played) => `${formatRequest(played)}: ${JSON.stringify(played.response.attempts)}`)])
}

/**
 * Checks that no response states an older contract version than a response that was complete before its request was
 * sent.
 */
function checkVersions (trace: PlayedTrace): CheckResult {
  const seen = trace.requests.flatMap((played) => played.response.attempts.flatMap((attempt) => {
    return attempt.kind === 'answered' && attempt.version !== undefined ? [{ played, version: attempt.version }] : []
  }))
  const byEnd = [...seen].sort((a, b) => a.played.endedAtMs - b.played.endedAtMs)
  const byStart = [...seen].sort((a, b) => a.played.startedAtMs - b.played.startedAtMs)
  const faults: string[] = []
  let newestVersion = 0
  let index = 0
  for (const { played, version } of byStart) {
    for (let ended = byEnd[index]; ended && ended.played.endedAtMs < played.startedAtMs; ended = byEnd[++index]) newestVersion = Math.max(newestVersion, ended.version)
    if (version < newestVersion) faults.push(`${formatRequest(played)}: contract version ${version} after version ${newestVersion}`)
  }
  return createCheckResult('the contract version never reverts', seen.length, faults)
}

/** The measuring budget and costs in the contract of a service. */
export interface MeasuringLimits { budgetMsPerSecond: number, probeCostMs: number, connectCostMs: number }

/**
 * Computes the cost of all probes of a service in `elapsedMs`; each probe is also charged the cost of a new connection.
 */
export function computeMeasuringCost (service: string, limits: MeasuringLimits, targetRecords: readonly TargetWorkRecord[], elapsedMs: number): MeasuringCost {
  const own = targetRecords.filter(({ target }) => target.service === service)
  const probes = own.reduce((sum, record) => sum + record.probes, 0)
  const costMs = probes * (limits.probeCostMs + limits.connectCostMs)
  const serverMs = own.reduce((sum, { target }) => sum + target.slots, 0) * elapsedMs
  return { service, probes, costMs, budgetMs: limits.budgetMsPerSecond * elapsedMs / MS_PER_SECOND, shareOfServerTime: costMs / serverMs }
}

function checkMeasuringBudget (costs: readonly MeasuringCost[]): CheckResult {
  const overBudget = costs.filter(({ costMs, budgetMs }) => costMs > budgetMs)
  return createCheckResult('measuring stays within the budget of the contract', costs.length, overBudget.map(({ service, costMs, budgetMs }) => `${service}: ${costMs} ms used, ${Math.round(budgetMs)} ms allowed`))
}

/** Options of `checkInvariants`. */
export interface CheckInvariantsOptions {
  trace: PlayedTrace
  targetRecords: TargetWorkRecord[]
  costs: MeasuringCost[]
  /** Exit codes of the stopped entries, by id. */
  exitCodes: Record<string, number | null | undefined>
}

/** Checks every invariant. */
export function checkInvariants (options: CheckInvariantsOptions): CheckResult[] {
  const { trace, targetRecords, costs, exitCodes } = options
  const counts = countRuns(targetRecords)
  return [
    checkMeasuringBudget(costs),
    checkResponses(trace),
    checkNotRunReports(trace, counts),
    checkAtMostOnce(trace, counts),
    checkLeavingTargets(trace, targetRecords),
    checkPlannedStops(trace, exitCodes),
    checkVersions(trace)
  ]
}
