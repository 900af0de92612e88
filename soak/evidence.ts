/**
 * What was seen in a run, arranged for the checks.
 */
import type { RequestEnd, SentRequest, SoakEvent } from './events.ts'

/** The result of one check. */
export interface CheckResult {
  name: string
  /** How often the rule applied. */
  premiseCount: number
  /** What broke the rule, a line each; empty if it held. */
  broken: string[]
}

/** A request with what became of it. */
export interface Request extends SentRequest {
  end: RequestEnd | undefined
  endedAtMs: number
  runs: { target: string, atMs: number }[]
}

type Disturbance = SoakEvent & { type: 'disturbed' }

/** A run, arranged for the checks. */
export interface Evidence {
  events: readonly SoakEvent[]
  requests: Map<string, Request>
  disturbances: Disturbance[]
}

/** Arranges the events of a run. */
export function toEvidence (events: readonly SoakEvent[]): Evidence {
  const requests = new Map<string, Request>()
  for (const event of events) if (event.type === 'sent') requests.set(event.request.id, { ...event.request, end: undefined, endedAtMs: Infinity, runs: [] })
  for (const event of events) {
    if (event.type === 'ended') Object.assign(requests.get(event.id) ?? {}, { end: event.end, endedAtMs: event.atMs })
    if (event.type === 'run') requests.get(event.id)?.runs.push({ target: event.target, atMs: event.atMs })
  }
  return { events, requests, disturbances: events.filter((event) => event.type === 'disturbed') }
}

/** Whether something was done to an entry, other than a partition from targets if that counts as none, in a span of time. */
export function isExcused ({ disturbances }: Evidence, entry: number, fromMs: number, toMs: number, isPartitionExcused = true): boolean {
  return disturbances.some((each) => each.entry === entry && each.atMs <= toMs && each.untilMs >= fromMs && (isPartitionExcused || each.what !== 'entry-partition'))
}

/** Describes a request and its end in one line. */
export function describe ({ id, entry, atMs, end }: Request): string {
  return `${id} at entry ${entry}, sent at ${(atMs / 1_000).toFixed(2)} s: ${end?.kind === 'answered' ? end.status : end?.kind ?? 'no end'}`
}
