/**
 * Judges a played trace by what the targets noted: a verdict for each invariant of the brief.
 */
import { request } from 'undici'
import { formatOnceName } from './build-request.ts'
import type { TargetHost } from './deployment.ts'
import { findTargets } from './run-trace.ts'
import type { PlayedFault, PlayedRequest, PlayedTrace } from './run-trace.ts'

const MS_PER_SECOND = 1000
const LEAVING_GRACE_MS = 2_000
const SHOWN_FAULTS = 5

/** What one target noted. */
export interface TargetNotes {
  target: TargetHost
  busyMs: number
  runs: { key?: string, operation: string, atMs: number, state: string }[]
  probes: number
  connections: number
}

/** The verdict on one invariant. */
export interface Verdict {
  invariant: string
  holds: boolean
  /** How many cases were looked at. */
  checked: number
  /** What was wrong, the first few. */
  faults: string[]
}

/** What measuring cost one service. */
export interface MeasuringCost { service: string, probes: number, costMs: number, budgetMs: number, shareOfServerTime: number }

/** Reads what the targets noted. */
export async function readNotes (targets: readonly TargetHost[]): Promise<TargetNotes[]> {
  return Promise.all(targets.map(async (target) => {
    const answer = await request(`http://${target.address}:${target.port}/ledger-of-runs`)
    const { busyMs, runs, counts } = await answer.body.json() as { busyMs: number, runs: TargetNotes['runs'], counts: { probes: number, connections: number } }
    return { target, busyMs, runs, probes: counts.probes, connections: counts.connections }
  }))
}

function createVerdict (invariant: string, checked: number, faults: string[]): Verdict {
  return { invariant, holds: faults.length === 0, checked, faults: faults.slice(0, SHOWN_FAULTS) }
}

/** Names a request of the trace in a message. */
function formatLine ({ line, expected }: PlayedRequest): string {
  return `${line.time} ms ${line.caller} ${expected.noted}`
}

/** Returns what is wrong with the content of an answer that a target gave. */
function findContentFault (played: PlayedRequest): string | undefined {
  const { answer, expected } = played
  if (expected.download) {
    const isSame = answer.bytes === expected.download.bytes && answer.sha256 === expected.download.sha256
    return isSame ? undefined : `${formatLine(played)}: ${answer.bytes} bytes in place of ${expected.download.bytes}, or others`
  }
  const isOwn = answer.text.includes(`"operation":"${expected.noted}"`)
  return isOwn ? undefined : `${formatLine(played)}: the answer is ${answer.text.slice(0, 100)}`
}

function checkOwnAnswers (trace: PlayedTrace): Verdict {
  const answered = trace.requests.filter(({ answer }) => answer.status === 200)
  return createVerdict('each caller gets the whole answer to its own request', answered.length, answered.flatMap((played) => findContentFault(played) ?? []))
}

/** Counts how often each work that may not be repeated ran. */
function countRuns (notes: readonly TargetNotes[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const run of notes.flatMap(({ runs }) => runs)) {
    const name = formatOnceName(run.operation, run.key)
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return counts
}

function checkOnce (trace: PlayedTrace, counts: Map<string, number>): Verdict {
  const names = new Set(trace.requests.flatMap(({ expected }) => expected.onceName ?? []))
  const faults = [...names].filter((name) => (counts.get(name) ?? 0) > 1)
  return createVerdict('work that may not be repeated runs at most once', names.size, faults.map((name) => `${name} ran ${counts.get(name)} times`))
}

/** Groups the requests that share one piece of work. */
function sortByWork (trace: PlayedTrace): Map<string, PlayedRequest[]> {
  const groups = new Map<string, PlayedRequest[]>()
  for (const played of trace.requests) {
    const name = played.expected.onceName ?? formatOnceName(played.expected.noted, undefined)
    groups.set(name, [...groups.get(name) ?? [], played])
  }
  return groups
}

/** Whether every attempt of a request was told that it did not run, or was never sent. */
function isToldUnrun ({ answer }: PlayedRequest): boolean {
  return answer.attempts.every((attempt) => attempt.kind === 'refused' || (attempt.kind === 'answered' && attempt.fate === 'not-run'))
}

function checkFates (trace: PlayedTrace, counts: Map<string, number>): Verdict {
  const groups = [...sortByWork(trace)].filter(([, group]) => group.some(isToldUnrun))
  const faults = groups.flatMap(([name, group]) => {
    const isAllUnrun = group.every(isToldUnrun)
    return isAllUnrun && (counts.get(name) ?? 0) > 0 ? [`${name} ran although told not-run`] : []
  })
  return createVerdict('what is refused as not-run did not run', groups.length, faults)
}

function checkLeaving (trace: PlayedTrace, notes: readonly TargetNotes[]): Verdict {
  const leaving = trace.faults.filter(({ line }) => line.what === 'control' && line.with?.['isLeaving'] === true)
  const faults = leaving.flatMap(({ line, atMs }) => findTargets(notes.map(({ target }) => target), line.where).flatMap((target) => {
    const noted = notes.find((note) => note.target === target)
    const late = noted?.runs.filter((run) => run.atMs > atMs + LEAVING_GRACE_MS) ?? []
    const first = late[0]
    return first ? [`${target.id} got ${late.length} new requests later than ${LEAVING_GRACE_MS} ms after it began to leave: ${first.operation} after ${first.atMs - atMs} ms`] : []
  }))
  return createVerdict('a leaving target receives no new work after 2 s', leaving.length, faults)
}

/** Faults that break connections whatever the entries do. */
const BREAKING_CONTROLS = ['truncateNext', 'crossNext', 'silenceOpen']

function isBreaking ({ line }: PlayedFault): boolean {
  return line.what === 'kill' || line.what === 'freeze' || BREAKING_CONTROLS.some((name) => line.with?.[name])
}

function checkStops (trace: PlayedTrace, exitCodes: Record<string, number | null | undefined>): Verdict {
  const stopped = trace.faults.filter(({ line }) => line.what === 'stop')
  const isUnplanned = trace.faults.some(isBreaking)
  const broken = isUnplanned ? [] : trace.requests.filter(({ answer }) => answer.attempts.some(({ kind }) => kind === 'broken'))
  const bad = stopped.filter(({ line }) => exitCodes[line.where] !== 0).map(({ line }) => `${line.where} ended with exit code ${exitCodes[line.where]}`)
  return createVerdict('no planned stop cuts a request', isUnplanned ? stopped.length : trace.requests.length, [...bad, ...broken.map((played) => `${formatLine(played)}: ${JSON.stringify(played.answer.attempts)}`)])
}

/** A version seen after the whole answer of an earlier request must not be older than that one's. */
function checkVersions (trace: PlayedTrace): Verdict {
  const seen = trace.requests.flatMap((played) => played.answer.attempts.flatMap((attempt) => {
    return attempt.kind === 'answered' && attempt.version !== undefined ? [{ played, version: attempt.version }] : []
  }))
  const byEnd = [...seen].sort((a, b) => a.played.endedAtMs - b.played.endedAtMs)
  const byStart = [...seen].sort((a, b) => a.played.startedAtMs - b.played.startedAtMs)
  const faults: string[] = []
  let newest = 0
  let index = 0
  for (const { played, version } of byStart) {
    for (let ended = byEnd[index]; ended && ended.played.endedAtMs < played.startedAtMs; ended = byEnd[++index]) newest = Math.max(newest, ended.version)
    if (version < newest) faults.push(`${formatLine(played)}: version ${version} after ${newest}`)
  }
  return createVerdict('the contract version never reverts', seen.length, faults)
}

/** How a service is measured. */
export interface MeasuringLimits { budgetMsPerSecond: number, probeCostMs: number, connectCostMs: number }

/** Computes what measuring cost; each probe is charged a new connection too. */
export function computeMeasuringCost (service: string, limits: MeasuringLimits, notes: readonly TargetNotes[], elapsedMs: number): MeasuringCost {
  const own = notes.filter(({ target }) => target.service === service)
  const probes = own.reduce((sum, note) => sum + note.probes, 0)
  const costMs = probes * (limits.probeCostMs + limits.connectCostMs)
  const serverMs = own.reduce((sum, { target }) => sum + target.slots, 0) * elapsedMs
  return { service, probes, costMs, budgetMs: limits.budgetMsPerSecond * elapsedMs / MS_PER_SECOND, shareOfServerTime: costMs / serverMs }
}

function checkMeasuring (costs: readonly MeasuringCost[]): Verdict {
  const faults = costs.filter(({ costMs, budgetMs }) => costMs > budgetMs)
  return createVerdict('measuring stays within the budget of the contract', costs.length, faults.map(({ service, costMs, budgetMs }) => `${service}: ${costMs} ms spent of ${Math.round(budgetMs)} ms`))
}

/** What the judge needs. */
export interface JudgeOptions {
  trace: PlayedTrace
  notes: TargetNotes[]
  costs: MeasuringCost[]
  /** Exit codes of entries that were stopped. */
  exitCodes: Record<string, number | null | undefined>
}

/** Judges every invariant. */
export function checkInvariants (options: JudgeOptions): Verdict[] {
  const { trace, notes, costs, exitCodes } = options
  const counts = countRuns(notes)
  return [
    checkMeasuring(costs),
    checkOwnAnswers(trace),
    checkFates(trace, counts),
    checkOnce(trace, counts),
    checkLeaving(trace, notes),
    checkStops(trace, exitCodes),
    checkVersions(trace)
  ]
}
