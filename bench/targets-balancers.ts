/**
 * The balancers that the bench compares: the product's target set, the baselines and an all-knowing reference.
 */
import { createTargetSet } from '../src/process/targets/local-target-set.ts'
import type { ExchangeOutcome, TargetSet } from '../src/process/targets/target-set.ts'
import { createBaselinePolicy } from '../src/request/balancing/baseline-policies.ts'
import type { BaselineKind } from '../src/request/balancing/baseline-policies.ts'
import { toBrand } from '../src/types.ts'
import type { CustomerId, EntryId, ServiceId, TargetId } from '../src/types.ts'
import type { ServiceContract } from '../src/version/contract.ts'
import type { EventClock } from './targets-clock.ts'
import type { BenchServer } from './targets-model.ts'

/** What the bench compares. */
export type BenchPolicy = 'product' | 'all-knowing' | BaselineKind

/** A place at a server, taken by an entry. */
export interface BenchPlace { server: BenchServer, release(outcome: ExchangeOutcome): void }

/** A balancer at one entry. */
export interface BenchBalancer {
  /** Takes a place; undefined when refused. */
  take(exclude: ReadonlySet<TargetId>, mayWait: boolean): Promise<BenchPlace | undefined>
  takeHedge(): boolean
  takeRetry(): boolean
  /** The product's target set, when this is the product. */
  set?: TargetSet
}

/** What balancers are made from. */
export interface BalancerInput {
  clock: EventClock
  servers: readonly BenchServer[]
  service: ServiceContract
  entries: readonly EntryId[]
  self: EntryId
  random: () => number
  /** The longest that a request waits for a place, in ms. */
  deadlineMs: number
}

function createProductBalancer (input: BalancerInput): BenchBalancer {
  const { clock, servers, service, entries, self, random } = input
  const byId = new Map(servers.map((server) => [server.id, server]))
  const set = createTargetSet({
    customer: toBrand<CustomerId>('bench'),
    serviceId: toBrand<ServiceId>('bench'),
    service,
    self,
    entries,
    largestEntries: entries.length,
    clock,
    audit: { record: () => {} },
    random
  })
  const { signal } = new AbortController()
  return {
    set,
    async take (exclude, mayWait) {
      const slot = await set.takeSlot({ exclude, mayWait, signal, deadlineMs: clock.monotonicMs() + input.deadlineMs })
      if (slot.isErr()) return undefined
      const server = byId.get(slot.value.target.id)!
      return { server, release: (outcome) => slot.value.release(outcome) }
    },
    takeHedge: () => set.takeHedge(),
    takeRetry: () => set.takeRetry()
  }
}

function createBaselineBalancer (input: BalancerInput, kind: BaselineKind): BenchBalancer {
  const { clock, servers, random } = input
  const byId = new Map(servers.map((server) => [server.id, server]))
  const policy = createBaselinePolicy(kind, servers.map((server) => server.id), random)
  return {
    async take (exclude) {
      const server = byId.get(policy.choose(exclude) ?? '')
      if (!server) return undefined
      const takenMs = clock.monotonicMs()
      const release = (outcome: ExchangeOutcome) =>
        policy.finish(server.id, outcome.kind === 'answered' ? clock.monotonicMs() - takenMs : undefined)
      return { server, release }
    },
    takeHedge: () => true,
    takeRetry: () => true
  }
}

/** Sees the true load of every server at once; no real balancer can. */
function createAllKnowingBalancer (input: BalancerInput): BenchBalancer {
  return {
    async take (exclude) {
      const open = input.servers.filter((server) => !exclude.has(toBrand<TargetId>(server.id)) && !server.isFailing)
      const least = Math.min(...open.map((server) => server.load))
      const best = open.filter((server) => server.load === least)
      const server = best[Math.floor(input.random() * best.length)]
      return server && { server, release: () => {} }
    },
    takeHedge: () => true,
    takeRetry: () => true
  }
}

/** Creates the balancer of a policy for one entry. */
export function createBalancer (policy: BenchPolicy, input: BalancerInput): BenchBalancer {
  switch (policy) {
    case 'product': return createProductBalancer(input)
    case 'all-knowing': return createAllKnowingBalancer(input)
    default: return createBaselineBalancer(input, policy)
  }
}
