/**
 * A binary heap: takes the first of many items in logarithmic time.
 */

/** Items in the order of a comparison. */
export interface BinaryHeap<T> {
  add(item: T): void
  /** Returns the first item without removing it; undefined when there is none. */
  peek(): T | undefined
  /** Removes and returns the first item; undefined when there is none. */
  take(): T | undefined
  count(): number
}

/** Creates an empty heap; an item is before another when `compare` is negative. */
export function createBinaryHeap<T> (compare: (a: T, b: T) => number): BinaryHeap<T> {
  const items: T[] = []
  const isBefore = (index: number, other: number): boolean => compare(items[index]!, items[other]!) < 0
  const move = (index: number, other: number): void => {
    [items[index], items[other]] = [items[other]!, items[index]!]
  }
  const getFirstChild = (index: number): number => {
    const left = 2 * index + 1
    return left + 1 < items.length && isBefore(left + 1, left) ? left + 1 : left
  }
  return {
    add (item) {
      let index = items.push(item) - 1
      for (let parent = (index - 1) >> 1; index > 0 && isBefore(index, parent); parent = (index - 1) >> 1) {
        move(index, parent)
        index = parent
      }
    },
    peek: () => items[0],
    take () {
      const first = items[0]
      const last = items.pop()
      if (items.length === 0 || last === undefined) return first
      items[0] = last
      let index = 0
      for (let child = getFirstChild(0); child < items.length && isBefore(child, index); child = getFirstChild(index)) {
        move(index, child)
        index = child
      }
      return first
    },
    count: () => items.length
  }
}
