/**
 * Error responses of this system: problem details (`application/problem+json`) with the execution status of the request.
 */
import type { ServerResponse } from 'node:http'
import { getErrorResponse } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { EXECUTION_STATUS_HEADER } from './headers.ts'

/** An error response, ready to send. */
export interface ErrorHttpResponse { status: number, headers: Record<string, string>, body: Uint8Array }

/** Builds the response for an error from the table of error kinds. */
export function buildErrorResponse (error: AppError): ErrorHttpResponse {
  const response = getErrorResponse(error.kind)
  const problem = {
    type: 'about:blank',
    title: error.kind,
    kind: error.kind,
    status: response.status,
    detail: error.message,
    fate: response.fate,
    advice: response.advice
  }
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    [EXECUTION_STATUS_HEADER]: response.fate
  }
  const retryAfterS = error.retryAfterS ?? ('retryAfterS' in response ? response.retryAfterS : undefined)
  if (retryAfterS !== undefined) headers['retry-after'] = String(retryAfterS)
  return { status: response.status, headers, body: Buffer.from(JSON.stringify(problem)) }
}

/** Sends the response for an error. When a response has begun already, the connection is closed instead. */
export function sendError (outgoing: ServerResponse, error: AppError): void {
  if (outgoing.headersSent) {
    outgoing.destroy()
    return
  }
  const { status, headers, body } = buildErrorResponse(error)
  outgoing.writeHead(status, { ...headers, 'content-length': String(body.byteLength) })
  outgoing.end(outgoing.req.method === 'HEAD' ? undefined : body)
}
