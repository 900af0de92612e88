/**
 * Answers that the system makes itself: problem details with a truthful fate.
 */
import type { ServerResponse } from 'node:http'
import { getErrorAnswer } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { FATE_HEADER } from './headers.ts'

/** An own answer, ready to send. */
export interface OwnAnswer { status: number, headers: Record<string, string>, body: Uint8Array }

/** Builds the answer for an error by the table of kinds. */
export function buildErrorAnswer (error: AppError): OwnAnswer {
  const answer = getErrorAnswer(error.kind)
  const problem = {
    type: 'about:blank',
    title: error.kind,
    kind: error.kind,
    status: answer.status,
    detail: error.message,
    fate: answer.fate,
    advice: answer.advice
  }
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    [FATE_HEADER]: answer.fate
  }
  const retryAfterS = error.retryAfterS ?? ('retryAfterS' in answer ? answer.retryAfterS : undefined)
  if (retryAfterS !== undefined) headers['retry-after'] = String(retryAfterS)
  return { status: answer.status, headers, body: Buffer.from(JSON.stringify(problem)) }
}

/** Sends the answer for an error; when an answer has begun already the connection is closed instead. */
export function sendError (outgoing: ServerResponse, error: AppError): void {
  if (outgoing.headersSent) {
    outgoing.destroy()
    return
  }
  const { status, headers, body } = buildErrorAnswer(error)
  outgoing.writeHead(status, { ...headers, 'content-length': String(body.byteLength) })
  outgoing.end(outgoing.req.method === 'HEAD' ? undefined : body)
}
