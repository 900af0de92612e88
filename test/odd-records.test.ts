import { setTimeout as wait } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { describeConfiguration, ROUTE_HOST } from '../stand-ins/platform-target.ts'
import { sendSafeRequest, startGatewayProgram } from './support/gateway-program.ts'
import type { GatewayProgram } from './support/gateway-program.ts'
import { sendRaw, waitFor } from './support/gateway-system.ts'

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

// Guards against a time that no timer can hold: the idle timeout of a connection threw at the end of each response.
test('a configuration with a number out of range changes nothing, and the next sound one takes effect', async () => {
  const program = await startGatewayProgram()
  programs.push(program)
  const { settings, store } = program
  const endless = `${'9'.repeat(400)}s`
  const sound = describeConfiguration(2)
  const odd = [{ ...sound, limits: { ...sound.limits, idleTimeout: endless } }, describeConfiguration(3, { timeout: endless }), describeConfiguration(4, { timeout: '9999999999s' }), { ...sound, version: 1e300 }, DEEP]
  for (const [index, value] of odd.entries()) {
    store.put('keyed.op', 'config', value)
    await waitFor(() => program.child.exitCode !== null || program.getOutput().split(/A configuration is in effect|Skipped a configuration/).length === index + 3)
    const kept = await sendRaw(settings.listen.front.port, `GET /safe/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: kept-${index}\r\n\r\n`, 300)
    expect(program.child.exitCode, program.getOutput()).toBeNull()
    expect(kept.text.slice(9, 12), `${index}`).toBe('200')
  }
  store.put('keyed.op', 'config', describeConfiguration(5))
  await waitFor(() => program.getOutput().includes('"version":5,"before":1'))
  expect(program.child.exitCode).toBeNull()
})
