// An entry restarts after the store came back from a copy, and before the operator has written the newest configuration again.
import path from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { createId, sendRequest } from '../lib-3/client.mjs'
import { createFleet, HABI_BOUNDS } from '../lib-3/fleet.mjs'
import { runCase } from '../lib-3/record.mjs'
import { startServer } from '../lib-3/server.mjs'
import { startStore } from '../lib-3/store.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'desk.example'
const LEAKED_KEY = 'key-leaked'
const GOOD_KEY = 'key-good'
/** Bounds of the deployment habi-orders-grown, in ms: a configuration holds after 2,500, a key that is taken away after 5,000. */
const REVOKE_MS = 5_000
const STABLE_WINDOW_MS = 3_000
/** Instants of the play, in ms from the first configuration. */
const COPY_AT_MS = 5_000
const CHANGE_AT_MS = 6_000
const TERM_AT_MS = 8_000
const AWAY_AT_MS = 10_000
const BACK_AT_MS = 11_000
const WRITTEN_AGAIN_AT_MS = 13_000
const END_AT_MS = 40_000
const ASK_PAUSE_MS = 500

function describeConfiguration (version) {
  const isNew = version > 1
  const routes = [['lookup', HOST, '/lookup/', 'safe', '1500ms', '600ms', 1, 2, 'desk']]
  if (isNew) routes.push(['added', HOST, '/added/', 'safe', '1500ms', '600ms', 1, 2, 'desk'])
  return {
    version,
    routes: { columns: ['name', 'host', 'pathPrefix', 'kind', 'timeout', 'targetLatency', 'priority', 'maxAttempts', 'service'], rows: routes },
    services: { columns: ['name', 'healthPath', 'maxConnections', 'protocol', 'tls'], rows: [['desk', '/health', 260, 'h1', false]] },
    tenants: { columns: ['name', 'apiKeys', 'priority', 'ratePerS', 'burst'], rows: [['mill', isNew ? [GOOD_KEY] : [GOOD_KEY, LEAKED_KEY], null, null, null]] },
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 1000000, headerTimeout: '3000ms', idleTimeout: '15000ms' }
  }
}

async function play (record) {
  const store = await startStore('127.0.0.1')
  const servers = []
  let fleet
  try {
    for (const [index, zone] of ['z-a', 'z-b', 'z-c'].entries()) {
      const server = await startServer({ id: `i-${index + 1}`, service: 'desk', zone, address: '127.0.0.1', store, log: record.add })
      server.register()
      servers.push(server)
    }
    store.put('keyed.op', 'config', describeConfiguration(1))
    fleet = await createFleet({ count: 3, storeAddress: store.address, net: 61, bounds: HABI_BOUNDS })
    const { entries } = fleet
    for (const entry of entries) await entry.start()
    for (const entry of entries) if (!await entry.waitReady()) throw new Error(`${entry.name} is not ready`)
    const startMs = record.nowMs()
    const waitUntil = (atMs) => wait(Math.max(0, startMs + atMs - record.nowMs()))
    const ask = async (entry, path, key) => {
      const id = createId()
      const sentMs = record.nowMs()
      const { status } = await sendRequest(entry, { path, host: HOST, id, deadlineMs: 1500, headers: { Authorization: `Token ${key}` } })
      const hasRun = servers.some(({ runs }) => runs.some(({ attempt }) => attempt === id))
      record.add(`answer ${entry.name} ${id} ${path} ${key} ${status}${hasRun ? ' run' : ''}`)
      return { sentMs, status, hasRun }
    }
    const restarting = entries.at(-1)
    // Planned work: one entry is stopped and started again, as in a rolling restart.
    const restart = async () => {
      await waitUntil(TERM_AT_MS)
      restarting.signal('SIGTERM')
      record.add(`SIGTERM ${restarting.name}`)
      const code = await restarting.exited
      record.add(`${restarting.name} ended with ${code}`)
      await restarting.start()
      record.add(`${restarting.name} started again`)
      const isReady = await restarting.waitReady()
      record.add(`${restarting.name} ${isReady ? 'is ready' : 'is not ready'}`)
      return record.nowMs()
    }
    const restarted = restart()
    await waitUntil(COPY_AT_MS)
    const copy = store.takeCopy()
    await waitUntil(CHANGE_AT_MS)
    store.put('keyed.op', 'config', describeConfiguration(2))
    record.add('acknowledged configuration 2: one key is taken away, one route is added')
    if (HAS_TROUBLE) {
      await waitUntil(AWAY_AT_MS)
      store.goAway()
      record.add('the store is away')
      await waitUntil(BACK_AT_MS)
      store.comeBack(copy)
      record.add('the store is back from a copy; Store-Era 2')
      await waitUntil(WRITTEN_AGAIN_AT_MS)
      for (const server of servers) server.report()
      store.put('keyed.op', 'config', describeConfiguration(2))
      record.add('acknowledged configuration 2, written again')
    }
    const readyMs = await restarted
    // From then on every entry is in touch, and the configuration binds.
    const boundMs = Math.max(startMs + WRITTEN_AGAIN_AT_MS + REVOKE_MS, readyMs) + STABLE_WINDOW_MS
    let broken = 0
    let asked = 0
    while (record.nowMs() < startMs + END_AT_MS) {
      for (const entry of entries) {
        const revoked = await ask(entry, '/lookup/1', LEAKED_KEY)
        const added = await ask(entry, '/added/1', GOOD_KEY)
        if (revoked.sentMs < boundMs) continue
        asked += 2
        if (revoked.hasRun) record.add(`BROKEN CONFIG: ${entry.name} had a request run whose key was taken away`)
        if (added.status === 404) record.add(`BROKEN CONFIG: ${entry.name} answered 404 for a route that is there`)
        broken += Number(revoked.hasRun) + Number(added.status === 404)
      }
      await wait(ASK_PAUSE_MS)
    }
    record.add(`asked ${asked} after the bound, broken ${broken}`)
    for (const entry of entries) for (const line of entry.readLog().split('\n').filter((text) => /"A configuration is in effect|restored|store was/.test(text) || text.includes('A configuration is in effect'))) record.add(`log ${entry.name} ${line.slice(0, 400)}`)
    return broken > 0 ? 1 : 0
  } finally {
    await fleet?.close()
    for (const server of servers) server.close()
    store.close()
  }
}

await runCase(path.join(import.meta.dirname, 'record.txt'), play)
