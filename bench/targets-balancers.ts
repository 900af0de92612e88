/**
 * The balancers that the bench compares: the product's target set, the baselines and an all-knowing reference.
 */
import { setMaxListeners } from 'node:events'
import { createTargetSet } from '../src/process/targets/local-target-set.ts'
import { computeProbeCost } from '../src/process/targets/target-prober.ts'
import type { SendHealthProbe } from '../src/process/targets/target-prober.ts'
import type { ExchangeOutcome, TargetSet } from '../src/process/targets/target-set.ts'
import { createBaselinePolicy } from '../src/request/balancing/baseline-policies.ts'
import { createRatioBudget } from '../src/request/balancing/ratio-budget.ts'
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
  take(exclude: ReadonlySet<TargetId>, canWait: boolean): Promise<BenchPlace | undefined>
  takeHedge(slow: TargetId): boolean
  takeRetry(): boolean
  /** Counts a new request for the budgets. */
  addRequest(): void
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
  /** Whether the product probes. */
  isProbing: boolean
}

/** Probes cost the server the work that the contract names, and see that it is there. */
function createProbe (byId: Map<string, BenchServer>, service: ServiceContract): SendHealthProbe {
  return (target) => new Promise((resolve) => {
    byId.get(target.id)!.send(computeProbeCost(service.measuring), () => resolve({ kind: 'ready' }))
  })
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
    maxEntries: entries.length,
    clock,
    audit: { record: () => {} },
    sendProbe: input.isProbing ? createProbe(byId, service) : undefined,
    random
  })
  const { signal } = new AbortController()
  setMaxListeners(0, signal)
  return {
    set,
    async take (exclude, canWait) {
      const slot = await set.acquireSlot({ exclude, canWait, signal, deadlineMs: clock.monotonicMs() + input.deadlineMs })
      if (slot.isErr()) return undefined
      const server = byId.get(slot.value.target.id)!
      return { server, release: (outcome) => slot.value.release(outcome) }
    },
    takeHedge: (slow) => set.tryAcquireHedge(slow),
    takeRetry: () => set.tryAcquireRetry(),
    addRequest () {}
  }
}

/** Gives the others the product's budgets, so that all are compared at the same extra work. */
function createBudgets ({ service }: BalancerInput): Pick<BenchBalancer, 'takeHedge' | 'takeRetry' | 'addRequest'> {
  const hedges = createRatioBudget({ share: service.hedging.budgetShare })
  const retries = createRatioBudget({ share: service.retries.budgetShare, initialTokens: 1 })
  return {
    addRequest () {
      hedges.addShare()
      retries.addShare()
    },
    takeHedge: () => hedges.tryAcquire(),
    takeRetry: () => retries.tryAcquire()
  }
}

function createBaselineBalancer (input: BalancerInput, kind: BaselineKind): BenchBalancer {
  const { clock, servers, random } = input
  const byId = new Map(servers.map((server) => [server.id, server]))
  const policy = createBaselinePolicy(kind, servers.map((server) => server.id), random)
  return {
    async take (exclude) {
      const server = byId.get(policy.select(exclude) ?? '')
      if (!server) return undefined
      const takenMs = clock.monotonicMs()
      const release = (outcome: ExchangeOutcome) =>
        policy.finish(server.id, outcome.kind === 'answered' ? clock.monotonicMs() - takenMs : undefined)
      return { server, release }
    },
    ...createBudgets(input)
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
    ...createBudgets(input)
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
