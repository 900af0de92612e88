/**
 * Requests that wait at this entry for a slot of a target.
 */
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { createDeadlineQueue } from '../../request/balancing/deadline-queue.ts'
import type { TargetSlot, TargetWish } from './target-set.ts'

type SlotResult = Result<TargetSlot, AppError>

interface Waiter { wish: TargetWish, settle(result: SlotResult): void }

/** Options of a slot queue. */
export interface SlotQueueOptions {
  clock: Clock
  /** Requests that may wait at once. */
  longest: number
  /** The longest wait of one request, in ms. */
  longestWaitMs: number
}

/** The requests that wait for a slot of one service. */
export interface SlotQueue {
  /** Waits for a slot. Errors: `queue-full`, `queue-timeout`, `deadline-passed`. */
  wait(wish: TargetWish): Promise<SlotResult>
  /** Offers `take` to the waiting requests in the order of their deadlines; undefined means that none fits now. */
  serve(take: (wish: TargetWish) => SlotResult | undefined, canSettle: () => boolean): void
  count(): number
  update(limits: { longest: number, longestWaitMs: number }): void
}

/** Creates an empty queue. */
export function createSlotQueue (options: SlotQueueOptions): SlotQueue {
  const { clock } = options
  const queue = createDeadlineQueue<Waiter>(options.longest)
  let longestWaitMs = options.longestWaitMs

  const addWaiter = (wish: TargetWish, resolve: (result: SlotResult) => void): void => {
    const nowMs = clock.monotonicMs()
    const untilMs = Math.min(wish.deadlineMs, nowMs + longestWaitMs)
    const expiry = wish.deadlineMs <= untilMs
      ? createError('deadline-passed', 'The deadline passed while the request waited for a target.')
      : createError('queue-timeout', `No target became free within ${longestWaitMs} ms.`)
    const refuseGone = () => settle(err(createError('deadline-passed', 'The caller left while the request waited.')))
    const settle = (result: SlotResult): void => {
      if (!queue.remove(waiter)) return
      cancelTimer()
      wish.signal.removeEventListener('abort', refuseGone)
      resolve(result)
    }
    const waiter: Waiter = { wish, settle }
    if (!queue.add(waiter, untilMs)) {
      resolve(err(createError('queue-full', 'Too many requests wait for a target.')))
      return
    }
    const cancelTimer = clock.startTimer(untilMs - nowMs, () => settle(err(expiry)))
    wish.signal.addEventListener('abort', refuseGone, { once: true })
  }

  return {
    wait: (wish) => new Promise((resolve) => addWaiter(wish, resolve)),
    serve (take, canSettle) {
      if (queue.count() === 0) return
      for (const waiter of queue.list()) {
        if (!canSettle()) return
        const result = take(waiter.wish)
        if (result) waiter.settle(result)
      }
    },
    count: () => queue.count(),
    update (limits) {
      longestWaitMs = limits.longestWaitMs
      queue.updateLongest(limits.longest)
    }
  }
}
