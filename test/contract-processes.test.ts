import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { createHostClock } from '../src/clock.ts'
import { createContractFollower } from '../src/process/contracts/contract-follower.ts'
import type { ContractFollower } from '../src/process/contracts/contract-follower.ts'
import { createHttpLogClient } from '../src/process/log-http-client.ts'
import type { LogHttpClient } from '../src/process/log-http-client.ts'
import { toBrand } from '../src/types.ts'
import type { CustomerId } from '../src/types.ts'
import { getLoopbackAddress } from './support/addresses.ts'
import { createContractText } from './support/contract-texts.ts'

const LOG = { address: getLoopbackAddress(30), port: 7_400 }
const URL = `http://${LOG.address}:${LOG.port}`
const KYUSHU = toBrand<CustomerId>('kyushu')
const OPERATORS = 20
const EXIT = { ok: 0, refused: 1, unreachable: 4, unknown: 5 }
const clock = createHostClock()
let folder: string
let logProcess: ChildProcess
let closers: (() => Promise<void>)[]

interface CommandResult { exitCode: number | null, stdout: string, stderr: string }

beforeEach(async () => {
  closers = []
  folder = mkdtempSync(path.join(tmpdir(), 'contracts-'))
  logProcess = await startLog()
})

afterEach(async () => {
  await Promise.all(closers.map((close) => close()))
  await stopProcess(logProcess)
  rmSync(folder, { recursive: true })
})

function startLog (): Promise<ChildProcess> {
  const child = spawn(process.execPath, ['dist/stand-in-log.cjs', '--address', LOG.address, '--port', String(LOG.port)], { stdio: ['ignore', 'pipe', 'inherit'] })
  return new Promise((resolve, reject) => {
    child.stdout.once('data', () => resolve(child))
    child.once('exit', () => reject(new Error('the log stand-in ended early')))
  })
}

async function stopProcess (child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return
  const ended = new Promise((resolve) => child.once('exit', resolve))
  child.kill('SIGKILL')
  await ended
}

async function setFaults (faults: object): Promise<void> {
  expect((await fetch(`${URL}/control`, { method: 'POST', body: JSON.stringify(faults) })).status).toBe(200)
}

function runCommand (...args: string[]): Promise<CommandResult> {
  const child = spawn(process.execPath, ['dist/medlarcove.cjs', 'contract', ...args, '--log', URL])
  const result: CommandResult = { exitCode: null, stdout: '', stderr: '' }
  child.stdout.on('data', (data) => { result.stdout += data })
  child.stderr.on('data', (data) => { result.stderr += data })
  return new Promise((resolve) => child.once('close', (exitCode) => resolve({ ...result, exitCode })))
}

function publish (version: number, mark: number, ...args: string[]): Promise<CommandResult> {
  const file = path.join(folder, `${version}-${mark}.jsonc`)
  writeFileSync(file, createContractText({ version, requestsPerSecond: mark }))
  return runCommand('publish', file, '--operator', `op${mark}`, ...args)
}

function createLog (): LogHttpClient {
  const log = createHttpLogClient({ url: URL, clock })
  closers.push(() => log.close())
  return log
}

function startFollower (): ContractFollower {
  const follower = createContractFollower({ log: createLog(), clock, audit: { record: () => {} } })
  follower.start()
  closers.unshift(() => follower.close())
  return follower
}

function waitForVersion (follower: ContractFollower, version: number): Promise<void> {
  return new Promise((resolve) => {
    const check = (): void => { if (follower.getContract(KYUSHU).match((contract) => contract.version >= version, () => false)) resolve() }
    follower.watchContracts(check)
    check()
  })
}

test('of twenty operators who publish at once one succeeds, and the other nineteen get its name', async () => {
  const results = await Promise.all(Array.from({ length: OPERATORS }, (_value, index) => publish(1, index + 1)))
  const winner = results.findIndex(({ exitCode }) => exitCode === EXIT.ok) + 1
  const refused = results.filter(({ exitCode }) => exitCode === EXIT.refused)
  expect(refused).toHaveLength(OPERATORS - 1)
  for (const { stderr } of refused) expect(stderr).toContain(`by op${winner} `)
  const followers = Array.from({ length: 6 }, startFollower)
  await Promise.all(followers.map((follower) => waitForVersion(follower, 1)))
  const marks = followers.map((follower) => follower.getContract(KYUSHU)._unsafeUnwrap().limits.requestsPerSecond)
  expect(marks).toEqual(marks.map(() => winner))
  const history = await runCommand('history', '--json')
  const verdicts: { verdict: string }[] = JSON.parse(history.stdout)
  expect(verdicts.filter(({ verdict }) => verdict === 'accepted')).toHaveLength(1)
})

test('publishers get the true result from a log that is slow, loses responses or delays appends', async () => {
  const follower = startFollower()
  await setFaults({ loseNextAnswers: 2 })
  expect((await publish(1, 1)).exitCode).toBe(EXIT.ok)
  await setFaults({ slowMs: 1_200 })
  expect((await publish(2, 2)).exitCode).toBe(EXIT.ok)
  await setFaults({ slowMs: 0, delayAppendsMs: 3_000 })
  const [first, second] = await Promise.all([publish(3, 3), publish(3, 4)])
  expect([first.exitCode, second.exitCode].sort()).toEqual([EXIT.ok, EXIT.refused])
  await setFaults({ delayAppendsMs: 0 })
  await waitForVersion(follower, 3)
  const { limits } = follower.getContract(KYUSHU)._unsafeUnwrap()
  expect(limits.requestsPerSecond).toBe(first.exitCode === EXIT.ok ? 3 : 4)
})

test('while the log is unavailable nothing is written and contracts stay in effect; publishing works again afterwards', async () => {
  expect((await publish(1, 1)).exitCode).toBe(EXIT.ok)
  const follower = startFollower()
  await waitForVersion(follower, 1)
  await setFaults({ outage: 'hang' })
  expect((await publish(2, 2, '--timeout-ms', '1000')).exitCode).toBe(EXIT.unreachable)
  await setFaults({ outage: 'reset' })
  expect((await publish(2, 2, '--timeout-ms', '1000')).exitCode).toBe(EXIT.unreachable)
  expect(follower.getContract(KYUSHU)._unsafeUnwrap().version).toBe(1)
  await setFaults({ outage: 'none' })
  expect((await publish(2, 2)).exitCode).toBe(EXIT.ok)
  expect((await publish(2, 2)).stdout).toContain('nothing was written')
  await waitForVersion(follower, 2)
})
