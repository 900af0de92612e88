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

/** A customer, whose callers send its key. */
export interface CustomerPlan {
  name: string
  key: string
  /** Quota over all entries, in requests per second; 0 for none. */
  ratePerSecond: number
  burst: number
}

/** How a caller behaves: it waits, leaves before most responses, reads slowly, or sends several requests at once on one connection. */
export type CallerHabit = 'ordinary' | 'leaver' | 'slow-reader' | 'pipeliner'

/** A caller, which sends one request after the other. */
export interface CallerPlan {
  service: number
  /** The customer whose key it sends; undefined in a deployment without customers. */
  customer?: number | undefined
  /** Whether it sends a key that nobody holds. */
  hasUnknownKey?: boolean
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
  /** A share of the requests is run and then gets a response whose status is none. */
  | { kind: 'target-odd-status', target: number, share: number, status: string }
  /** A target turns cold, and bears few requests for a time. */
  | { kind: 'target-cold', target: number }
  /** All targets of a zone are to get nothing for a time. */
  | { kind: 'zone-evacuate', zone: string }
  /** A customer sends many times its usual. */
  | { kind: 'hot-customer', customer: number }
  /** The key of a customer is replaced, and its callers keep the old one. */
  | { kind: 'key-revoke', customer: number }
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
  /** Empty in a deployment whose requests need no key. */
  customers: CustomerPlan[]
  callers: CallerPlan[]
  faults: FaultPlan[]
  lengthMs: number
}

const LENGTH_MS = 16_000
const WARM_UP_MS = 1_500
const MAX_FAULTS = 6
const CALLERS_PER_ENTRY = 12
const UNKNOWN_KEY_SHARE = 0.05
/** Customers of a deployment, of which half have none. */
const MAX_CUSTOMERS = 5
const FAILURE_STATUSES = [408, 421, 429, 500, 503] as const
const FLOOD_PLACES: readonly FloodPlace[] = ['head', 'trailers', 'chunk-extension', 'body', 'tiny-chunks']
/** What a target sends as the status of a response; none of them is one. */
const ODD_STATUSES = ['000', '099', '700', '2000', 'abc', ''] as const
/** The zones of the targets. */
export const TARGET_ZONES = ['zone-a', 'zone-b'] as const
const STORE_FAULTS = ['busy', 'reset', 'silent', 'lost'] as const

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

function drawCustomer ({ drawInteger, drawOne }: Draws, index: number): CustomerPlan {
  const ratePerSecond = drawOne([0, 5, 10, 20, 40])
  return { name: `customer-${index}`, key: `key-of-customer-${index}`, ratePerSecond, burst: drawInteger(0, ratePerSecond) }
}

function drawCaller ({ drawInteger, drawOne, isDrawn }: Draws, serviceCount: number, customerCount: number): CallerPlan {
  const customer = customerCount === 0 ? undefined : drawInteger(0, customerCount - 1)
  return {
    service: drawInteger(0, serviceCount - 1),
    customer,
    hasUnknownKey: customer !== undefined && isDrawn(UNKNOWN_KEY_SHARE),
    habit: drawOne(['ordinary', 'ordinary', 'ordinary', 'ordinary', 'leaver', 'slow-reader', 'pipeliner']),
    keepsConnection: isDrawn(0.5),
    isIdempotent: isDrawn(0.5),
    gapMs: drawInteger(40, 250),
    deadlineMs: drawOne([1_500, 2_000, 4_000])
  }
}

/** What each fault may pick: one entry, one target, and a share. */
interface FaultPicks { entry: number, target: number, share: number, services: number, customers: number }

type DrawFault<K extends FaultKind['kind']> = (draws: Draws, picks: FaultPicks) => Omit<FaultKind & { kind: K }, 'kind'>

const FAULT_DRAWS: { [K in FaultKind['kind']]: DrawFault<K> } = {
  'entry-partition': ({ drawOne }, { entry }) => ({ entry, newConnections: drawOne(['hang', 'close']) }),
  'entry-pause': (_, { entry }) => ({ entry }),
  'entry-kill': (_, { entry }) => ({ entry }),
  'entry-stop': ({ drawInteger }, { entry }) => ({ entry, signalCount: drawInteger(1, 3) }),
  'target-crash': (_, { target }) => ({ target }),
  'target-leave': ({ isDrawn }, { target }) => ({ target, isReported: isDrawn(0.5) }),
  'target-status': ({ drawOne }, { target, share }) => ({ target, share, status: drawOne(FAILURE_STATUSES) }),
  'target-retry-after': (_, { target }) => ({ target }),
  'target-flood': ({ drawOne, isDrawn }, { target, share }) => ({ target, share, place: drawOne(FLOOD_PLACES), isSlow: isDrawn(0.5) }),
  'target-truncate': (_, { target, share }) => ({ target, share }),
  'target-odd-status': ({ drawOne }, { target, share }) => ({ target, share, status: drawOne(ODD_STATUSES) }),
  'target-cold': (_, { target }) => ({ target }),
  'zone-evacuate': ({ drawOne }) => ({ zone: drawOne(TARGET_ZONES) }),
  'hot-customer': ({ drawInteger }, { customers }) => ({ customer: drawInteger(0, Math.max(0, customers - 1)) }),
  'key-revoke': ({ drawInteger }, { customers }) => ({ customer: drawInteger(0, Math.max(0, customers - 1)) }),
  'store-fault': ({ drawOne }) => ({ fault: drawOne(STORE_FAULTS) }),
  'store-restore': ({ drawInteger }) => ({ ageMs: drawInteger(1_000, 6_000) }),
  'deadly-request': ({ drawInteger, isDrawn }, { services }) => ({ service: drawInteger(0, services - 1), hasLeavingCallers: isDrawn(0.5) })
}

/** Every kind of fault, in the order in which they are drawn. */
export const FAULT_KINDS = Object.keys(FAULT_DRAWS) as FaultKind['kind'][]

function drawFault (draws: Draws, kind: FaultKind['kind'], size: { entries: number, targets: number, services: number, customers: number }): FaultKind {
  const { drawInteger, random } = draws
  const entry = drawInteger(0, size.entries - 1)
  const target = drawInteger(0, size.targets - 1)
  const share = 0.1 + random() * 0.5
  return { kind, ...FAULT_DRAWS[kind](draws, { entry, target, share, services: size.services, customers: size.customers }) } as FaultKind
}

/** Draws a plan. */
export function createPlan (seed: number): SoakPlan {
  const draws = createDraws(seed)
  const { drawInteger, drawOne } = draws
  const entryCount = drawInteger(2, 4)
  const services = Array.from({ length: drawInteger(1, 2) }, (_, index) => drawService(draws, index))
  const targets = services.reduce((sum, { targetCount }) => sum + targetCount, 0)
  const customers = Array.from({ length: draws.isDrawn(0.5) ? drawInteger(1, MAX_CUSTOMERS) : 0 }, (_, index) => drawCustomer(draws, index))
  const size = { entries: entryCount, targets, services: services.length, customers: customers.length }
  const faults = Array.from({ length: drawInteger(2, MAX_FAULTS) }, (): FaultPlan => {
    const kind = drawOne(FAULT_KINDS)
    const forMs = drawInteger(1_500, 9_000)
    return { atMs: drawInteger(WARM_UP_MS, LENGTH_MS - Math.min(forMs, LENGTH_MS / 2)), forMs, fault: drawFault(draws, kind, size) }
  })
  return {
    seed,
    entryCount,
    services,
    customers,
    callers: Array.from({ length: entryCount * CALLERS_PER_ENTRY }, () => drawCaller(draws, services.length, customers.length)),
    faults: faults.sort((a, b) => a.atMs - b.atMs),
    lengthMs: LENGTH_MS
  }
}

/** Describes a fault in one line. */
export function formatFault ({ atMs, forMs, fault }: FaultPlan): string {
  const { kind, ...rest } = fault
  return `${(atMs / 1_000).toFixed(1)} to ${((atMs + forMs) / 1_000).toFixed(1)} s: ${kind} ${JSON.stringify(rest)}`
}
