/**
 * Draws a deployment, its callers and a series of faults from a seed. The same seed gives the same plan.
 */
import { createRandom } from '../replay/random.ts'

/** A service and its targets. */
export interface ServicePlan {
  name: string
  targetCount: number
  slots: number
  /** Mean time that a target works on a request, in ms. */
  workMs: number
  /** Whether its targets report their load. */
  hasLoadReports: boolean
  /** Timeout of its routes, in ms. */
  timeoutMs: number
}

/** How a caller behaves: it waits, leaves before most responses, or reads slowly. */
export type CallerHabit = 'ordinary' | 'leaver' | 'slow-reader'

/** A caller, which sends one request after the other. */
export interface CallerPlan {
  service: number
  habit: CallerHabit
  /** Whether it keeps its connection for many requests. */
  keepsConnection: boolean
  /** Whether its requests may run more than once. */
  isIdempotent: boolean
  /** Pause between two requests, in ms. */
  gapMs: number
  deadlineMs: number
}

/** What a target sends without end. */
export type FloodPlace = 'head' | 'trailers' | 'chunk-extension' | 'body' | 'tiny-chunks'

/** What goes wrong. `entry` and `target` are numbers within the deployment. */
export type FaultKind =
  | { kind: 'entry-partition', entry: number, newConnections: 'hang' | 'close' }
  | { kind: 'entry-pause', entry: number }
  | { kind: 'entry-kill', entry: number }
  | { kind: 'entry-stop', entry: number, signalCount: number }
  | { kind: 'target-crash', target: number }
  | { kind: 'target-leave', target: number, isReported: boolean }
  /** A share of the requests is run and then fails with this status, which the target does not mark as not run. */
  | { kind: 'target-status', target: number, status: number, share: number }
  | { kind: 'target-retry-after', target: number }
  | { kind: 'target-flood', target: number, place: FloodPlace, share: number, isSlow: boolean }
  | { kind: 'target-truncate', target: number, share: number }
  | { kind: 'store-fault', fault: 'busy' | 'reset' | 'silent' | 'lost' }
  | { kind: 'store-restore', ageMs: number }
  /** A request that crashes the targets that run it comes again and again. */
  | { kind: 'deadly-request', service: number, hasLeavingCallers: boolean }

/** A fault, from when and for how long, in ms after the start of the traffic. */
export interface FaultPlan { atMs: number, forMs: number, fault: FaultKind }

/** Everything that a run plays. */
export interface SoakPlan {
  seed: number
  entryCount: number
  services: ServicePlan[]
  callers: CallerPlan[]
  faults: FaultPlan[]
  lengthMs: number
}

const LENGTH_MS = 16_000
const WARM_UP_MS = 1_500
const MAX_FAULTS = 6
const CALLERS_PER_ENTRY = 12
const FAILURE_STATUSES = [408, 421, 429, 500, 503] as const
const FLOOD_PLACES: readonly FloodPlace[] = ['head', 'trailers', 'chunk-extension', 'body', 'tiny-chunks']
const STORE_FAULTS = ['busy', 'reset', 'silent', 'lost'] as const

/** Every kind of fault, in the order in which they are drawn. */
export const FAULT_KINDS: readonly FaultKind['kind'][] = [
  'entry-partition', 'entry-pause', 'entry-kill', 'entry-stop', 'target-crash', 'target-leave', 'target-status',
  'target-retry-after', 'target-flood', 'target-truncate', 'store-fault', 'store-restore', 'deadly-request'
]

function createDraws (seed: number) {
  const random = createRandom(seed)
  const drawInteger = (from: number, to: number): number => from + Math.floor(random() * (to - from + 1))
  const drawOne = <T>(values: readonly T[]): T => values[Math.floor(random() * values.length)]!
  const isDrawn = (share: number): boolean => random() < share
  return { drawInteger, drawOne, isDrawn, random }
}

type Draws = ReturnType<typeof createDraws>

function drawService ({ drawInteger, drawOne, isDrawn }: Draws, index: number): ServicePlan {
  return {
    name: `service-${index}`,
    targetCount: drawOne([1, 2, 3, 3, 4, 6, 8]),
    slots: drawOne([4, 8, 16]),
    workMs: drawInteger(10, 120),
    hasLoadReports: isDrawn(0.8),
    timeoutMs: drawOne([1_000, 1_200, 1_500])
  }
}

function drawCaller ({ drawInteger, drawOne, isDrawn }: Draws, serviceCount: number): CallerPlan {
  return {
    service: drawInteger(0, serviceCount - 1),
    habit: drawOne(['ordinary', 'ordinary', 'ordinary', 'ordinary', 'leaver', 'slow-reader']),
    keepsConnection: isDrawn(0.5),
    isIdempotent: isDrawn(0.5),
    gapMs: drawInteger(40, 250),
    deadlineMs: drawOne([1_500, 2_000, 4_000])
  }
}

function drawFault ({ drawInteger, drawOne, isDrawn, random }: Draws, kind: FaultKind['kind'], size: { entries: number, targets: number, services: number }): FaultKind {
  const entry = drawInteger(0, size.entries - 1)
  const target = drawInteger(0, size.targets - 1)
  const share = 0.1 + random() * 0.5
  switch (kind) {
    case 'entry-partition': return { kind, entry, newConnections: drawOne(['hang', 'close']) }
    case 'entry-stop': return { kind, entry, signalCount: drawInteger(1, 3) }
    case 'entry-pause':
    case 'entry-kill': return { kind, entry }
    case 'target-leave': return { kind, target, isReported: isDrawn(0.5) }
    case 'target-status': return { kind, target, share, status: drawOne(FAILURE_STATUSES) }
    case 'target-flood': return { kind, target, share, place: drawOne(FLOOD_PLACES), isSlow: isDrawn(0.5) }
    case 'target-truncate': return { kind, target, share }
    case 'target-crash':
    case 'target-retry-after': return { kind, target }
    case 'store-fault': return { kind, fault: drawOne(STORE_FAULTS) }
    case 'store-restore': return { kind, ageMs: drawInteger(1_000, 6_000) }
    case 'deadly-request': return { kind, service: drawInteger(0, size.services - 1), hasLeavingCallers: isDrawn(0.5) }
  }
}

/** Draws a plan. */
export function createPlan (seed: number): SoakPlan {
  const draws = createDraws(seed)
  const { drawInteger, drawOne } = draws
  const entryCount = drawInteger(2, 4)
  const services = Array.from({ length: drawInteger(1, 2) }, (_, index) => drawService(draws, index))
  const targets = services.reduce((sum, { targetCount }) => sum + targetCount, 0)
  const size = { entries: entryCount, targets, services: services.length }
  const faults = Array.from({ length: drawInteger(2, MAX_FAULTS) }, (): FaultPlan => {
    const kind = drawOne(FAULT_KINDS)
    const forMs = drawInteger(1_500, 9_000)
    return { atMs: drawInteger(WARM_UP_MS, LENGTH_MS - Math.min(forMs, LENGTH_MS / 2)), forMs, fault: drawFault(draws, kind, size) }
  })
  return {
    seed,
    entryCount,
    services,
    callers: Array.from({ length: entryCount * CALLERS_PER_ENTRY }, () => drawCaller(draws, services.length)),
    faults: faults.sort((a, b) => a.atMs - b.atMs),
    lengthMs: LENGTH_MS
  }
}

/** Describes a fault in one line. */
export function formatFault ({ atMs, forMs, fault }: FaultPlan): string {
  const { kind, ...rest } = fault
  return `${(atMs / 1_000).toFixed(1)} to ${((atMs + forMs) / 1_000).toFixed(1)} s: ${kind} ${JSON.stringify(rest)}`
}
