import { setTimeout as wait } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { decodeTargetReport } from '../src/platform/target-record.ts'
import type { PlatformStore } from '../stand-ins/platform-store.ts'
import { describeConfiguration, describeTarget, ROUTE_HOST, startPlatformTarget } from '../stand-ins/platform-target.ts'
import { sendTo, startGatewayFleet } from './support/gateway-fleet.ts'
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

const SOUND = describeTarget({ port: 9 })

/** Records that name no target, as values of the topic of the targets. */
const ODD_TARGETS: Record<string, unknown> = {
  'port 0': { ...SOUND, address: '127.0.0.1:0' },
  'port 65536': { ...SOUND, address: '127.0.0.1:65536' },
  'port 99999': { ...SOUND, address: '127.0.0.1:99999' },
  'no such octet': { ...SOUND, address: '999.1.1.1:80' },
  'this network': { ...SOUND, address: '0.0.0.0:80' },
  multicast: { ...SOUND, address: '224.0.0.1:80' },
  broadcast: { ...SOUND, address: '255.255.255.255:80' },
  'too many slots': { ...SOUND, info: { ...SOUND.info, slots: Number.MAX_SAFE_INTEGER } },
  'long service': { ...SOUND, info: { ...SOUND.info, service: 's'.repeat(200_000) } },
  'long zone': { ...SOUND, info: { ...SOUND.info, zone: 'z'.repeat(200_000) } },
  'endless warm-up': { ...SOUND, status: { ...SOUND.status, warmupLeft: `${'9'.repeat(400)}s` } },
  'long warm-up': { ...SOUND, status: { ...SOUND.status, warmupLeft: '9999999999s' } },
  'sequence too large': { ...SOUND, status: { ...SOUND.status, sequence: Number.MAX_SAFE_INTEGER } },
  'born too late': { ...SOUND, born: Number.MAX_SAFE_INTEGER },
  'number too large': JSON.stringify(SOUND).replace('"born":1', '"born":1e999'),
  deep: DEEP,
  'deep field': JSON.stringify(SOUND).replace('"born":1', `"born":${DEEP}`)
}

// Guards against odd records that are taken for targets, and get requests that then fail.
test('a record of a target with an address, a number or a name out of range names no target', () => {
  expect(decodeTargetReport('i-1', Buffer.from(JSON.stringify(SOUND))).isOk()).toBe(true)
  for (const [name, value] of Object.entries(ODD_TARGETS)) {
    const bytes = Buffer.from(typeof value === 'string' ? value : JSON.stringify(value))
    expect(decodeTargetReport('i-1', bytes).isErr(), name).toBe(true)
  }
  for (const id of ['', 'i-1\r\nx: y', 'i 1', '\u0000', 'ï-1', 'i'.repeat(200)]) expect(decodeTargetReport(id, Buffer.from(JSON.stringify(SOUND))).isErr(), id).toBe(true)
})

test('odd records of targets beside a sound one cost no request, at the start, later and in a full read', async () => {
  const writeAll = (store: PlatformStore): void => { for (const [name, value] of Object.entries(ODD_TARGETS)) store.put('keyed.servers', name, value) }
  const program = await startGatewayProgram({ prepare: writeAll })
  programs.push(program)
  const sendMany = async (round: string): Promise<void> => {
    const responses = await Promise.all(Array.from({ length: 8 }, (_, index) => sendSafeRequest(program.settings, `${round}-${index}`)))
    expect(responses.map(({ text }) => text.slice(9, 12)), round).toEqual(responses.map(() => '200'))
  }
  await sendMany('start')
  writeAll(program.store)
  program.store.put('keyed.servers', 'i-2', { ...describeTarget(program.target), status: { state: 'draining', sequence: 1, warmupLeft: '0ms' } })
  await waitFor(() => program.getOutput().includes('"target":"i-2"'))
  await sendMany('later')
  program.store.restore(program.store.takeCopy())
  await waitFor(() => program.getOutput().split('Read all targets.').length === 3)
  await sendMany('full read')
  expect(program.child.exitCode).toBeNull()
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

test('odd records reach no other entry by the one that reads for all, and an entry that starts among them serves', async () => {
  const target = await startPlatformTarget('i-1')
  const fleet = await startGatewayFleet([target], 2)
  try {
    for (const [name, value] of Object.entries(ODD_TARGETS)) fleet.store.put('keyed.servers', name, value)
    for (const value of [DEEP, { ...describeConfiguration(2), version: 1e300 }, 'no JSON', '']) fleet.store.put('keyed.op', 'config', value)
    fleet.store.put('keyed.op', 'config', describeConfiguration(3))
    await waitFor(() => fleet.entries.every(({ log }) => log.some(({ fields }) => fields.version === 3)))
    await fleet.startEntry()
    for (const entry of fleet.entries) expect((await sendTo(entry, { path: '/safe/a' })).status).toBe(200)
    expect(fleet.entries.flatMap(({ log }) => log.filter(({ message }) => /failed|could not be applied/.test(message)))).toEqual([])
  } finally {
    await fleet.close()
  }
})
