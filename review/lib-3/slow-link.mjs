// A link between clients and one entry: bytes take a time each way, and the entry's answers pass at a limited rate.
import { connect, createServer } from 'node:net'

const PART_BYTES = 16_384
const BITS_PER_BYTE = 8

/** Starts a link to an entry on a free port of an address. */
export async function startSlowLink ({ address, entry, delayMs, mbps }) {
  const bytesPerMs = mbps * 1_000 / BITS_PER_BYTE
  const sockets = new Set()
  /** When the link has passed everything that was read from the entry; all connections share it. */
  let freeAtMs = 0
  const add = (socket) => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.once('close', () => sockets.delete(socket))
    socket.setNoDelay(true)
  }
  const server = createServer((client) => {
    const upstream = connect({ host: entry.ip, port: entry.ports[0], highWaterMark: PART_BYTES })
    add(client)
    add(upstream)
    client.on('data', (chunk) => setTimeout(() => upstream.write(chunk), delayMs))
    // When the client leaves, the entry notices it one way later.
    client.on('close', () => setTimeout(() => upstream.destroy(), delayMs))
    const pass = (chunk) => {
      freeAtMs = Math.max(performance.now(), freeAtMs) + chunk.length / bytesPerMs
      setTimeout(() => client.write(chunk), freeAtMs - performance.now() + delayMs)
      upstream.pause()
      setTimeout(() => upstream.resume(), freeAtMs - performance.now())
    }
    upstream.on('data', pass)
    upstream.on('close', () => setTimeout(() => client.destroySoon(), Math.max(0, freeAtMs - performance.now()) + delayMs + 1))
  })
  await new Promise((resolve) => server.listen(0, address, resolve))
  return {
    ip: address,
    ports: [server.address().port],
    close () {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
