import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** What a relay does with the bytes of one connection. */
interface RelayedPair { near: Socket, far: Socket, isFrozen: boolean, isOneWay: boolean }

/** A TCP relay whose open connections can go silent while new ones work. */
export interface FaultRelay {
  /** Silences the connections that are open now, in both directions. */
  freezeOpen(): void
  /** Drops what flows from the far end back, on the connections that are open now. */
  dropAnswersOnOpen(): void
  /** Refuses new connections until called with false. */
  setRefusing(isRefusing: boolean): void
  countOpen(): number
  close(): Promise<void>
}

function joinPair (pair: RelayedPair): void {
  const { near, far } = pair
  near.on('data', (chunk) => { if (!pair.isFrozen) far.write(chunk) })
  far.on('data', (chunk) => { if (!pair.isFrozen && !pair.isOneWay) near.write(chunk) })
  for (const [socket, other] of [[near, far], [far, near]] as const) {
    socket.on('error', () => {})
    socket.on('close', () => { if (!pair.isFrozen) other.destroy() })
  }
}

/** Starts a relay from one address to another. */
export async function startFaultRelay (from: { address: string, port: number }, to: { address: string, port: number }): Promise<FaultRelay> {
  const pairs = new Set<RelayedPair>()
  let isRefusing = false
  const server: Server = createServer((near) => {
    if (isRefusing) return near.destroy()
    const pair = { near, far: connect({ host: to.address, port: to.port }), isFrozen: false, isOneWay: false }
    pairs.add(pair)
    near.on('close', () => pairs.delete(pair))
    joinPair(pair)
  })
  await new Promise<void>((resolve) => server.listen(from.port, from.address, resolve))
  return {
    freezeOpen () { for (const pair of pairs) pair.isFrozen = true },
    dropAnswersOnOpen () { for (const pair of pairs) pair.isOneWay = true },
    setRefusing (value) { isRefusing = value },
    countOpen: () => pairs.size,
    async close () {
      for (const pair of pairs) {
        pair.near.destroy()
        pair.far.destroy()
      }
      await new Promise<void>((resolve) => server.close(() => resolve()))
    }
  }
}
