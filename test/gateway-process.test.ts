import { execFileSync, spawnSync } from 'node:child_process'
import { copyFileSync, mkdtempSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { afterEach, expect, test } from 'vitest'
import { sendCompleteResponse } from '../stand-ins/platform-target.ts'
import { PLATFORM_PROGRAM, sendSafeRequest, startGatewayProgram } from './support/gateway-program.ts'
import type { GatewayProgram } from './support/gateway-program.ts'
import { waitFor } from './support/gateway-system.ts'

const cleanups: (() => void)[] = []

afterEach(() => { for (const cleanup of cleanups.splice(0)) cleanup() })

async function startProgram (program?: readonly string[]): Promise<GatewayProgram> {
  const started = await startGatewayProgram(program ? { program } : {})
  cleanups.push(started.close)
  return started
}

test('the platform\'s program serves, keeps its settings on SIGHUP with an invalid boot file, and exits with 0 on SIGTERM', async () => {
  const { child, exited, settings, bootFile, getOutput } = await startProgram()
  expect((await sendSafeRequest(settings, 'a-1')).text.slice(9, 12)).toBe('200')
  writeFileSync(bootFile, 'node=front-1\n')
  child.kill('SIGHUP')
  await waitFor(() => getOutput().includes('The changed settings are wrong'))
  expect((await sendSafeRequest(settings, 'a-2')).text.slice(9, 12)).toBe('200')
  child.kill('SIGTERM')
  expect(await exited).toBe(0)
  expect(getOutput()).toContain('[gateway] Stopped.')
})

// Guards against a second signal that ends the process with requests in progress.
test('a second SIGTERM, SIGINT or SIGHUP during the shutdown changes nothing for the requests in progress', async () => {
  const program = await startGatewayProgram({ settings: { graceMs: 6_000 } })
  cleanups.push(program.close)
  const finishers: (() => void)[] = []
  program.target.handleRequest = (incoming, outgoing) => { finishers.push(() => sendCompleteResponse(program.target, incoming, outgoing)) }
  const responses = ['a-1', 'a-2', 'a-3'].map((id) => sendSafeRequest(program.settings, id))
  await waitFor(() => finishers.length === responses.length)
  program.child.kill('SIGTERM')
  await waitFor(() => program.getOutput().includes('Stopping.'))
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGTERM'] as const) program.child.kill(signal)
  // The process has handled the signals once it reports a change of its boot file that came after them.
  writeFileSync(program.bootFile, 'node=front-1\n')
  program.child.kill('SIGHUP')
  await waitFor(() => program.child.exitCode !== null || program.getOutput().includes('The changed settings are wrong'))
  for (const finish of finishers) finish()
  expect((await Promise.all(responses)).map(({ text }) => text.slice(9, 12))).toEqual(['200', '200', '200'])
  expect(await program.exited).toBe(0)
})

test('the gateway command exits with 0 on SIGTERM', async () => {
  const { child, exited } = await startProgram(['dist/medlarcove.cjs', 'gateway'])
  child.kill('SIGTERM')
  expect(await exited).toBe(0)
})

test('the program reports every error of an invalid boot file', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-gateway-'))
  cleanups.push(() => rmSync(folder, { recursive: true }))
  const bootFile = path.join(folder, 'boot.conf')
  writeFileSync(bootFile, 'zone=a\n')
  expect(() => execFileSync(process.execPath, [...PLATFORM_PROGRAM, '--check'], { env: { ...process.env, MEDLARCOVE_BOOT: bootFile }, stdio: 'pipe' }))
    .toThrow(/boot\.conf: .*node: expected a text.*platform\.address: expected an address with a port/)
})

test('the program starts with the code cache of the build, and without it when it is missing or invalid', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-code-'))
  cleanups.push(() => rmSync(folder, { recursive: true }))
  const [option] = PLATFORM_PROGRAM as [string]
  const run = (file: string) => spawnSync(process.execPath, [option, file, '--help'], { encoding: 'utf8' })
  expect(run('target/start.cjs')).toMatchObject({ status: 0, stderr: '' })
  for (const file of ['start.cjs', 'gateway.cjs']) copyFileSync(`target/${file}`, path.join(folder, file))
  expect(run(path.join(folder, 'start.cjs'))).toMatchObject({ status: 0, stderr: expect.stringContaining('cannot be read') })
  writeFileSync(path.join(folder, 'gateway.code'), 'not compiled code')
  expect(run(path.join(folder, 'start.cjs'))).toMatchObject({ status: 0, stderr: expect.stringContaining('does not fit') })
})

test('a start loads no module that only metrics, HTTP/2 or the global fetch need', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-modules-'))
  cleanups.push(() => rmSync(folder, { recursive: true }))
  const preload = path.join(folder, 'list-modules.cjs')
  writeFileSync(preload, 'process.on("exit", () => process.stderr.write(process.moduleLoadList.join("\\n")))')
  const { stderr } = spawnSync(process.execPath, ['--require', preload, ...PLATFORM_PROGRAM, '--help'], { encoding: 'utf8' })
  const modules = stderr.split('\n')
  expect(modules).toContain('NativeModule http')
  for (const module of ['internal/deps/undici/undici', 'http2', 'https', 'tls', 'cluster']) expect(modules).not.toContain(`NativeModule ${module}`)
})

test('the build compiles the functions that serve a request', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-code-'))
  cleanups.push(() => rmSync(folder, { recursive: true }))
  for (const file of ['start.cjs', 'gateway.cjs']) copyFileSync(`target/${file}`, path.join(folder, file))
  execFileSync(process.execPath, ['--max-old-space-size=256', path.join(folder, 'start.cjs'), '--write-code', '--help'])
  expect(statSync('target/gateway.code').size).toBeGreaterThan(statSync(path.join(folder, 'gateway.code')).size)
})
