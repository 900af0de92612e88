/**
 * The request queue of a service: requests that wait at this entry for a slot of any target.
 */
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { createDeadlineQueue } from '../../request/balancing/deadline-queue.ts'
import type { TargetSlot, SlotRequest } from './target-set.ts'

type SlotResult = Result<TargetSlot, AppError>

interface Waiter { request: SlotRequest, settle(result: SlotResult): void }

/** Options of a slot queue. */
export interface SlotQueueOptions {
  clock: Clock
  /** Requests that may wait at the same time. */
  maxLength: number
  /** Queue timeout of one request, in ms. */
  maxWaitMs: number
}

/** The request queue of one service. */
export interface SlotQueue {
  /** Waits for a slot. Errors: `queue-full`, `queue-timeout`, `deadline-passed`. */
  wait(request: SlotRequest): Promise<SlotResult>
  /**
   * Calls `acquire` for the queued requests in the order of their deadlines, as long as `canSettle` returns true. A request
   * for which it returns undefined stays in the queue.
   */
  serve(acquire: (request: SlotRequest) => SlotResult | undefined, canSettle: () => boolean): void
  count(): number
  /** Changes the limits. They have the contract's keys: `longest` is the number of requests, `longestWaitMs` the queue timeout. */
  update(limits: { longest: number, longestWaitMs: number }): void
}

/** Creates an empty queue. */
export function createSlotQueue (options: SlotQueueOptions): SlotQueue {
  const { clock } = options
  const queue = createDeadlineQueue<Waiter>(options.maxLength)
  let maxWaitMs = options.maxWaitMs

  const addWaiter = (request: SlotRequest, resolve: (result: SlotResult) => void): void => {
    const nowMs = clock.monotonicMs()
    const expiresAtMs = Math.min(request.deadlineMs, nowMs + maxWaitMs)
    const timeoutError = request.deadlineMs <= expiresAtMs
      ? createError('deadline-passed', 'The deadline passed while the request waited for a target.')
      : createError('queue-timeout', `No target became free within ${maxWaitMs} ms.`)
    const rejectDisconnected = () => settle(err(createError('deadline-passed', 'The caller disconnected while the request waited for a target.')))
    const settle = (result: SlotResult): void => {
      if (!queue.remove(waiter)) return
      cancelTimer()
      request.signal.removeEventListener('abort', rejectDisconnected)
      resolve(result)
    }
    const waiter: Waiter = { request, settle }
    if (!queue.add(waiter, expiresAtMs)) {
      resolve(err(createError('queue-full', 'The request queue of the service is full.')))
      return
    }
    const cancelTimer = clock.startTimer(expiresAtMs - nowMs, () => settle(err(timeoutError)))
    request.signal.addEventListener('abort', rejectDisconnected, { once: true })
  }

  return {
    wait: (request) => new Promise((resolve) => addWaiter(request, resolve)),
    serve (acquire, canSettle) {
      if (queue.count() === 0) return
      for (const waiter of queue.list()) {
        if (!canSettle()) return
        const result = acquire(waiter.request)
        if (result) waiter.settle(result)
      }
    },
    count: () => queue.count(),
    update (limits) {
      maxWaitMs = limits.longestWaitMs
      queue.updateMaxLength(limits.longest)
    }
  }
}
