// A link between clients and one entry: bytes take a time each way, and the entry's answers pass at a limited rate. What the entry has
// sent before it closed a connection reaches the client, and then the close does. Where a write of the link itself fails, Node.js drops
// what the link has not read yet; such connections are told apart, since their loss may be the link's.
import { connect, createServer } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'

const PART_BYTES = 16_384
const BITS_PER_BYTE = 8

/** Runs actions one after the other, each not before its time. */
function createLine () {
  let last = Promise.resolve()
  return (dueAtMs, action) => {
    last = last.then(() => wait(Math.max(0, dueAtMs - performance.now()))).then(action, action)
    return last
  }
}

/** Starts a link to an entry on a free port of an address. */
export async function startSlowLink ({ address, entry, delayMs, mbps, handleReset }) {
  const bytesPerMs = mbps * 1_000 / BITS_PER_BYTE
  const sockets = new Set()
  /** Local ports of the clients whose connections ended with a failed write of the link. */
  const failedPorts = new Set()
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
    const toEntry = createLine()
    const toClient = createLine()
    client.on('data', (chunk) => toEntry(performance.now() + delayMs, () => { upstream.write(chunk) }))
    // When the client leaves, the entry notices it one way later.
    client.on('close', () => toEntry(performance.now() + delayMs, () => { upstream.destroy() }))
    upstream.on('data', (chunk) => {
      freeAtMs = Math.max(performance.now(), freeAtMs) + chunk.length / bytesPerMs
      const passedAtMs = freeAtMs
      toClient(passedAtMs + delayMs, () => { client.write(chunk) })
      upstream.pause()
      wait(passedAtMs - performance.now()).then(() => upstream.resume())
    })
    upstream.on('error', ({ code, syscall }) => {
      if (syscall === 'write') failedPorts.add(client.remotePort)
      handleReset?.(`${syscall} ${code}`)
    })
    upstream.on('close', () => toClient(performance.now() + delayMs, () => { client.destroySoon() }))
  })
  await new Promise((resolve) => server.listen(0, address, resolve))
  return {
    ip: address,
    ports: [server.address().port],
    hasFailed: (port) => failedPorts.has(port),
    close () {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
