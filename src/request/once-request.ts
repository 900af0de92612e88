/**
 * Serves a request that may not be repeated: it is claimed by its key, sent at most once, and its answer is kept.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Claim, ClaimBook, RecordedOutcome } from '../process/claims/claim-book.ts'
import type { Fate, KeyHash } from '../types.ts'
import { getRelayedFate, isServerError } from './answer-status.ts'
import { isShed, startAttempt } from './attempt.ts'
import type { Attempt } from './attempt.ts'
import type { Call } from './call.ts'
import type { AnswerHead } from './exchange.ts'
import { filterAnswerHeaders, REPEATED_HEADER } from './headers.ts'

/** The largest answer to a request that may not be repeated, in bytes. */
const LARGEST_ANSWER_BYTES = 1_048_576
/** The largest body kept for repeated attempts, in bytes. */
const LARGEST_KEPT_BODY_BYTES = 4_096

/** A whole answer, held in memory. */
export interface WholeAnswer {
  status: number
  headers: Record<string, string | string[]>
  body: Uint8Array
  fate: Fate
}

/** What a claim needs besides the call. */
export interface OnceOptions {
  claims: ClaimBook
  keyHash: KeyHash
  /** A hash over method, path and body. */
  requestDigest: string
}

/** Collects the body of an answer. Errors: `answer-truncated`. */
function readAnswerBody (attempt: Attempt): Promise<Result<Uint8Array, AppError>> {
  const chunks: Uint8Array[] = []
  let sizeBytes = 0
  return new Promise((resolve) => {
    attempt.pipe({
      write (chunk) {
        sizeBytes += chunk.byteLength
        if (sizeBytes <= LARGEST_ANSWER_BYTES) {
          chunks.push(chunk)
          return true
        }
        attempt.cancelAfterAnswer()
        resolve(err(createError('answer-truncated', `The answer is larger than ${LARGEST_ANSWER_BYTES} bytes.`)))
        return true
      },
      end: () => resolve(ok(Buffer.concat(chunks))),
      fail: (error) => resolve(err(error))
    })
  })
}

/** Returns what is kept for repeated attempts; a body that is too large is left out. */
function toOutcome (answer: WholeAnswer): RecordedOutcome {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(answer.headers)) {
    if (typeof value === 'string') headers[name] = value
  }
  const outcome = { status: answer.status, headers }
  return answer.body.byteLength <= LARGEST_KEPT_BODY_BYTES ? { ...outcome, body: answer.body } : outcome
}

/** Turns a kept outcome into the answer for a repeated attempt. Errors: `claim-elsewhere` when the body was not kept. */
function toRepeatedAnswer (outcome: RecordedOutcome): Result<WholeAnswer, AppError> {
  if (!outcome.body) return err(createError('claim-elsewhere', 'This key ran before; its answer was too large to keep.'))
  const headers = { ...outcome.headers, [REPEATED_HEADER]: 'true' }
  return ok({ status: outcome.status, headers, body: outcome.body, fate: getRelayedFate(outcome.status) })
}

/** Reads the whole answer of an attempt and keeps its outcome. */
async function finishAnswer (call: Call, claim: Claim, attempt: Attempt, head: AnswerHead): Promise<Result<WholeAnswer, AppError>> {
  const body = await readAnswerBody(attempt)
  if (body.isErr()) return err(body.error)
  const fate = getRelayedFate(head.status)
  const headers = filterAnswerHeaders(head.headers, fate, call.contract.version)
  const answer: WholeAnswer = { status: head.status, headers, body: body.value, fate }
  // A server error proves nothing, so it is not given out as the answer of the key.
  if (!isServerError(head.status)) claim.recordOutcome(toOutcome(answer))
  return ok(answer)
}

/**
 * Sends a claimed request. Another target is tried only as long as no byte was handed over.
 * Errors: `not-run` kinds after which the claim is void, or `unknown` ones after which the key stays taken.
 */
async function sendOnce (call: Call, claim: Claim): Promise<Result<WholeAnswer, AppError>> {
  let lastError = createError('deadline-passed', 'The caller left or the deadline passed before the request was sent.')
  for (let number = call.firstAttempt; number <= call.service.retries.largestAttempts; number++) {
    if (call.caller.isGone() || call.clock.monotonicMs() >= call.deadlineMs) break
    const started = await startAttempt(call, { number, mayWait: true, needsProof: true, canSend: () => claim.canSend?.() ?? true })
    if (started.isErr()) {
      lastError = started.error
      break
    }
    const head = await started.value.head
    if (head.isOk() && !isShed(call, head.value)) return finishAnswer(call, claim, started.value, head.value)
    if (head.isOk()) {
      started.value.cancelAfterAnswer()
      lastError = createError('target-shed', 'The target refused the work.')
      break
    }
    if (started.value.wasSent()) return err(head.error)
    lastError = head.error
  }
  claim.voidClaim()
  return err(lastError)
}

/**
 * Claims the key and runs the request at most once.
 * Errors: those of claims and attempts, each with a true fate.
 */
export async function runOnce (call: Call, options: OnceOptions): Promise<Result<WholeAnswer, AppError>> {
  const verdict = await options.claims.claimKey({
    customer: call.customer,
    service: call.serviceId,
    keyHash: options.keyHash,
    requestDigest: options.requestDigest,
    onceWindowMs: call.contract.onceWindowMs,
    deadlineMs: call.deadlineMs
  })
  if (verdict.isErr()) return err(verdict.error)
  switch (verdict.value.kind) {
    case 'admitted': return sendOnce(call, verdict.value.claim)
    case 'repeated': return toRepeatedAnswer(verdict.value.outcome)
    case 'elsewhere': return err(createError('claim-elsewhere', 'Another attempt with this key was admitted; its answer is not known here.'))
  }
}
