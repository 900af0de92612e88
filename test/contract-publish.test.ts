import { afterEach, beforeEach, expect, test } from 'vitest'
import { createHostClock } from '../src/clock.ts'
import { createContractFollower } from '../src/process/contracts/contract-follower.ts'
import { publishContract } from '../src/process/contracts/publish-contract.ts'
import { createHttpLogClient } from '../src/process/log-http-client.ts'
import type { LogHttpClient } from '../src/process/log-http-client.ts'
import { toBrand } from '../src/types.ts'
import type { CustomerId } from '../src/types.ts'
import { startLogServer } from '../stand-ins/log-server.ts'
import type { LogServer } from '../stand-ins/log-server.ts'
import { getLoopbackAddress } from './support/addresses.ts'
import { createContractText } from './support/contract-texts.ts'

const KYUSHU = toBrand<CustomerId>('kyushu')
const clock = createHostClock()
let server: LogServer
let log: LogHttpClient

beforeEach(async () => {
  server = await startLogServer({ address: getLoopbackAddress(1), port: 0 })
  log = createHttpLogClient({ url: server.url, clock })
})

afterEach(async () => {
  await log.close()
  await server.close()
})

function publish (version: number, requestsPerSecond: number) {
  return publishContract({ log, clock, text: createContractText({ version, requestsPerSecond }), operator: `op${requestsPerSecond}` })
}

test('a published contract is accepted and takes effect on a follower', async () => {
  const follower = createContractFollower({ log, clock, audit: { record: () => {} } })
  follower.start()
  await follower.waitUntilReady()
  expect(follower.getContract(KYUSHU)._unsafeUnwrapErr().kind).toBe('no-contract')
  const inEffect = new Promise((resolve) => follower.watchContracts(resolve))
  expect((await publish(1, 10))._unsafeUnwrap()).toMatchObject({ customer: 'kyushu', version: 1, offset: 0, isRepeated: false })
  await inEffect
  expect(follower.getContract(KYUSHU)._unsafeUnwrap().limits.requestsPerSecond).toBe(10)
  expect(follower.getContract(toBrand<CustomerId>('other'))._unsafeUnwrapErr().kind).toBe('unknown-customer')
  await follower.close()
})

test('of twenty operators who publish at once one succeeds, and the other nineteen rejections name it', async () => {
  const results = await Promise.all(Array.from({ length: 20 }, (_value, index) => publish(1, index + 1)))
  const winners = results.filter((result) => result.isOk())
  expect(winners).toHaveLength(1)
  const errors = results.flatMap((result) => result.isErr() ? [result.error] : [])
  expect(errors).toHaveLength(19)
  const winner = results.findIndex((result) => result.isOk()) + 1
  for (const error of errors) {
    expect(error.kind).toBe('contract-rejected')
    expect(error.message).toContain(`by op${winner} `)
  }
})

test('publishing the same text again writes nothing', async () => {
  await publish(1, 10)
  expect((await publish(1, 10))._unsafeUnwrap()).toMatchObject({ version: 1, offset: 0, isRepeated: true })
  expect(server.store.readBounds(toBrand('contracts')).next).toBe(1)
})
