import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** One relayed connection, and whether its bytes are dropped: all of them, or only those from the server. */
interface RelayedConnection { clientSocket: Socket, serverSocket: Socket, isFrozen: boolean, isResponseDropped: boolean }

/** A TCP relay that can stop passing bytes on its open connections while new ones work. */
export interface FaultRelay {
  /**
   * Drops all bytes on the connections that are open now, in both directions. When one side of such a connection
   * closes, the other stays open.
   */
  freezeOpen(): void
  /** Drops the bytes that the server sends on the connections that are open now. */
  dropAnswersOnOpen(): void
  /** Closes new connections at once, until called with false. */
  setRefusing(isRefusing: boolean): void
  /** Drops all bytes on new connections, until called with false. */
  setFreezing(isFreezing: boolean): void
  /** Closes the connections on which bytes have been dropped. */
  closeFrozen(): void
  countOpen(): number
  close(): Promise<void>
}

function joinSockets (connection: RelayedConnection): void {
  const { clientSocket, serverSocket } = connection
  clientSocket.on('data', (chunk) => { if (!connection.isFrozen) serverSocket.write(chunk) })
  serverSocket.on('data', (chunk) => { if (!connection.isFrozen && !connection.isResponseDropped) clientSocket.write(chunk) })
  for (const [socket, other] of [[clientSocket, serverSocket], [serverSocket, clientSocket]] as const) {
    socket.on('error', () => {})
    socket.on('close', () => { if (!connection.isFrozen) other.destroy() })
  }
}

/** Starts a relay from one address to another. */
export async function startFaultRelay (from: { address: string, port: number }, to: { address: string, port: number }): Promise<FaultRelay> {
  const connections = new Set<RelayedConnection>()
  let isRefusing = false
  let isFreezing = false
  const server: Server = createServer((clientSocket) => {
    if (isRefusing) return clientSocket.destroy()
    const connection = { clientSocket, serverSocket: connect({ host: to.address, port: to.port }), isFrozen: isFreezing, isResponseDropped: false }
    connections.add(connection)
    clientSocket.on('close', () => connections.delete(connection))
    joinSockets(connection)
  })
  await new Promise<void>((resolve) => server.listen(from.port, from.address, resolve))
  return {
    freezeOpen () { for (const connection of connections) connection.isFrozen = true },
    dropAnswersOnOpen () { for (const connection of connections) connection.isResponseDropped = true },
    setRefusing (value) { isRefusing = value },
    setFreezing (value) { isFreezing = value },
    closeFrozen () {
      for (const { isFrozen, clientSocket, serverSocket } of connections) {
        if (!isFrozen) continue
        clientSocket.destroy()
        serverSocket.destroy()
      }
    },
    countOpen: () => connections.size,
    async close () {
      for (const connection of connections) {
        connection.clientSocket.destroy()
        connection.serverSocket.destroy()
      }
      await new Promise<void>((resolve) => server.close(() => resolve()))
    }
  }
}
