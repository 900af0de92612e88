/**
 * The response to bytes of a caller that the HTTP server cannot read as a request.
 */
import { STATUS_CODES } from 'node:http'

const STATUS_BAD_REQUEST = 400
/** Statuses by the error codes of the HTTP server; other errors of its parser are 400. */
const STATUSES = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
  ['HPE_HEADER_OVERFLOW', 431]
])
/** The caller closed its connection in the middle of a request. */
const CODE_CLOSED_EARLY = 'HPE_INVALID_EOF_STATE'

/** Builds the response to an error of the HTTP server; undefined when the connection has failed or the caller has left. */
export function buildUnreadableResponse ({ code = '' }: NodeJS.ErrnoException): string | undefined {
  const isParserError = code.startsWith('HPE_') && code !== CODE_CLOSED_EARLY
  const status = STATUSES.get(code) ?? (isParserError ? STATUS_BAD_REQUEST : undefined)
  return status === undefined ? undefined : `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`
}
