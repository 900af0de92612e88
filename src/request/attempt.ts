/**
 * One attempt of a call: a slot of a target together with the exchange on one of its connections.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { ExchangeOutcome, TargetSlot } from '../process/targets/target-set.ts'
import type { Call } from './call.ts'
import { startExchange } from './exchange.ts'
import type { AnswerHead, AnswerSink, Exchange } from './exchange.ts'
import { addTargetHeaders, LEAVING_HEADER } from './headers.ts'

/** How an attempt is made. */
export interface AttemptOptions {
  /** 1 for the first attempt. */
  number: number
  /** Whether to wait in the queue for a slot. */
  mayWait: boolean
  /** Whether the connection must have shown life just now. */
  needsProof: boolean
  /** A further condition, asked right before the first byte is handed over. */
  canSend?: () => boolean
  /** Headers added to the call's own. */
  extraHeaders?: Record<string, string>
}

/** An attempt that has begun. */
export interface Attempt {
  readonly number: number
  /** Settles with the head of the answer or the error that ended the attempt. */
  readonly head: Promise<Result<AnswerHead, AppError>>
  /** Lets the body flow; `end` and `fail` of the sink come after the slot is released. */
  pipe(sink: AnswerSink): void
  resume(): void
  /** Ends the attempt without blame for the target. */
  cancel(): void
  /** Drops the rest of an answer that is not used; the target is judged by its head. */
  cancelAfterAnswer(): void
  wasSent(): boolean
}

/** Whether the target refused the work unstarted, by the signal that the contract names. */
export function isShed (call: Call, head: AnswerHead): boolean {
  const { status, header } = call.service.shedSignal
  return head.status === status && head.headers[header.toLowerCase()] !== undefined
}

/** Maps the error that ended an exchange to what it says about the target; an old connection may be what is at fault. */
function toOutcome (error: AppError, isFresh: boolean): ExchangeOutcome {
  if (error.kind === 'target-unreachable') return { kind: 'unreachable' }
  if (error.kind === 'target-timeout') return isFresh ? { kind: 'timed-out' } : { kind: 'cancelled' }
  return { kind: 'broken' }
}

/** Builds the attempt around a slot and an exchange, releasing the slot exactly once. */
function createAttempt (call: Call, slot: TargetSlot, exchange: Exchange, isFresh: boolean, number: number): Attempt {
  let isReleased = false
  const release = (outcome: ExchangeOutcome): void => {
    if (isReleased) return
    isReleased = true
    slot.release(outcome)
  }
  let answered: ExchangeOutcome = { kind: 'cancelled' }
  const head = exchange.head.then((result) => {
    if (result.isErr()) {
      release(toOutcome(result.error, isFresh))
      return result
    }
    const { status, headers, firstByteMs } = result.value
    if (headers[LEAVING_HEADER] !== undefined) call.links.targets.markLeaving(slot.target.id, 'answer')
    answered = isShed(call, result.value) ? { kind: 'shed' } : { kind: 'answered', status, firstByteMs }
    return result
  })
  return {
    number,
    head,
    pipe (sink) {
      exchange.pipe({
        write: (chunk) => sink.write(chunk),
        end () {
          release(answered)
          sink.end()
        },
        fail (error) {
          release({ kind: 'broken' })
          sink.fail(error)
        }
      })
    },
    resume: () => exchange.resume(),
    cancel () {
      exchange.cancel()
      release({ kind: 'cancelled' })
    },
    cancelAfterAnswer () {
      release(answered)
      exchange.cancel()
    },
    wasSent: () => exchange.wasSent()
  }
}

/** Takes a slot and a connection and sends the request. Errors: those of `takeSlot` and `target-unreachable`. */
export async function startAttempt (call: Call, options: AttemptOptions): Promise<Result<Attempt, AppError>> {
  const slot = await call.links.targets.takeSlot({
    exclude: call.tried,
    deadlineMs: call.deadlineMs,
    mayWait: options.mayWait,
    get signal () { return call.caller.getSignal() }
  })
  if (slot.isErr()) return err(slot.error)
  const { target } = slot.value
  const remainingMs = call.deadlineMs - call.clock.monotonicMs()
  if (remainingMs <= 0 || call.caller.isGone()) {
    slot.value.release({ kind: 'cancelled' })
    return err(createError('deadline-passed', 'The deadline passed before a target was free.'))
  }
  const connection = call.links.getPool(target).takeConnection({ needsProof: options.needsProof })
  if (!connection) {
    slot.value.release({ kind: 'cancelled' })
    return err(createError('target-unreachable', 'All connections to the target are in use.'))
  }
  call.tried.add(target.id)
  const headers = addTargetHeaders({ ...call.headers, ...options.extraHeaders }, call.id, options.number, remainingMs)
  const exchange = startExchange(connection, {
    id: call.id,
    method: call.method,
    path: call.path,
    headers,
    body: call.body,
    firstByteTimeoutMs: remainingMs,
    canSend: () => !call.caller.isGone() && call.clock.monotonicMs() < call.deadlineMs && (options.canSend?.() ?? true)
  }, call.clock)
  return ok(createAttempt(call, slot.value, exchange, connection.isFresh, options.number))
}
