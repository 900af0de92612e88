/**
 * A discrete-event clock for the target selection bench: simulated time jumps from one timer to the next.
 */
import type { Clock } from '../src/clock.ts'

interface Timer { dueMs: number, sequence: number, action: (() => void) | undefined }

/** A clock of simulated time. */
export interface EventClock extends Clock {
  /** Runs all timers that are due up to `untilMs`, with the pending promise callbacks after each, and sets the time to `untilMs`. */
  runUntil(untilMs: number): Promise<void>
}

/** Microtask turns after each timer: the caller of an async function that returns at once continues only after several. */
const MICROTASK_TURNS = 4

function isBefore (a: Timer, b: Timer): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.sequence < b.sequence)
}

/** Adds a timer to a binary heap. */
function addTimer (heap: Timer[], timer: Timer): void {
  let index = heap.length
  heap.push(timer)
  while (index > 0) {
    const parent = (index - 1) >>> 1
    if (!isBefore(timer, heap[parent]!)) break
    heap[index] = heap[parent]!
    index = parent
  }
  heap[index] = timer
}

/** Removes the earliest timer from a binary heap and returns it. */
function removeFirstTimer (heap: Timer[]): Timer | undefined {
  const first = heap[0]
  const last = heap.pop()
  if (!first || !last || heap.length === 0) return first
  let index = 0
  for (;;) {
    let child = index * 2 + 1
    if (child >= heap.length) break
    if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1
    if (!isBefore(heap[child]!, last)) break
    heap[index] = heap[child]!
    index = child
  }
  heap[index] = last
  return first
}

/** Creates a clock whose time starts at zero. */
export function createEventClock (): EventClock {
  const heap: Timer[] = []
  let nowMs = 0
  let sequence = 0
  const startTimer: Clock['startTimer'] = (delayMs, action) => {
    const timer: Timer = { dueMs: nowMs + Math.max(0, delayMs), sequence: sequence++, action }
    addTimer(heap, timer)
    return () => { timer.action = undefined }
  }
  return {
    monotonicMs: () => nowMs,
    wallMs: () => nowMs,
    startTimer,
    wait: (delayMs) => new Promise((resolve) => startTimer(delayMs, resolve)),
    async runUntil (untilMs) {
      while (heap[0] && heap[0].dueMs <= untilMs) {
        const timer = removeFirstTimer(heap)
        if (!timer?.action) continue
        nowMs = timer.dueMs
        timer.action()
        for (let turn = 0; turn < MICROTASK_TURNS; turn++) await undefined
      }
      nowMs = untilMs
    }
  }
}
