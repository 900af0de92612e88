/**
 * The order in which queued requests get targets: by priority, then fair between customers, then by latency target. Requests
 * beyond the share of their customer come last, so that a flood of urgent requests delays no others' less urgent ones.
 *
 * Start-time fair queueing: each customer has a start tag, in ms of work divided by its weight, that rises with each request
 * of it that gets a target. The customer with the lowest tag is next. One that had nothing queued starts at the tag of the
 * customer served last, so that it has no credit for the time before.
 */
import type { CustomerId } from '../../types.ts'
import { createBinaryHeap } from './binary-heap.ts'
import type { BinaryHeap } from './binary-heap.ts'
import type { QueuedRequest } from './request-queue.ts'

/** An item of the order. */
export interface FairItem {
  request: QueuedRequest
  /** Whether it is beyond the share of its customer, and comes after all others whatever its priority; `false` when left out. */
  isExcess?: boolean
}

/** An order of items that each contain a request. */
export interface FairOrder<T extends FairItem> {
  add(item: T): void
  /** Returns the first item without removing it; undefined when there is none. */
  peek(nowMs: number): T | undefined
  /** Removes an item. */
  remove(item: T): void
  /** Charges an item's customer for the target that the item gets, before its removal. */
  charge(item: T, nowMs: number): void
  /** Counts the items that get a target before one that is not there yet. */
  countAhead(item: FairItem, nowMs: number): number
  /** Whether an item is less urgent than one that is not there yet. */
  hasLessUrgent(item: FairItem): boolean
  /** Returns the item that would get a target last; undefined when there is none. */
  findLast(nowMs: number): T | undefined
  count(): number
  /** Counts the items of each priority. */
  countByPriority(): Map<number, number>
}

/** Options of `createFairOrder`. */
export interface FairOrderOptions {
  /** Returns the weight of a customer, above 0. */
  getWeight(customer: CustomerId | undefined, nowMs: number): number
  /** Returns whether the requests of a priority come first now, since they were served too seldom. */
  isNeglected(priority: number, nowMs: number): boolean
}

interface Flow<T> {
  customer: CustomerId | undefined
  startTag: number
  /** In the order of their latency targets. */
  items: T[]
  /** Rises with each change of the flow's place in the order, which makes its earlier ranks obsolete. */
  revision: number
}

/** The place of a flow in the order of its class, until the flow changes. */
interface Rank<T> { flow: Flow<T>, revision: number, startTag: number, latencyTargetAtMs: number }

interface PriorityClass<T> {
  priority: number
  flows: Map<CustomerId | undefined, Flow<T>>
  /** Those of the flows that have items. */
  active: Set<Flow<T>>
  ranks: BinaryHeap<Rank<T>>
  /** Start tag of the flow that was served last. */
  virtualTime: number
  count: number
  sweepSize: number
}

const INITIAL_SWEEP_SIZE = 64
/** Class of the requests beyond the share of their customer. */
const EXCESS_PRIORITY = Infinity

function getPriority ({ request, isExcess }: FairItem): number {
  return isExcess ? EXCESS_PRIORITY : request.priority
}

function createClass<T> (priority: number): PriorityClass<T> {
  const ranks = createBinaryHeap<Rank<T>>((a, b) => a.startTag - b.startTag || a.latencyTargetAtMs - b.latencyTargetAtMs)
  return { priority, flows: new Map(), active: new Set(), ranks, virtualTime: 0, count: 0, sweepSize: INITIAL_SWEEP_SIZE }
}

/** Returns the index of the first item whose latency target is later than an instant; `isOrEqual` when the same one counts too. */
function findIndex<T extends FairItem> (items: readonly T[], latencyTargetAtMs: number, isOrEqual: boolean): number {
  let low = 0
  let high = items.length
  while (low < high) {
    const middle = (low + high) >> 1
    const other = items[middle]!.request.latencyTargetAtMs
    if (other < latencyTargetAtMs || (!isOrEqual && other === latencyTargetAtMs)) low = middle + 1
    else high = middle
  }
  return low
}

/** Creates an order without items. */
export function createFairOrder<T extends FairItem> ({ getWeight, isNeglected }: FairOrderOptions): FairOrder<T> {
  /** In the order of their priorities. */
  const classes: PriorityClass<T>[] = []
  let count = 0

  const getClass = (priority: number): PriorityClass<T> => {
    const known = classes.find((other) => other.priority === priority)
    if (known) return known
    const created = createClass<T>(priority)
    classes.push(created)
    classes.sort((a, b) => a.priority - b.priority)
    return created
  }
  /** Forgets customers that have nothing queued and are owed no delay. */
  const removeIdle = (priorityClass: PriorityClass<T>): void => {
    const { flows, virtualTime } = priorityClass
    for (const [customer, { items, startTag }] of flows) if (items.length === 0 && startTag <= virtualTime) flows.delete(customer)
    priorityClass.sweepSize = Math.max(INITIAL_SWEEP_SIZE, 2 * flows.size)
  }
  const getFlow = (priorityClass: PriorityClass<T>, customer: CustomerId | undefined): Flow<T> => {
    const known = priorityClass.flows.get(customer)
    if (known) return known
    if (priorityClass.flows.size >= priorityClass.sweepSize) removeIdle(priorityClass)
    const flow: Flow<T> = { customer, startTag: priorityClass.virtualTime, items: [], revision: 0 }
    priorityClass.flows.set(customer, flow)
    return flow
  }
  const updateRank = ({ ranks }: PriorityClass<T>, flow: Flow<T>): void => {
    flow.revision += 1
    const head = flow.items[0]
    if (head) ranks.add({ flow, revision: flow.revision, startTag: flow.startTag, latencyTargetAtMs: head.request.latencyTargetAtMs })
  }
  const findHead = ({ ranks }: PriorityClass<T>): T | undefined => {
    for (let rank = ranks.peek(); rank; rank = ranks.peek()) {
      if (rank.revision === rank.flow.revision) return rank.flow.items[0]
      ranks.take()
    }
    return undefined
  }
  const computeCost = ({ workMs, customer }: QueuedRequest, nowMs: number): number => workMs / getWeight(customer, nowMs)
  /** Counts the items of one flow that get a target before the start tag and latency target of another flow's request. */
  const countFlowAhead = ({ startTag, items }: Flow<T>, ownTag: number, latencyTargetAtMs: number, nowMs: number): number => {
    const head = items[0]
    if (!head || startTag > ownTag) return 0
    if (startTag === ownTag) return Number(head.request.latencyTargetAtMs < latencyTargetAtMs)
    return Math.min(items.length, Math.ceil((ownTag - startTag) / computeCost(head.request, nowMs)))
  }
  const countInClass = ({ flows, active, virtualTime }: PriorityClass<T>, request: QueuedRequest, nowMs: number): number => {
    const own = flows.get(request.customer)
    const ownCount = own ? findIndex(own.items, request.latencyTargetAtMs, true) : 0
    const ownTag = Math.max(own?.startTag ?? 0, virtualTime) + ownCount * computeCost(request, nowMs)
    let aheadCount = ownCount
    for (const flow of active) if (flow !== own) aheadCount += countFlowAhead(flow, ownTag, request.latencyTargetAtMs, nowMs)
    return aheadCount
  }
  return {
    add (item) {
      const { customer, latencyTargetAtMs } = item.request
      const priorityClass = getClass(getPriority(item))
      const flow = getFlow(priorityClass, customer)
      if (flow.items.length === 0) flow.startTag = Math.max(flow.startTag, priorityClass.virtualTime)
      const index = findIndex(flow.items, latencyTargetAtMs, false)
      flow.items.splice(index, 0, item)
      priorityClass.active.add(flow)
      priorityClass.count += 1
      count += 1
      if (index === 0) updateRank(priorityClass, flow)
    },
    peek (nowMs) {
      const waiting = classes.filter((priorityClass) => priorityClass.count > 0)
      const next = waiting.find(({ priority }) => isNeglected(priority, nowMs)) ?? waiting[0]
      return next && findHead(next)
    },
    remove (item) {
      const priorityClass = getClass(getPriority(item))
      const flow = priorityClass.flows.get(item.request.customer)
      const index = flow?.items.indexOf(item) ?? -1
      if (!flow || index === -1) return
      flow.items.splice(index, 1)
      if (flow.items.length === 0) priorityClass.active.delete(flow)
      priorityClass.count -= 1
      count -= 1
      if (index === 0) updateRank(priorityClass, flow)
    },
    charge (item, nowMs) {
      const priorityClass = getClass(getPriority(item))
      const flow = priorityClass.flows.get(item.request.customer)
      if (!flow) return
      priorityClass.virtualTime = Math.max(priorityClass.virtualTime, flow.startTag)
      flow.startTag += computeCost(item.request, nowMs)
      updateRank(priorityClass, flow)
    },
    countAhead (item, nowMs) {
      const priority = getPriority(item)
      const isFirst = isNeglected(priority, nowMs)
      let aheadCount = 0
      for (const priorityClass of classes) {
        if (priorityClass.priority === priority) aheadCount += countInClass(priorityClass, item.request, nowMs)
        else if (priorityClass.priority < priority && !isFirst) aheadCount += priorityClass.count
      }
      return aheadCount
    },
    hasLessUrgent: (item) => classes.some(({ priority, count: waitingCount }) => waitingCount > 0 && priority > getPriority(item)),
    findLast (nowMs) {
      const lastClass = classes.findLast((priorityClass) => priorityClass.count > 0)
      let last: { item: T, tag: number } | undefined
      for (const { startTag, items } of lastClass?.active ?? []) {
        const item = items.at(-1)
        if (!item) continue
        const tag = startTag + (items.length - 1) * computeCost(item.request, nowMs)
        if (!last || tag > last.tag || (tag === last.tag && item.request.latencyTargetAtMs > last.item.request.latencyTargetAtMs)) last = { item, tag }
      }
      return last?.item
    },
    count: () => count,
    countByPriority: () => new Map(classes.map((priorityClass) => [priorityClass.priority, priorityClass.count]))
  }
}
