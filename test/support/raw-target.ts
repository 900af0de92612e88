import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { startPlatformTarget } from '../../stand-ins/platform-target.ts'
import type { PlatformTarget } from '../../stand-ins/platform-target.ts'

/** A request that a raw target has received; `count` is its number on its connection, probes left out, from 1. */
export interface RawRequest { socket: Socket, attemptId: string, path: string, count: number }

/** Formats the response to a load probe. */
export function formatProbeResponse (id: string, headers = ''): string {
  return `HTTP/1.1 200 OK\r\nMedlarcove-Instance-Id: ${id}\r\nMedlarcove-Upstream-Load: 0,0,4,100\r\n${headers}Content-Length: 0\r\n\r\n`
}

/** Starts a target that answers load probes, and hands every other request to `handleRequest` to write any bytes it likes. */
export async function startRawTarget (id: string, handleRequest: (request: RawRequest) => void): Promise<PlatformTarget> {
  const target = await startPlatformTarget(id)
  target.server.close()
  const server = createServer((socket) => {
    let count = 0
    socket.on('error', () => undefined)
    socket.on('data', (data) => {
      const text = data.toString('latin1')
      if (text.startsWith('GET /health')) {
        socket.write(formatProbeResponse(id))
        return
      }
      count += 1
      const attemptId = /medlarcove-attempt-id: (\S+)/i.exec(text)?.[1] ?? 'none'
      target.receivedAttempts.push(attemptId)
      handleRequest({ socket, attemptId, path: text.split(' ', 2)[1] ?? '', count })
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  target.port = (server.address() as AddressInfo).port
  target.server.close = ((done?: () => void) => { server.close(done) }) as typeof target.server.close
  return target
}
