import { createServer } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { startListening } from '../src/connection/start-listening.ts'
import { findFreePort } from './support/gateway-system.ts'

const servers: ReturnType<typeof createServer>[] = []

afterEach(() => { for (const server of servers.splice(0)) server.close() })

function setup () {
  const server = createServer()
  servers.push(server)
  const faults: string[] = []
  return { server, faults, handleFault: (message: string) => { faults.push(message) } }
}

test('a port in use is reported with its address', async () => {
  const port = await findFreePort()
  const first = setup()
  const second = setup()
  expect((await startListening(first.server, { address: '127.0.0.1', port, handleFault: first.handleFault })).isOk()).toBe(true)
  const refused = await startListening(second.server, { address: '127.0.0.1', port, handleFault: second.handleFault })
  expect(refused._unsafeUnwrapErr()).toMatchObject({ kind: 'settings-invalid', message: expect.stringContaining(`127.0.0.1:${port}`) })
})

test('a connection that cannot be accepted is reported and does not end the process', async () => {
  const { server, faults, handleFault } = setup()
  await startListening(server, { address: '127.0.0.1', port: await findFreePort(), handleFault })
  server.emit('error', new Error('accept EMFILE'))
  expect(faults).toEqual([expect.stringContaining('accept EMFILE')])
  expect(server.listening).toBe(true)
})
