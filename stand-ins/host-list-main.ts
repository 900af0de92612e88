/**
 * Runs the stand-in of the host list. `--address` and `--port` set where it listens; `--hosts` names a JSON file with the
 * initial list under `hosts`.
 */
import { readFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { createHostClock } from '../src/clock.ts'
import { startHostListServer } from './host-list-server.ts'

const { values } = parseArgs({
  options: {
    address: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    hosts: { type: 'string' }
  }
})
const hosts = values.hosts ? JSON.parse(readFileSync(values.hosts, 'utf8')).hosts : []
startHostListServer({ address: values.address, port: Number(values.port), clock: createHostClock(), hosts })
  .then((server) => console.log(`host list listens on ${values.address}:${server.port}`))
  .catch((cause) => {
    console.error(cause)
    process.exit(1)
  })
