/**
 * The queue of requests that wait for a target, ordered by priority, fairly between customers, and then by latency target.
 * Requests that can no longer meet their latency target come after all others.
 */
import type { CustomerId } from '../../types.ts'
import { createBinaryHeap } from './binary-heap.ts'
import { createCustomerShares } from './customer-shares.ts'
import type { CustomerShares } from './customer-shares.ts'
import { createFairOrder } from './fair-order.ts'
import type { FairItem, FairOrder } from './fair-order.ts'

/** What the queue needs of a request. Instants by the monotonic clock in ms. */
export interface QueuedRequest {
  /** The customer whose request it is; undefined without customers. */
  customer: CustomerId | undefined
  /** Priority; 0 is the most urgent. */
  priority: number
  /** Latency target: the response should come by this instant. */
  latencyTargetAtMs: number
  /** Deadline: a response after this instant is useless. */
  deadlineAtMs: number
  /** Time that the work takes on a target of normal speed, in ms. */
  workMs: number
  /** Whether the caller has closed its connection. */
  isCallerGone(): boolean
}

/** A queue of items that each contain a request. */
export interface RequestQueue<T extends FairItem> {
  add(item: T): void
  /** Returns the first item without removing it; undefined when the queue is empty. */
  peek(nowMs: number): T | undefined
  /** Removes an item that gets a target, and charges its customer for it. */
  take(item: T, nowMs: number): void
  remove(item: T): void
  /** Removes and returns the items that can no longer meet their deadline or whose caller has left. */
  removeExpired(nowMs: number): T[]
  /** Removes and returns the items that can no longer meet their latency target, provided that another item can. */
  removeLate(nowMs: number): T[]
  /** Removes and returns all items. */
  removeAll(): T[]
  /** Counts the items ahead of one that is not there yet. */
  countAhead(item: FairItem, nowMs: number): number
  /** Whether a less urgent item than one that is not there yet can still meet its latency target. */
  hasLessUrgent(item: FairItem, nowMs: number): boolean
  /** Returns the last of the items that can still meet their latency target; undefined when there is none. */
  findLast(nowMs: number): T | undefined
  count(): number
  /** Counts the items of each priority. */
  countByPriority(): Map<number, number>
}

/** Margin for work that takes longer than its mean. */
const WORK_TIME_MARGIN = 1.15

/** Returns whether a request can meet its latency target if its work starts at `startMs`. */
export function canMeetLatencyTarget ({ latencyTargetAtMs, workMs }: QueuedRequest, startMs: number): boolean {
  return startMs + workMs * WORK_TIME_MARGIN <= latencyTargetAtMs
}

function computeLatestStart ({ latencyTargetAtMs, workMs }: QueuedRequest): number {
  return latencyTargetAtMs - workMs * WORK_TIME_MARGIN
}

/** When an item becomes late; without the item once that has left the queue. */
interface LateCheck<T> { latestStartMs: number, item: T | undefined }

/** Where a queued item stands. */
interface Place<T extends FairItem> { order: FairOrder<T>, check: LateCheck<T> }

/** Creates an empty queue. The default meter knows no customers, so that all weigh the same. */
export function createRequestQueue<T extends FairItem> (demand: CustomerShares = createCustomerShares()): RequestQueue<T> {
  const onTime = createFairOrder<T>(demand)
  const late = createFairOrder<T>(demand)
  const places = new Map<T, Place<T>>()
  /** The instants at which items become late. */
  const byLatestStart = createBinaryHeap<LateCheck<T>>((a, b) => a.latestStartMs - b.latestStartMs)

  const remove = (item: T): void => {
    const place = places.get(item)
    if (!place) return
    place.order.remove(item)
    // The check stays until its instant, but must not keep the request with its body until then.
    place.check.item = undefined
    places.delete(item)
  }
  const removeWhere = (isRemoved: (item: T) => boolean): T[] => {
    const removed = [...places.keys()].filter(isRemoved)
    for (const item of removed) remove(item)
    return removed
  }
  const moveToLate = (item: T): void => {
    const place = places.get(item)
    if (place?.order !== onTime) return
    onTime.remove(item)
    late.add(item)
    place.order = late
  }
  const updateLate = (nowMs: number): void => {
    for (let first = byLatestStart.peek(); first && (!first.item || !canMeetLatencyTarget(first.item.request, nowMs)); first = byLatestStart.peek()) {
      byLatestStart.take()
      if (first.item) moveToLate(first.item)
    }
  }
  return {
    add (item) {
      const check: LateCheck<T> = { latestStartMs: computeLatestStart(item.request), item }
      onTime.add(item)
      places.set(item, { order: onTime, check })
      byLatestStart.add(check)
    },
    peek (nowMs) {
      updateLate(nowMs)
      return onTime.peek(nowMs) ?? late.peek(nowMs)
    },
    take (item, nowMs) {
      places.get(item)?.order.charge(item, nowMs)
      remove(item)
    },
    remove,
    removeExpired: (nowMs) => removeWhere(({ request }) => request.isCallerGone() || nowMs + request.workMs > request.deadlineAtMs),
    removeLate (nowMs) {
      updateLate(nowMs)
      return onTime.count() === 0 || late.count() === 0 ? [] : removeWhere((item) => places.get(item)?.order === late)
    },
    removeAll: () => removeWhere(() => true),
    countAhead (item, nowMs) {
      updateLate(nowMs)
      return canMeetLatencyTarget(item.request, nowMs) ? onTime.countAhead(item, nowMs) : onTime.count() + late.countAhead(item, nowMs)
    },
    hasLessUrgent (item, nowMs) {
      updateLate(nowMs)
      return onTime.hasLessUrgent(item)
    },
    findLast (nowMs) {
      updateLate(nowMs)
      return onTime.findLast(nowMs)
    },
    count: () => places.size,
    countByPriority () {
      const counts = onTime.countByPriority()
      for (const [priority, count] of late.countByPriority()) counts.set(priority, count + (counts.get(priority) ?? 0))
      return counts
    }
  }
}
