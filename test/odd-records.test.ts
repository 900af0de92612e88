import { setTimeout as wait } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { sendSafeRequest, startGatewayProgram } from './support/gateway-program.ts'
import type { GatewayProgram } from './support/gateway-program.ts'
import { waitFor } from './support/gateway-system.ts'

const programs: GatewayProgram[] = []

afterEach(() => { for (const program of programs.splice(0)) program.close() })

const DEEP = `${'['.repeat(100_000)}${']'.repeat(100_000)}`
const ODD_PORTS = [0, -1, 65_536, 1e10, 1.5, '7660', null]

// Guards against a process that a record of another writer ends at each start.
test('records of entries with ports out of range or other odd values end no entry, and it finds the sound ones', async () => {
  const program = await startGatewayProgram({
    prepare (store) {
      for (const [index, peerPort] of ODD_PORTS.entries()) store.put('keyed.entries', `odd-${index}`, { zone: 'kyu-a', address: '127.0.0.1', port: 8_144, peerPort, run: 1 })
      for (const address of ['999.1.1.1', '0.0.0.0', '255.255.255.255', '224.0.0.1', 'host', '', null]) store.put('keyed.entries', `at-${address}`, { address, peerPort: 7_660 })
      store.put('keyed.entries', 'deep', DEEP)
      store.put('keyed.entries', 'long', `{"address":"127.0.0.1","peerPort":1e400,"x":${DEEP}}`)
    }
  })
  programs.push(program)
  await waitFor(() => program.child.exitCode !== null || program.getOutput().includes('Read the records of entries.'))
  // Contacts that have not responded are greeted again in each interval.
  await wait(1_500)
  expect(program.child.exitCode, program.getOutput()).toBeNull()
  expect((await sendSafeRequest(program.settings, 'a-1')).text.slice(9, 12)).toBe('200')
})
