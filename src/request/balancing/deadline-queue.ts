/**
 * A bounded queue ordered by deadline; items with equal deadlines keep their order of arrival.
 */

/** A queue of items with deadlines. */
export interface DeadlineQueue<T> {
  /** Adds an item; false when the queue is full. */
  add(item: T, deadlineMs: number): boolean
  /** Removes an item; false when it is not in the queue. */
  remove(item: T): boolean
  /** Lists the items, the earliest deadline first. */
  list(): T[]
  count(): number
  /** Changes the maximum length; items beyond it stay queued. */
  updateLongest(longest: number): void
}

interface Place<T> { item: T, deadlineMs: number }

/** Finds the first index whose deadline is later than `deadlineMs`. */
function findIndexAfter<T> (places: readonly Place<T>[], deadlineMs: number): number {
  let low = 0
  let high = places.length
  while (low < high) {
    const middle = (low + high) >>> 1
    const place = places[middle]
    if (place && place.deadlineMs <= deadlineMs) low = middle + 1
    else high = middle
  }
  return low
}

/** Creates an empty queue for at most `longest` items. */
export function createDeadlineQueue<T> (longest: number): DeadlineQueue<T> {
  const places: Place<T>[] = []
  let limit = longest
  return {
    add (item, deadlineMs) {
      if (places.length >= limit) return false
      places.splice(findIndexAfter(places, deadlineMs), 0, { item, deadlineMs })
      return true
    },
    remove (item) {
      const index = places.findIndex((place) => place.item === item)
      if (index < 0) return false
      places.splice(index, 1)
      return true
    },
    list: () => places.map((place) => place.item),
    count: () => places.length,
    updateLongest (next) {
      limit = next
    }
  }
}
