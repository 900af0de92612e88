import { execFileSync, spawn, spawnSync } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { copyFileSync, mkdtempSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { afterEach, beforeAll, expect, test } from 'vitest'
import type { BootSettings } from '../src/platform/boot-file.ts'
import { formatBootText } from '../stand-ins/platform-boot.ts'
import { startPlatformStore } from '../stand-ins/platform-store.ts'
import { describeConfiguration, describeTarget, ROUTE_HOST, startPlatformTarget } from '../stand-ins/platform-target.ts'
import { buildSettings, sendRaw, waitFor } from './support/gateway-system.ts'

const PROGRAM = ['--max-old-space-size=256', 'target/start.cjs']
const cleanups: (() => void)[] = []

beforeAll(() => { execFileSync(process.execPath, ['scripts/bundle.mjs', '--platform']) })
afterEach(() => { for (const cleanup of cleanups.splice(0)) cleanup() })

/** Starts the platform's program, with a store and one target. */
async function startProgram (program: readonly string[] = PROGRAM) {
  const store = await startPlatformStore()
  const target = await startPlatformTarget('i-1')
  store.put('keyed.op', 'config', describeConfiguration(1))
  store.put('keyed.servers', 'i-1', describeTarget(target))
  const settings = await buildSettings(store, { graceMs: 1_200 })
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-gateway-'))
  const bootFile = path.join(folder, 'boot.conf')
  writeFileSync(bootFile, formatBootText(settings))
  const child: ChildProcess = spawn(process.execPath, program, { env: { ...process.env, MEDLARCOVE_BOOT: bootFile }, stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout?.on('data', (chunk: Buffer) => { output += chunk.toString() })
  const exited = new Promise<number | null>((resolve) => { child.once('exit', (code) => resolve(code)) })
  cleanups.push(() => {
    child.kill('SIGKILL')
    store.close()
    target.server.closeAllConnections()
    target.server.close()
    rmSync(folder, { recursive: true })
  })
  const readyUrl = `http://127.0.0.1:${settings.listen.ready.port}/ready`
  const isReady = () => fetch(readyUrl).then(({ status }) => status === 200, () => false)
  await waitFor(isReady)
  return { child, exited, settings, bootFile, getOutput: () => output }
}

function sendRequest (settings: BootSettings, id: string) {
  return sendRaw(settings.listen.front.port, `GET /safe/a HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nMedlarcove-Attempt-Id: ${id}\r\nConnection: close\r\n\r\n`)
}

test('the platform\'s program serves, keeps its settings on SIGHUP with an invalid boot file, and exits with 0 on SIGTERM', async () => {
  const { child, exited, settings, bootFile, getOutput } = await startProgram()
  expect((await sendRequest(settings, 'a-1')).text.slice(9, 12)).toBe('200')
  writeFileSync(bootFile, 'node=front-1\n')
  child.kill('SIGHUP')
  await waitFor(() => getOutput().includes('The changed settings are wrong'))
  expect((await sendRequest(settings, 'a-2')).text.slice(9, 12)).toBe('200')
  child.kill('SIGTERM')
  expect(await exited).toBe(0)
  expect(getOutput()).toContain('[gateway] Stopped.')
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
  expect(() => execFileSync(process.execPath, [...PROGRAM, '--check'], { env: { ...process.env, MEDLARCOVE_BOOT: bootFile }, stdio: 'pipe' }))
    .toThrow(/boot\.conf: .*node: expected a text.*platform\.address: expected an address with a port/)
})

test('the program starts with the code cache of the build, and without it when it is missing or invalid', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-code-'))
  cleanups.push(() => rmSync(folder, { recursive: true }))
  const [option] = PROGRAM as [string]
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
  const { stderr } = spawnSync(process.execPath, ['--require', preload, ...PROGRAM, '--help'], { encoding: 'utf8' })
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
