/**
 * Finds free ports outside the range from which the operating system assigns ports to outgoing connections, which could take one
 * between the search and its use.
 */
import { createServer } from 'node:net'

/** Options of `createPortFinder`: processes that search at the same time begin at different ports. */
export interface PortFinderOptions {
  firstPort: number
  portsPerProcess: number
  /** Processes after which the ports repeat. */
  processCount: number
}

const ADDRESS = '127.0.0.1'

function isFree (port: number): Promise<boolean> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, ADDRESS, () => server.close(() => resolve(true)))
  })
}

/** Creates a search that returns another free port with each call. */
export function createPortFinder ({ firstPort, portsPerProcess, processCount }: PortFinderOptions): () => Promise<number> {
  let nextPort = firstPort + (process.pid % processCount) * portsPerProcess
  return async function findFreePort () {
    for (;;) {
      const port = nextPort
      nextPort += 1
      if (await isFree(port)) return port
    }
  }
}
