// A proxy before the store that cuts single entries off, in one direction or both: what they send or are sent is held back, also
// on new connections, until the cut heals.
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import { findPort } from './deployment.mjs'

/** Returns the inode of the socket at the other end of a connection to `port`, which has the port `remotePort`. */
function findInode (remotePort, port) {
  for (const line of readFileSync('/proc/net/tcp', 'latin1').split('\n').slice(1)) {
    const fields = line.trim().split(/\s+/)
    if (fields.length < 10) continue
    const [local, remote] = [fields[1], fields[2]].map((text) => parseInt(text.split(':')[1], 16))
    if (local === remotePort && remote === port) return fields[9]
  }
  return undefined
}

function isOwner (pid, inode) {
  try {
    return readdirSync(`/proc/${pid}/fd`).some((fd) => {
      try {
        return readlinkSync(`/proc/${pid}/fd/${fd}`) === `socket:[${inode}]`
      } catch {
        return false
      }
    })
  } catch {
    return false
  }
}

/** Starts the proxy. `listPids` returns the ids of the processes that may connect. */
export async function startStoreProxy (storePort, listPids) {
  const cuts = { toStore: new Set(), fromStore: new Set() }
  const connections = new Set()
  const port = await findPort('127.0.0.1')
  let handleCall = () => undefined
  const server = createServer((client) => {
    const store = connect({ host: '127.0.0.1', port: storePort })
    const inode = findInode(client.remotePort, port)
    const connection = { pid: listPids().find((each) => isOwner(each, inode)), held: { toStore: [], fromStore: [] } }
    connections.add(connection)
    const pass = (direction, to, chunk) => {
      if (cuts[direction].has(connection.pid)) connection.held[direction].push([to, chunk])
      else to.write(chunk)
    }
    client.on('data', (chunk) => {
      handleCall(connection.pid, chunk.toString('latin1').split('\r\n')[0])
      pass('toStore', store, chunk)
    })
    store.on('data', (chunk) => pass('fromStore', client, chunk))
    for (const [socket, other] of [[client, store], [store, client]]) {
      socket.on('error', () => undefined)
      socket.on('close', () => {
        connections.delete(connection)
        other.destroy()
      })
    }
  })
  await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve))
  return {
    port,
    /** Cuts a process off from the store: `directions` are `toStore` and `fromStore`, by default both. */
    cut (pid, directions = Object.keys(cuts)) {
      for (const direction of directions) cuts[direction].add(pid)
    },
    /** Heals the cut; what was held back goes on its way. */
    heal (pid, directions = Object.keys(cuts)) {
      for (const direction of directions) {
        cuts[direction].delete(pid)
        const own = [...connections].filter((connection) => connection.pid === pid)
        for (const { held } of own) for (const [to, chunk] of held[direction].splice(0)) to.write(chunk)
      }
    },
    /** Calls `action` with the process and the first line of each call to the store. */
    watchCalls (action) { handleCall = action },
    countConnections: (pid) => [...connections].filter((connection) => connection.pid === pid).length
  }
}
