import { readFile } from 'node:fs/promises'
import { expect, test } from 'vitest'
import { SETTINGS_DEFAULTS, parseSettings, readSettings } from '../src/process/settings.ts'
import { contractSchema } from '../src/version/contract.ts'
import { parseJsonc } from '../src/version/jsonc.ts'

const SAMPLES = ['kyushu', 'arequipa']
const MINIMAL = {
  entry: { id: 'entry-1', zone: 'zone-a', address: '127.0.0.1', callerPort: 1, operatorPort: 2, peerPort: 3 },
  log: { url: 'http://127.0.0.1:7000' },
  hostList: { url: 'http://127.0.0.1:7001' },
  peerKey: 'sixteen-characters'
}

function readFault (change: Record<string, unknown>): string {
  const text = JSON.stringify({ ...MINIMAL, ...change }, undefined, 2)
  return parseSettings(text, 'host.jsonc')._unsafeUnwrapErr().message
}

test('settings with only the required fields get the defaults', () => {
  const settings = parseSettings(JSON.stringify(MINIMAL), 'host.jsonc')._unsafeUnwrap()
  expect(settings).toEqual({ ...MINIMAL, ...SETTINGS_DEFAULTS, log: { ...MINIMAL.log, ...SETTINGS_DEFAULTS.log } })
})

test('limits for callers that are not given get their defaults', () => {
  const text = JSON.stringify({ ...MINIMAL, callers: { largestConnections: 5 } })
  expect(parseSettings(text, 'host.jsonc')._unsafeUnwrap().callers).toEqual({ ...SETTINGS_DEFAULTS.callers, largestConnections: 5 })
})

test('an unknown key is rejected with its line and column', () => {
  expect(readFault({ keepAlive: 1 })).toMatch(/^host\.jsonc:\d+:3: unknown key "keepAlive"; remove it or correct its spelling$/)
})

test('all faults are reported together', () => {
  const lines = readFault({ peerKey: 'short', logLevel: 'loud' }).split('\n')
  expect(lines).toHaveLength(2)
  expect(lines[0]).toContain('peerKey: give at least 16 characters')
})

test('two equal ports are rejected', () => {
  expect(readFault({ entry: { ...MINIMAL.entry, peerPort: 1 } })).toContain('three different values')
})

test('the error for an unreadable file names the file', async () => {
  const error = (await readSettings('nowhere/host.jsonc'))._unsafeUnwrapErr()
  expect(error.kind).toBe('settings-invalid')
  expect(error.message).toMatch(/^nowhere\/host\.jsonc: the file cannot be read/)
})

test.each(SAMPLES)('the settings of the sample %s are valid', async (sample) => {
  const settings = (await readSettings(`samples/${sample}/host.jsonc`))._unsafeUnwrap()
  expect(settings).toMatchObject({ ...SETTINGS_DEFAULTS, keepAliveMs: 5000 })
})

test.each(SAMPLES)('the contract of the sample %s matches the contract schema', async (sample) => {
  const text = await readFile(`samples/${sample}/contract.jsonc`, 'utf8')
  const contract = parseJsonc(text, contractSchema)._unsafeUnwrap()
  expect(contract.customer).toBe(sample)
  const sizes = Object.values(contract.services).map((service) => service.targets.length)
  expect(sizes).toEqual(sample === 'kyushu' ? [30, 8] : [30, 6])
})
