/**
 * A connection of a caller that sends all its requests at once and reads the responses in order. HTTP clients wait for each
 * response before the next request, so this one is written on a socket.
 */
import { connect } from 'node:net'
import { ROUTE_HOST } from '../stand-ins/platform-target.ts'

/** A complete response. Header names are in lower case. */
export interface PipelinedResponse { status: number, headers: Record<string, string>, body: string }

/** A request to send. */
export interface PipelinedRequest { path: string, headers: Record<string, string> }

const HEAD_END = '\r\n\r\n'

/** Reads a body in chunks; returns it with the rest of the text, or undefined when it is not complete. */
function readChunked (text: string): { body: string, rest: string } | undefined {
  let body = ''
  let rest = text
  for (;;) {
    const sizeEnd = rest.indexOf('\r\n')
    const size = sizeEnd < 0 ? NaN : Number.parseInt(rest.slice(0, sizeEnd), 16)
    const end = sizeEnd + 2 + size + 2
    if (Number.isNaN(size) || rest.length < end) return undefined
    body += rest.slice(sizeEnd + 2, end - 2)
    rest = rest.slice(end)
    if (size === 0) return { body, rest }
  }
}

/** Reads the first response of a text; returns it with the rest, or undefined when it is not complete. */
function readResponse (text: string): { response: PipelinedResponse, rest: string } | undefined {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const [statusLine = '', ...lines] = text.slice(0, headEnd).split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const after = text.slice(headEnd + HEAD_END.length)
  const length = Number(headers['content-length'] ?? 0)
  const content = headers['transfer-encoding'] === 'chunked' ? readChunked(after) : after.length < length ? undefined : { body: after.slice(0, length), rest: after.slice(length) }
  return content && { response: { status: Number(statusLine.split(' ')[1]), headers, body: content.body }, rest: content.rest }
}

function formatRequest ({ path, headers }: PipelinedRequest): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
  return [`GET ${path} HTTP/1.1`, `host: ${ROUTE_HOST}`, ...lines].join('\r\n') + HEAD_END
}

/**
 * Sends requests at once on a new connection to a port. Calls `handleResponse` with the number of the request and its response,
 * in order. Resolves when all have come, the connection has closed, or `ms` have passed.
 */
export function sendPipelined (port: number, requests: readonly PipelinedRequest[], ms: number, handleResponse: (place: number, response: PipelinedResponse) => void): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(requests.map(formatRequest).join('')))
    let received = ''
    let place = 0
    const finish = (): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve()
    }
    const timer = setTimeout(finish, ms)
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1')
      for (let read = readResponse(received); read; read = readResponse(received)) {
        received = read.rest
        handleResponse(place, read.response)
        place += 1
      }
      if (place === requests.length) finish()
    })
    socket.on('error', finish)
    socket.on('close', finish)
  })
}
