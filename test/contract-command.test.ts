import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { runAudit } from '../src/cli/audit.ts'
import { runContract } from '../src/cli/contract.ts'
import { createHostClock } from '../src/clock.ts'
import { createAuditLog } from '../src/process/audit/audit-log.ts'
import { createHttpLogClient } from '../src/process/log-http-client.ts'
import { toBrand } from '../src/types.ts'
import type { ContractVersion, CustomerId, EntryId, Offset } from '../src/types.ts'
import { startLogServer } from '../stand-ins/log-server.ts'
import type { LogServer } from '../stand-ins/log-server.ts'
import { getLoopbackAddress } from './support/addresses.ts'
import { createContractText } from './support/contract-texts.ts'

const clock = createHostClock()
let server: LogServer
let folder: string

beforeEach(async () => {
  folder = mkdtempSync(path.join(tmpdir(), 'contract-command-'))
  server = await startLogServer({ address: getLoopbackAddress(40), port: 0 })
})

afterEach(async () => {
  rmSync(folder, { recursive: true })
  await server.close()
})

function writeText (name: string, text: string): string {
  const file = path.join(folder, name)
  writeFileSync(file, text)
  return file
}

async function runCommand (run: typeof runContract, ...args: string[]) {
  const output = { stdout: '', stderr: '' }
  const exitCode = await run(args, { stdout: (text) => { output.stdout += text }, stderr: (text) => { output.stderr += text } })
  return { exitCode, ...output }
}

test('check reports a fault with file, line and column', async () => {
  const file = writeText('c.jsonc', createContractText().replace('"basedOn": 0', '"basedOn": 3'))
  const result = await runCommand(runContract, 'check', file)
  expect(result).toEqual({ exitCode: 3, stdout: '', stderr: `${file}:4:3: version: must be basedOn + 1, here 4\n` })
})

test('publish, show and history report what the log accepted', async () => {
  const log = ['--log', server.url]
  const future = '2999-01-01T00:00:00Z'
  expect((await runCommand(runContract, 'publish', writeText('1.jsonc', createContractText()), '--operator', 'ana', ...log)).stdout).toBe('kyushu version 1 is accepted at offset 0\n')
  expect((await runCommand(runContract, 'publish', writeText('2.jsonc', createContractText({ version: 2, effectiveAt: future })), '--operator', 'ben', ...log)).exitCode).toBe(0)
  const shown = await runCommand(runContract, 'show', '--json', ...log)
  expect(JSON.parse(shown.stdout)).toMatchObject([{ version: 1, state: 'in force', operator: 'ana' }, { version: 2, state: 'scheduled', operator: 'ben' }])
  const audited = await runCommand(runAudit, '--type', 'contract-published', ...log)
  expect(audited.stdout).toMatch(/operator contract-published customer="kyushu" version=1 operator="ana"\n.*version=2 operator="ben"\n$/)
  const late = await runCommand(runContract, 'publish', writeText('late.jsonc', createContractText({ version: 2 })), ...log)
  expect(late.exitCode).toBe(1)
  expect(late.stderr).toContain('version 2 by ben is the accepted one')
  expect((await runCommand(runContract, 'show', 'other', ...log)).exitCode).toBe(1)
  expect((await runCommand(runContract, 'history', ...log)).stdout.split('\n')).toHaveLength(3)
})

test('invalid arguments, unreadable files and an unreachable log return their exit codes, and nothing is written', async () => {
  expect((await runCommand(runContract, 'publish', writeText('1.jsonc', createContractText()))).exitCode).toBe(2)
  expect((await runCommand(runContract, 'publish', path.join(folder, 'none.jsonc'), '--log', server.url)).exitCode).toBe(2)
  expect((await runCommand(runContract, 'publish', '--wrong')).exitCode).toBe(2)
  expect((await runCommand(runAudit, '--since', 'yesterday', '--log', server.url)).stderr).toContain('"yesterday" is not a time')
  expect((await runCommand(runContract, 'show', '--log', `http://${getLoopbackAddress(41)}:1`)).exitCode).toBe(4)
  expect(server.store.readBounds(toBrand('contracts')).next).toBe(0)
})

test('audit prints the audit trail, all of it or filtered by type, customer and entry', async () => {
  const log = createHttpLogClient({ url: server.url, clock })
  const customer = toBrand<CustomerId>('kyushu')
  for (const entry of ['e1', 'e2']) {
    const audit = createAuditLog({ log, clock, entry: toBrand<EntryId>(entry) })
    audit.record({ type: 'contract-in-force', customer, version: 1 as ContractVersion })
    audit.record({ type: 'checkpoint-written', offset: 4 as Offset })
    await audit.flush(clock.monotonicMs() + 5_000)
  }
  await log.close()
  const all = await runCommand(runAudit, '--log', server.url)
  expect(all.stdout.trim().split('\n')).toHaveLength(4)
  expect(all.stdout).toMatch(/^\S+Z e1 contract-in-force customer="kyushu" version=1\n/)
  const some = await runCommand(runAudit, '--log', server.url, '--json', '--customer', 'kyushu', '--entry', 'e2', '--type', 'contract-in-force')
  expect(JSON.parse(some.stdout)).toMatchObject({ entry: 'e2', event: { type: 'contract-in-force' } })
})
