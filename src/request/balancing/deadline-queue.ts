/**
 * A bounded queue ordered by deadline; items with equal deadlines keep their order of arrival.
 */

/** A queue of items with deadlines. */
export interface DeadlineQueue<T> {
  /** Adds an item with its deadline, an instant in ms; false when the queue is full. */
  add(item: T, deadlineAtMs: number): boolean
  /** Removes an item; false when it is not in the queue. */
  remove(item: T): boolean
  /** Lists the items, the earliest deadline first. */
  list(): T[]
  count(): number
  /** Changes the maximum length; items beyond it stay queued. */
  updateMaxLength(maxLength: number): void
}

interface QueuedItem<T> { item: T, deadlineAtMs: number }

/** Finds the first index whose deadline is later than `deadlineAtMs`. */
function findIndexAfter<T> (queued: readonly QueuedItem<T>[], deadlineAtMs: number): number {
  let low = 0
  let high = queued.length
  while (low < high) {
    const middle = (low + high) >>> 1
    const element = queued[middle]
    if (element && element.deadlineAtMs <= deadlineAtMs) low = middle + 1
    else high = middle
  }
  return low
}

/** Creates an empty queue for at most `maxLength` items. */
export function createDeadlineQueue<T> (maxLength: number): DeadlineQueue<T> {
  const queued: QueuedItem<T>[] = []
  let limit = maxLength
  return {
    add (item, deadlineAtMs) {
      if (queued.length >= limit) return false
      queued.splice(findIndexAfter(queued, deadlineAtMs), 0, { item, deadlineAtMs })
      return true
    },
    remove (item) {
      const index = queued.findIndex((element) => element.item === item)
      if (index < 0) return false
      queued.splice(index, 1)
      return true
    },
    list: () => queued.map((element) => element.item),
    count: () => queued.length,
    updateMaxLength (next) {
      limit = next
    }
  }
}
