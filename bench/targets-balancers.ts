/**
 * The balancers that the target selection bench compares: the product's target set, common baseline policies, and an
 * all-knowing reference.
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

/** Names of the compared policies; `product` is this project's own. */
export type BenchPolicy = 'product' | 'all-knowing' | BaselineKind

/** A slot at a server, acquired by an entry. It must be released once. */
export interface BenchSlot { server: BenchServer, release(outcome: ExchangeOutcome): void }

/** The balancer of one entry. */
export interface BenchBalancer {
  /**
   * Selects a server outside `exclude` and acquires a slot there; undefined when there is none. `canWait` allows waiting
   * in the queue; only the product has one.
   */
  acquireSlot(exclude: ReadonlySet<TargetId>, canWait: boolean): Promise<BenchSlot | undefined>
  /** Takes a hedged request from the hedge budget; returns whether it may be sent. `slowTarget` is the target that has not responded. */
  takeHedge(slowTarget: TargetId): boolean
  /** Takes a retry from the retry budget; returns whether it may be sent. */
  takeRetry(): boolean
  /** Refills the budgets by the share of one new request. */
  addRequest(): void
  /** The target set; only the product's balancer has one. */
  set?: TargetSet
}

/** Options for a balancer. */
export interface BalancerOptions {
  clock: EventClock
  servers: readonly BenchServer[]
  service: ServiceContract
  entries: readonly EntryId[]
  self: EntryId
  random: () => number
  /** Maximum time that a request waits for a slot, in ms. */
  maxWaitMs: number
  /** Whether the product sends health probes. */
  isProbing: boolean
}

/** Creates a health probe that takes the contract's probe cost of work at the server and always reports it ready. */
function createProbe (byId: Map<string, BenchServer>, service: ServiceContract): SendHealthProbe {
  return (target) => new Promise((resolve) => {
    byId.get(target.id)!.send(computeProbeCost(service.measuring), () => resolve({ kind: 'ready' }))
  })
}

function createProductBalancer (input: BalancerOptions): BenchBalancer {
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
    async acquireSlot (exclude, canWait) {
      const slot = await set.acquireSlot({ exclude, canWait, signal, deadlineMs: clock.monotonicMs() + input.maxWaitMs })
      if (slot.isErr()) return undefined
      const server = byId.get(slot.value.target.id)!
      return { server, release: (outcome) => slot.value.release(outcome) }
    },
    takeHedge: (slowTarget) => set.tryAcquireHedge(slowTarget),
    takeRetry: () => set.tryAcquireRetry(),
    addRequest () {}
  }
}

/** Creates hedge and retry budgets with the product's shares, so that all policies are compared at the same extra work. */
function createBudgets ({ service }: BalancerOptions): Pick<BenchBalancer, 'takeHedge' | 'takeRetry' | 'addRequest'> {
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

function createBaselineBalancer (input: BalancerOptions, kind: BaselineKind): BenchBalancer {
  const { clock, servers, random } = input
  const byId = new Map(servers.map((server) => [server.id, server]))
  const policy = createBaselinePolicy(kind, servers.map((server) => server.id), random)
  return {
    async acquireSlot (exclude) {
      const server = byId.get(policy.select(exclude) ?? '')
      if (!server) return undefined
      const acquiredAtMs = clock.monotonicMs()
      const release = (outcome: ExchangeOutcome) =>
        policy.finish(server.id, outcome.kind === 'answered' ? clock.monotonicMs() - acquiredAtMs : undefined)
      return { server, release }
    },
    ...createBudgets(input)
  }
}

/** Creates a balancer that knows the current load of every server without delay, which no real balancer can. */
function createAllKnowingBalancer (input: BalancerOptions): BenchBalancer {
  return {
    async acquireSlot (exclude) {
      const candidates = input.servers.filter((server) => !exclude.has(toBrand<TargetId>(server.id)) && !server.isFailing)
      const minLoad = Math.min(...candidates.map((server) => server.load))
      const best = candidates.filter((server) => server.load === minLoad)
      const server = best[Math.floor(input.random() * best.length)]
      return server && { server, release: () => {} }
    },
    ...createBudgets(input)
  }
}

/** Creates the balancer of one entry for a policy. */
export function createBalancer (policy: BenchPolicy, input: BalancerOptions): BenchBalancer {
  switch (policy) {
    case 'product': return createProductBalancer(input)
    case 'all-knowing': return createAllKnowingBalancer(input)
    default: return createBaselineBalancer(input, policy)
  }
}
