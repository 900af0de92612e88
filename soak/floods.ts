/**
 * Responses without end, at full speed or slowly, until the connection closes.
 */
import type { Socket } from 'node:net'
import type { FloodPlace } from './plan.ts'

/** Options of `startFlood`. */
export interface FloodOptions {
  place: FloodPlace
  isSlow: boolean
  /** Headers of the response. */
  headers: Record<string, string>
}

const PART_BYTES = 16_384
const SLOW_PART_BYTES = 512
const SLOW_GAP_MS = 40

/** Returns what comes after the headers, and the part that repeats without end. */
function describePlace (place: FloodPlace): { head: string, repeated: string } {
  const chunked = 'Transfer-Encoding: chunked\r\n\r\n'
  switch (place) {
    case 'head': return { head: '', repeated: 'X-Line: aaaa\r\n' }
    case 'trailers': return { head: `${chunked}5\r\nwhole\r\n0\r\n`, repeated: 'X-Line: aaaa\r\n' }
    case 'chunk-extension': return { head: `${chunked}5;extension=`, repeated: 'aaaaaaaa' }
    case 'body': return { head: 'Connection: close\r\n\r\n', repeated: 'aaaaaaaa' }
    case 'tiny-chunks': return { head: chunked, repeated: '1\r\na\r\n' }
  }
}

/** Sends a response without end on a connection. */
export function startFlood (socket: Socket, { place, isSlow, headers }: FloodOptions): void {
  const { head, repeated } = describePlace(place)
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  const part = repeated.repeat(Math.ceil((isSlow ? SLOW_PART_BYTES : PART_BYTES) / repeated.length))
  socket.write(`HTTP/1.1 200 OK\r\n${lines}${head}`)
  const sendSlowly = (): void => {
    if (socket.destroyed) return
    socket.write(part)
    setTimeout(sendSlowly, SLOW_GAP_MS)
  }
  const sendFast = (): void => {
    while (!socket.destroyed) {
      if (socket.write(part)) continue
      socket.once('drain', sendFast)
      return
    }
  }
  if (isSlow) sendSlowly()
  else sendFast()
}
