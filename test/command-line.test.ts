import { expect, test } from 'vitest'
import { EXIT_CODES } from '../src/cli/command.ts'
import { runCommandLine } from '../src/cli/commands.ts'

async function runCaptured (...args: string[]) {
  const result = { exitCode: -1, stdout: '', stderr: '' }
  result.exitCode = await runCommandLine(args, {
    stdout: (text) => { result.stdout += text },
    stderr: (text) => { result.stderr += text }
  })
  return result
}

test.each(['entry', 'contract', 'audit', 'status', 'addresses'])('%s prints its help', async (command) => {
  const result = await runCaptured(command, '--help')
  expect(result.exitCode).toBe(EXIT_CODES.ok)
  expect(result.stdout).toMatch(new RegExp(`^Usage: medlarcove ${command} `))
  expect(result.stdout).toContain('Exit codes:')
})

test('the general help lists the commands', async () => {
  const { stdout } = await runCaptured('--help')
  for (const command of ['entry', 'contract', 'audit', 'status', 'addresses']) expect(stdout).toMatch(new RegExp(`^  ${command} `, 'm'))
})

test('--version prints the version of the package', async () => {
  expect((await runCaptured('--version')).stdout).toMatch(/^\d+\.\d+\.\d+\n$/)
})

test.each([[[]], [['run']], [['entry']], [['entry', '--setting', 'x']], [['status']], [['contract']], [['contract', 'print']], [['contract', 'publish', 'samples/kyushu/contract.jsonc']], [['audit', '--until', 'noon']], [['addresses', '--entry', '127.0.0.1:1']]])('an invalid command line %j returns the exit code for usage', async (args) => {
  const result = await runCaptured(...args)
  expect(result.exitCode).toBe(EXIT_CODES.usage)
  expect(result.stderr).toMatch(/^medlarcove: usage: /)
  expect(result.stdout).toBe('')
})

test('an invalid settings file returns its own exit code, and --json prints the error as JSON', async () => {
  const result = await runCaptured('entry', '--settings', 'samples/kyushu/contract.jsonc', '--json')
  expect(result.exitCode).toBe(EXIT_CODES.invalidFile)
  expect(JSON.parse(result.stderr)).toMatchObject({ error: 'settings-invalid', advice: 'Correct the settings file.' })
})

test('entry --check confirms valid settings and starts nothing', async () => {
  const result = await runCaptured('entry', '--settings', 'samples/kyushu/host.jsonc', '--check')
  expect(result).toMatchObject({ exitCode: EXIT_CODES.ok, stdout: 'samples/kyushu/host.jsonc is correct.\n' })
})

test.each([['status', '--entry', '127.0.0.1:1'], ['addresses', '--entry', '127.0.0.1:1', '--customer', 'kyushu']])('%s reports an entry that does not respond', async (...args) => {
  const result = await runCaptured(...args)
  expect(result.exitCode).toBe(EXIT_CODES.unreachable)
  expect(result.stderr).toContain('check the address and that the entry runs')
})

test.each(['kyushu', 'arequipa'])('the contract of the sample %s passes the check', async (sample) => {
  const result = await runCaptured('contract', 'check', `samples/${sample}/contract.jsonc`)
  expect(result).toMatchObject({ exitCode: EXIT_CODES.ok, stderr: '' })
  expect(result.stdout).toContain(`valid: ${sample} version 1`)
})
