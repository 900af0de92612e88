/**
 * One attempt of a call: an acquired slot of a target and the exchange on one of its connections.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { ExchangeOutcome, TargetSlot } from '../process/targets/target-set.ts'
import type { TargetId } from '../types.ts'
import type { Call } from './call.ts'
import { startExchange } from './exchange.ts'
import type { ResponseHead, ResponseSink, Exchange } from './exchange.ts'
import { addTargetHeaders, LEAVING_HEADER } from './headers.ts'

/** Options of an attempt. */
export interface AttemptOptions {
  /** Attempt number, 1 for the first. */
  number: number
  /** Whether the attempt may wait in the request queue for a slot. */
  canWait: boolean
  /** Whether the connection must be new, or have carried a complete response within the last second. */
  requiresLiveness: boolean
  /** A further condition, checked right before the request is handed to the connection. */
  canSend?: () => boolean
  /** Headers added to those of the call. */
  extraHeaders?: Record<string, string>
}

/** A started attempt. */
export interface Attempt {
  readonly target: TargetId
  /** Resolves with the head of the response, or with the error that ended the attempt. */
  readonly head: Promise<Result<ResponseHead, AppError>>
  /** Relays the body to a sink; its `end` or `fail` is called after the slot is released. */
  pipe(sink: ResponseSink): void
  /** Continues the body after `write` of the sink has returned false. */
  resume(): void
  /** Cancels the attempt; it doesn't count as a failure of the target. */
  cancel(): void
  /** Drops the body of a response that isn't used; the outcome for the target follows from the response's head. */
  cancelAfterResponse(): void
  /** Returns whether a byte of the request may have reached the target. */
  wasSent(): boolean
}

/** Returns whether a response says that the target shed the request without running it, by the contract's `shedSignal`. */
export function isShed (call: Call, head: ResponseHead): boolean {
  const { status, header } = call.service.shedSignal
  return head.status === status && head.headers[header.toLowerCase()] !== undefined
}

/** Maps the error that ended an exchange to its outcome. A timeout on a reused connection may be the connection's fault, so it isn't counted. */
function toOutcome (error: AppError, isNewConnection: boolean): ExchangeOutcome {
  if (error.kind === 'target-unreachable') return { kind: 'unreachable' }
  if (error.kind === 'target-timeout') return isNewConnection ? { kind: 'timed-out' } : { kind: 'cancelled' }
  return { kind: 'broken' }
}

/** Creates the attempt of a slot and an exchange. It releases the slot exactly once. */
function createAttempt (call: Call, slot: TargetSlot, exchange: Exchange, isNewConnection: boolean): Attempt {
  let isReleased = false
  const release = (outcome: ExchangeOutcome): void => {
    if (isReleased) return
    isReleased = true
    slot.release(outcome)
  }
  let responseOutcome: ExchangeOutcome = { kind: 'cancelled' }
  const head = exchange.head.then((result) => {
    if (result.isErr()) {
      release(toOutcome(result.error, isNewConnection))
      return result
    }
    const { status, headers, firstByteMs } = result.value
    slot.startTransfer()
    if (headers[LEAVING_HEADER] !== undefined) call.links.targets.markLeaving(slot.target.id, 'answer')
    responseOutcome = isShed(call, result.value) ? { kind: 'shed' } : { kind: 'answered', status, firstByteMs }
    return result
  })
  return {
    target: slot.target.id,
    head,
    pipe (sink) {
      exchange.pipe({
        write: (chunk) => sink.write(chunk),
        end () {
          release(responseOutcome)
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
    cancelAfterResponse () {
      release(responseOutcome)
      exchange.cancel()
    },
    wasSent: () => exchange.wasSent()
  }
}

/** Acquires a slot and a connection and sends the request. Errors: those of `acquireSlot`, and `target-unreachable`. */
export async function startAttempt (call: Call, options: AttemptOptions): Promise<Result<Attempt, AppError>> {
  const slot = await call.links.targets.acquireSlot({
    exclude: call.triedTargets,
    deadlineMs: call.deadlineMs,
    canWait: options.canWait,
    isIdempotent: call.operation.repeatable,
    get signal () { return call.caller.getSignal() }
  })
  if (slot.isErr()) return err(slot.error)
  const { target } = slot.value
  const remainingMs = call.deadlineMs - call.clock.monotonicMs()
  if (remainingMs <= 0 || call.caller.isDisconnected()) {
    slot.value.release({ kind: 'cancelled' })
    return err(createError('deadline-passed', 'The deadline passed before a target was free.'))
  }
  const connection = call.links.getPool(target).acquireConnection({ requiresLiveness: options.requiresLiveness })
  if (!connection) {
    slot.value.release({ kind: 'cancelled' })
    return err(createError('target-unreachable', 'All connections to the target are in use.'))
  }
  call.triedTargets.add(target.id)
  const headers = addTargetHeaders({ ...call.headers, ...options.extraHeaders }, call.id, options.number, remainingMs)
  const exchange = startExchange(connection, {
    id: call.id,
    method: call.method,
    path: call.path,
    headers,
    body: call.body,
    firstByteTimeoutMs: remainingMs,
    canSend: () => !call.caller.isDisconnected() && call.clock.monotonicMs() < call.deadlineMs && (options.canSend?.() ?? true)
  }, call.clock)
  return ok(createAttempt(call, slot.value, exchange, connection.isNew))
}
