/**
 * The queue of requests that wait for a place: by rank, then by the instant until which their answer is worth most.
 */

/** What decides the order. */
export interface QueueOrder {
  /** Rank; 0 is the most urgent. */
  priority: number
  /** By the monotonic clock in ms. */
  aimAtMs: number
}

/** A queue in that order. */
export interface WaitingQueue<T> {
  add(item: T, order: QueueOrder): void
  /** Returns the first item; undefined when the queue is empty. */
  peek(): T | undefined
  remove(item: T): void
  count(): number
}

interface Place<T> { item: T, order: QueueOrder }

function compareOrder (a: QueueOrder, b: QueueOrder): number {
  return a.priority - b.priority || a.aimAtMs - b.aimAtMs
}

/** Creates an empty queue. */
export function createWaitingQueue<T> (): WaitingQueue<T> {
  const places: Place<T>[] = []
  return {
    add (item, order) {
      const at = places.findIndex((place) => compareOrder(order, place.order) < 0)
      places.splice(at < 0 ? places.length : at, 0, { item, order })
    },
    peek: () => places[0]?.item,
    remove (item) {
      const at = places.findIndex((place) => place.item === item)
      if (at >= 0) places.splice(at, 1)
    },
    count: () => places.length
  }
}
