// Paths from entries to upstreams that a script can cut for one entry: a relay before each upstream, and a thread that finds out
// which process opened a connection, from the system's list of connections.
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import { fileURLToPath } from 'node:url'
import { isMainThread, parentPort, Worker } from 'node:worker_threads'

/** Lists the sockets of a process by their number. */
function listSockets (pid) {
  const sockets = new Set()
  for (const descriptor of readdirSync(`/proc/${pid}/fd`)) {
    try {
      sockets.add(readlinkSync(`/proc/${pid}/fd/${descriptor}`))
    } catch {
      // The descriptor has been closed meanwhile.
    }
  }
  return sockets
}

function parsePort (address) {
  return parseInt(address.split(':')[1], 16)
}

/** Returns which of the connections, given as `port port` from their own side, belong to a process. */
function findOwned (pid, keys) {
  const wanted = new Set(keys)
  const owned = listSockets(pid)
  const found = []
  for (const line of readFileSync('/proc/net/tcp', 'latin1').split('\n').slice(1)) {
    const fields = line.trim().split(/\s+/)
    if (fields.length < 10) continue
    const key = `${parsePort(fields[1])} ${parsePort(fields[2])}`
    if (wanted.has(key) && owned.has(`socket:[${fields[9]}]`)) found.push(key)
  }
  return found
}

if (!isMainThread) parentPort.on('message', ({ pid, keys }) => parentPort.postMessage(findOwned(pid, keys)))

/** Starts the paths. `cut(pid)` cuts those of one process: its connections hang, old and new ones; `heal` ends that. */
export function createPaths () {
  const worker = new Worker(fileURLToPath(import.meta.url))
  const relayed = new Set()
  const servers = []
  let cutPid
  let answer = Promise.resolve()
  const askOwned = (pairs) => {
    answer = answer.then(() => new Promise((resolve) => {
      if (cutPid === undefined) {
        resolve(new Set())
        return
      }
      worker.once('message', (keys) => resolve(new Set(keys)))
      worker.postMessage({ pid: cutPid, keys: pairs.map(({ key }) => key) })
    }))
    return answer
  }
  /** Finds out for connections whether they are cut. */
  const classify = async (pairs) => {
    const owned = await askOwned(pairs)
    for (const pair of pairs) pair.isCut = owned.has(pair.key)
  }
  const open = async (socket, to) => {
    const pair = { socket, key: `${socket.remotePort} ${socket.localPort}`, isCut: false }
    relayed.add(pair)
    socket.on('error', () => undefined)
    socket.pause()
    socket.on('close', () => {
      relayed.delete(pair)
      pair.upstream?.destroy()
    })
    if (cutPid !== undefined) await classify([pair])
    if (pair.isCut || socket.destroyed) return
    pair.upstream = connect({ host: to.address, port: to.port })
    pair.upstream.on('error', () => undefined)
    pair.upstream.on('close', () => { if (!pair.isCut) socket.destroy() })
    socket.on('data', (chunk) => { if (!pair.isCut) pair.upstream.write(chunk) })
    pair.upstream.on('data', (chunk) => { if (!pair.isCut) socket.write(chunk) })
    socket.resume()
  }
  return {
    /** Starts the relay to an upstream; resolves with its port. */
    async add (to) {
      const server = createServer((socket) => { open(socket, to).catch(() => socket.destroy()) })
      servers.push(server)
      await new Promise((resolve) => server.listen(0, to.address, resolve))
      return server.address().port
    },
    async cut (pid) {
      cutPid = pid
      await classify([...relayed])
    },
    heal () {
      cutPid = undefined
      for (const pair of relayed) if (pair.isCut) pair.socket.destroy()
    },
    close () {
      for (const server of servers) server.close()
      for (const { socket } of relayed) socket.destroy()
      worker.terminate()
    }
  }
}
