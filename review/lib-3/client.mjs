// A stand-in of a client: one request on a new connection, or several on a kept one, with plain sockets.
import { connect } from 'node:net'
import { randomBytes } from 'node:crypto'

/** Creates a new attempt id. */
export function createId () {
  return randomBytes(8).toString('hex')
}

/** Formats a request. */
export function formatRequest ({ method = 'GET', path, host, id, deadlineMs, headers = {}, body = '' }) {
  const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `Medlarcove-Attempt-Id: ${id}`, `Medlarcove-Deadline-Ms: ${deadlineMs}`]
  for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`)
  if (body.length > 0 || method === 'POST') lines.push(`Content-Length: ${Buffer.byteLength(body)}`)
  return `${lines.join('\r\n')}\r\n\r\n${body}`
}

/** Takes one complete response from the front of a buffer; undefined when it is not complete. */
export function takeResponse (buffer) {
  const headEnd = buffer.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [first, ...lines] = buffer.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const status = Number(first.split(' ')[1])
  const bodyAt = headEnd + 4
  if (headers['transfer-encoding'] === 'chunked') {
    const parts = []
    for (let at = bodyAt; ;) {
      const lineEnd = buffer.indexOf('\r\n', at)
      if (lineEnd < 0) return undefined
      const size = parseInt(buffer.subarray(at, lineEnd).toString(), 16)
      if (!(buffer.length >= lineEnd + 2 + size + 2)) return undefined
      if (size === 0) return { status, headers, body: Buffer.concat(parts), rest: buffer.subarray(lineEnd + 4) }
      parts.push(buffer.subarray(lineEnd + 2, lineEnd + 2 + size))
      at = lineEnd + 2 + size + 2
    }
  }
  const length = status === 204 || status === 304 ? 0 : Number(headers['content-length'] ?? 0)
  if (buffer.length < bodyAt + length) return undefined
  return { status, headers, body: buffer.subarray(bodyAt, bodyAt + length), rest: buffer.subarray(bodyAt + length) }
}

/** Sends one request on a new connection; resolves with its response, or with status 0 when there is none. */
export function sendRequest (entry, request, limitMs = 4_000) {
  return new Promise((resolve) => {
    let buffer = Buffer.alloc(0)
    const socket = connect({ host: entry.ip, port: entry.ports[0] }, () => socket.write(formatRequest(request)))
    const finish = (result) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    const timer = setTimeout(() => finish({ status: 0, why: 'no answer in time' }), limitMs)
    socket.on('error', () => undefined)
    socket.on('close', () => finish({ status: 0, why: 'connection closed' }))
    socket.on('data', (chunk) => {
      buffer = Buffer.concat([buffer, chunk])
      const response = takeResponse(buffer)
      if (response) finish(response)
    })
  })
}
