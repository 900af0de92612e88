// A proxy before the store that cuts single entries off: their bytes are held back, in both directions, also on new connections.
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
  const cutPids = new Set()
  const connections = new Set()
  const port = await findPort('127.0.0.1')
  const server = createServer((client) => {
    const store = connect({ host: '127.0.0.1', port: storePort })
    const inode = findInode(client.remotePort, port)
    const pid = listPids().find((each) => isOwner(each, inode))
    const connection = { pid, client, store, held: [] }
    connections.add(connection)
    const pass = (to, chunk) => {
      if (cutPids.has(connection.pid)) connection.held.push([to, chunk])
      else to.write(chunk)
    }
    client.on('data', (chunk) => pass(store, chunk))
    store.on('data', (chunk) => pass(client, chunk))
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
    cut: (pid) => cutPids.add(pid),
    heal (pid) {
      cutPids.delete(pid)
      for (const { held } of connections) for (const [to, chunk] of held.splice(0)) to.write(chunk)
    },
    countConnections: (pid) => [...connections].filter((connection) => connection.pid === pid).length
  }
}
