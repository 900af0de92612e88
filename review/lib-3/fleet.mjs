// Starts entries as separate processes with the command of the deploy file, and ends them.
import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'

const ROOT = path.resolve(import.meta.dirname, '../..')
const RUN = /^run = "([^"]+)"/m.exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
const READY_TIMEOUT_MS = 20_000
const POLL_MS = 25

/** What differs in the settings of a deployment like habi-orders-grown. */
export const HABI_BOUNDS = {
  contracts: 'base,drain,config,cost,retry,recover,health,pool,places,tenants,quota,platform',
  'tolerate.zones': 1,
  'limits.memoryMb': 602,
  'limits.maxFds': 10064,
  'limits.linkMbps': '140.0',
  'bounds.ack': '5000ms',
  'bounds.catchUp': '6s',
  'bounds.drain': '2500ms',
  'bounds.configApply': '2500ms',
  'bounds.budgetSlack': 176,
  'bounds.strictRevoke': 'false',
  'bounds.revoke': '5000ms',
  'bounds.quotaWindow': '5s',
  'bounds.quotaOverage': 0.1,
  'bounds.quotaSlack': 20,
  'bounds.warmupOverage': 1.5,
  'bounds.warmupSlack': 8,
  'bounds.evacuate': '5000ms',
  'platform.writesPerS': 1200,
  'platform.readsPerS': 6000
}

/** Finds ports that are free on an address. */
export async function findPorts (address, count) {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise((resolve, reject) => {
    const server = createServer().once('error', reject).listen(0, address, () => resolve(server))
  })))
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}

function formatBootFile (entry, storeAddress, bounds) {
  const { name, zone, ip, ports } = entry
  const lines = {
    node: name,
    role: 'entry',
    machineClass: 'front',
    serves: 'front,directory',
    ip,
    zone,
    region: 'r1',
    'zones.z-a': 'r1',
    'zones.z-b': 'r1',
    'zones.z-c': 'r1',
    'listen.front': `${ip}:${ports[0]}`,
    'listen.ready': `${ip}:${ports[1]}`,
    'listen.directory': `${ip}:${ports[2]}`,
    internalPorts: `${ports[3]},${ports[3]}`,
    bootstrap: 'false',
    inTolerance: 'false',
    'limits.cpuShare': 0.675,
    'limits.cores': 2,
    'limits.memoryMb': 740,
    'limits.maxFds': 10250,
    'limits.linkMbps': '2500.0',
    'limits.diskMb': 0,
    discovery: 'platform',
    entry: 'directory',
    heartbeat: '1500ms',
    contracts: 'base,drain,config,cost,retry,recover,health,platform',
    'tolerate.machines': 2,
    'bounds.seedLag': '3s',
    'bounds.reuseAfter': '2s',
    'bounds.stableWindow': '3000ms',
    'bounds.ack': '4000ms',
    'bounds.catchUp': '4s',
    'bounds.drain': '2000ms',
    'bounds.grace': '6s',
    'bounds.lossSlack': '200ms',
    'bounds.configApply': '2000ms',
    'bounds.rollbackSlack': '250ms',
    'bounds.maxStretch': '5000ms',
    'bounds.budgetRatio': 0.2,
    'bounds.budgetWindow': '10s',
    'bounds.budgetSlack': 62,
    'bounds.recovery': '15s',
    'bounds.ttl_max': '5s',
    'bounds.probesPerS': 60,
    'platform.address': storeAddress,
    'platform.form': 'log',
    'platform.writesPerS': 400,
    'platform.readsPerS': 2000,
    'platform.parts': 12,
    'platform.append': '2ms',
    'platform.partMbPerS': '20.0',
    'platform.readMbPerS': '80.0',
    'platform.recordBytes': 262144,
    'platform.callBytes': 2097152,
    'platform.keep': '300s',
    'platform.partMb': 200,
    'platform.ttlMin': '1000ms',
    ...bounds
  }
  return Object.entries(lines).map(([key, value]) => `${key}=${value}\n`).join('')
}

/** Asks an entry whether it is ready. */
function askReady (ip, port) {
  return new Promise((resolve) => {
    let text = ''
    const socket = connect({ host: ip, port }, () => socket.write('GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'))
    socket.setTimeout(1000, () => socket.destroy())
    socket.on('data', (chunk) => { text += chunk })
    socket.on('error', () => undefined)
    socket.on('close', () => resolve(text.startsWith('HTTP/1.1 200')))
  })
}

/** Creates `count` entries, each on a loopback address of its own; none is started. */
export async function createFleet ({ count, storeAddress, bounds = {}, net = 61 }) {
  const folder = mkdtempSync(path.join(tmpdir(), 'review-3-'))
  const children = new Set()
  const shared = await findPorts('127.0.0.1', 4)
  const entries = Array.from({ length: count }, (_, index) => {
    const zone = ['z-a', 'z-b', 'z-c'][index % 3]
    const entry = { name: `front-${zone}-${index + 1}`, zone, ip: `127.0.${net}.${index + 1}`, ports: shared, child: undefined, exitCode: undefined, logFile: path.join(folder, `entry-${index + 1}.log`) }
    const bootFile = path.join(folder, `boot-${index + 1}.conf`)
    writeFileSync(bootFile, formatBootFile(entry, storeAddress, bounds))
    entry.start = async () => {
      const log = openSync(entry.logFile, 'a')
      entry.exitCode = undefined
      const child = spawn(RUN[0], RUN.slice(1), { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, MEDLARCOVE_BOOT: bootFile }, stdio: ['ignore', log, log] })
      closeSync(log)
      entry.child = child
      children.add(child)
      entry.exited = new Promise((resolve) => child.once('exit', (code, signal) => {
        children.delete(child)
        entry.exitCode = code ?? signal
        resolve(entry.exitCode)
      }))
    }
    entry.waitReady = async () => {
      const endsAt = performance.now() + READY_TIMEOUT_MS
      while (performance.now() < endsAt) {
        if (entry.exitCode !== undefined) return false
        if (await askReady(entry.ip, entry.ports[1])) return true
        await wait(POLL_MS)
      }
      return false
    }
    entry.signal = (name) => entry.child?.kill(name)
    entry.readLog = () => readFileSync(entry.logFile, 'utf8')
    return entry
  })
  const killAll = () => { for (const child of children) child.kill('SIGKILL') }
  process.on('exit', killAll)
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(2))
  return {
    entries,
    folder,
    async close () {
      const ends = entries.filter(({ child }) => child && children.has(child)).map(({ exited }) => exited)
      killAll()
      await Promise.all(ends)
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
