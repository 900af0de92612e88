/**
 * The queue of requests that wait for a place: by rank, then by the instant until which their answer is worth most.
 * Requests that can no longer be answered by then come after all others.
 */

/** What decides the order of a waiting request. Instants by the monotonic clock in ms. */
export interface QueueOrder {
  /** Rank; 0 is the most urgent. */
  priority: number
  /** An answer by this instant is worth most. */
  aimAtMs: number
  /** An answer after this instant is worth nothing. */
  deadlineAtMs: number
  /** Time that the work takes on a target of usual speed, in ms. */
  workMs: number
  /** Whether the caller has left. */
  isGone(): boolean
}

/** A queue in that order. */
export interface WaitingQueue<T extends { request: QueueOrder }> {
  add(item: T): void
  /** Returns the item whose turn it is; undefined when the queue is empty. */
  peek(nowMs: number): T | undefined
  remove(item: T): void
  /** Takes out the items that can no longer be answered in any time that counts, or whose caller has left. */
  takeExpired(nowMs: number): T[]
  /** Takes out the items that missed their aim, if others wait that have not. */
  takeLateBehindOthers(nowMs: number): T[]
  /** Counts the items that go before a request. */
  countBefore(order: QueueOrder, nowMs: number): number
  count(): number
}

/** The work may take longer than usual by this factor. */
const WORK_SPREAD = 1.15

/** Whether an answer can still come by the aim if the work begins at `startMs`. */
export function canMeetAim ({ aimAtMs, workMs }: Pick<QueueOrder, 'aimAtMs' | 'workMs'>, startMs: number): boolean {
  return startMs + workMs * WORK_SPREAD <= aimAtMs
}

function compareOrder (a: QueueOrder, b: QueueOrder, nowMs: number): number {
  return Number(canMeetAim(b, nowMs)) - Number(canMeetAim(a, nowMs)) || a.priority - b.priority || a.aimAtMs - b.aimAtMs
}

/** Creates an empty queue. */
export function createWaitingQueue<T extends { request: QueueOrder }> (): WaitingQueue<T> {
  let items: T[] = []
  const takeWhere = (isTaken: (item: T) => boolean): T[] => {
    const taken = items.filter(isTaken)
    if (taken.length > 0) items = items.filter((item) => !isTaken(item))
    return taken
  }
  return {
    add (item) {
      items.push(item)
    },
    peek (nowMs) {
      let first = items[0]
      for (const item of items) if (first && compareOrder(item.request, first.request, nowMs) < 0) first = item
      return first
    },
    remove (item) {
      items = items.filter((other) => other !== item)
    },
    takeExpired: (nowMs) => takeWhere(({ request }) => request.isGone() || nowMs + request.workMs > request.deadlineAtMs),
    takeLateBehindOthers (nowMs) {
      if (!items.some(({ request }) => canMeetAim(request, nowMs))) return []
      return takeWhere(({ request }) => !canMeetAim(request, nowMs))
    },
    countBefore: (order, nowMs) => items.filter(({ request }) => compareOrder(request, order, nowMs) < 0).length,
    count: () => items.length
  }
}
