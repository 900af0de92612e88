/**
 * Runs the log stand-in. `--address` and `--port` set where it listens.
 */
import { parseArgs } from 'node:util'
import { describeCause } from '../src/errors.ts'
import { startLogServer } from './log-server.ts'

const { values } = parseArgs({
  options: {
    address: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' }
  }
})

async function runStandIn (): Promise<void> {
  const server = await startLogServer({ address: values.address, port: Number(values.port) })
  console.log(`log stand-in ready at ${server.url}`)
  const stop = () => {
    server.close().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

runStandIn().catch((cause: unknown) => {
  console.error(`log stand-in could not start: ${describeCause(cause)}; choose another address or port`)
  process.exitCode = 1
})
