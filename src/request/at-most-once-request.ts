/**
 * Serves a non-idempotent request at most once: claims its idempotency key, sends it, and stores the response.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Claim, ClaimStore, StoredResponse } from '../process/claims/claim-store.ts'
import type { ExecutionStatus, KeyHash } from '../types.ts'
import { getRelayedExecutionStatus, isServerError } from './response-status.ts'
import { isShed, startAttempt } from './attempt.ts'
import type { Attempt } from './attempt.ts'
import type { Call } from './call.ts'
import type { ResponseHead } from './exchange.ts'
import { filterResponseHeaders, REPEATED_HEADER } from './headers.ts'

/** Limit of the response body of a non-idempotent request. */
const MAX_RESPONSE_BYTES = 1_048_576
/** Limit of a response body that is stored for repeated requests. */
const MAX_STORED_BODY_BYTES = 4_096

/** A complete response in memory. Its fields are sent to other entries under these keys; `fate` is the execution status. */
export interface CompleteResponse {
  status: number
  headers: Record<string, string | string[]>
  body: Uint8Array
  fate: ExecutionStatus
}

/** Claim store, idempotency key and digest of a non-idempotent request. */
export interface AtMostOnceOptions {
  claims: ClaimStore
  keyHash: KeyHash
  /** Hash over method, path and body. */
  requestDigest: string
}

/** Reads the complete body of a response. Errors: `answer-truncated`, also when it is larger than `MAX_RESPONSE_BYTES`. */
function readResponseBody (attempt: Attempt): Promise<Result<Uint8Array, AppError>> {
  const chunks: Uint8Array[] = []
  let sizeBytes = 0
  return new Promise((resolve) => {
    attempt.pipe({
      write (chunk) {
        sizeBytes += chunk.byteLength
        if (sizeBytes <= MAX_RESPONSE_BYTES) {
          chunks.push(chunk)
          return true
        }
        attempt.cancelAfterResponse()
        resolve(err(createError('answer-truncated', `The response body is larger than ${MAX_RESPONSE_BYTES} bytes, the limit for a non-idempotent request.`)))
        return true
      },
      end: () => resolve(ok(Buffer.concat(chunks))),
      fail: (error) => resolve(err(error))
    })
  })
}

/** Returns the outcome to store for repeated requests, without a body that is too large. */
function toOutcome (response: CompleteResponse): StoredResponse {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(response.headers)) {
    if (typeof value === 'string') headers[name] = value
  }
  const outcome = { status: response.status, headers }
  return response.body.byteLength <= MAX_STORED_BODY_BYTES ? { ...outcome, body: response.body } : outcome
}

/** Builds the response to a repeated request from the stored outcome. Errors: `claim-elsewhere` when the body was not stored. */
function toStoredResponse (outcome: StoredResponse): Result<CompleteResponse, AppError> {
  if (!outcome.body) return err(createError('claim-elsewhere', 'A request with this key ran before; its response was too large to be stored.'))
  const headers = { ...outcome.headers, [REPEATED_HEADER]: 'true' }
  return ok({ status: outcome.status, headers, body: outcome.body, fate: getRelayedExecutionStatus(outcome.status) })
}

/** Reads the complete response of an attempt and stores its outcome. */
async function finishResponse (call: Call, claim: Claim, attempt: Attempt, head: ResponseHead): Promise<Result<CompleteResponse, AppError>> {
  const body = await readResponseBody(attempt)
  if (body.isErr()) return err(body.error)
  const fate = getRelayedExecutionStatus(head.status)
  const headers = filterResponseHeaders(head.headers, fate, call.contract.version)
  const response: CompleteResponse = { status: head.status, headers, body: body.value, fate }
  // A server error doesn't show whether the request ran, so it isn't stored as the response of the key.
  if (!isServerError(head.status)) claim.recordResponse(toOutcome(response))
  return ok(response)
}

/**
 * Sends a claimed request. Another target is tried only as long as no byte of the request was sent.
 * Errors: kinds with execution status `not-run`, after which the claim is released, or `unknown`, after which the key
 * stays claimed.
 */
async function sendOnce (call: Call, claim: Claim): Promise<Result<CompleteResponse, AppError>> {
  let lastError = createError('deadline-passed', 'The caller disconnected or the deadline passed before the request was sent.')
  for (let number = call.firstAttemptNumber; number <= call.service.retries.largestAttempts; number++) {
    if (call.caller.isDisconnected() || call.clock.monotonicMs() >= call.deadlineMs) break
    const started = await startAttempt(call, { number, canWait: true, requiresLiveness: true, canSend: () => claim.canSend?.() ?? true })
    if (started.isErr()) {
      lastError = started.error
      break
    }
    const head = await started.value.head
    if (head.isOk() && !isShed(call, head.value)) return finishResponse(call, claim, started.value, head.value)
    if (head.isOk()) {
      started.value.cancelAfterResponse()
      lastError = createError('target-shed', 'The target shed the request without running it.')
      break
    }
    if (started.value.wasSent()) return err(head.error)
    lastError = head.error
  }
  claim.releaseClaim()
  return err(lastError)
}

/**
 * Claims the idempotency key and runs the request at most once.
 * Errors: those of claims and attempts, each with its execution status.
 */
export async function runAtMostOnce (call: Call, options: AtMostOnceOptions): Promise<Result<CompleteResponse, AppError>> {
  const claimed = await options.claims.claimKey({
    customer: call.customer,
    service: call.serviceId,
    keyHash: options.keyHash,
    requestDigest: options.requestDigest,
    claimWindowMs: call.contract.onceWindowMs,
    deadlineMs: call.deadlineMs
  })
  if (claimed.isErr()) return err(claimed.error)
  switch (claimed.value.kind) {
    case 'admitted': return sendOnce(call, claimed.value.claim)
    case 'repeated': return toStoredResponse(claimed.value.outcome)
    case 'elsewhere': return err(createError('claim-elsewhere', 'Another request with this key was admitted; its response is not available at this entry.'))
  }
}
