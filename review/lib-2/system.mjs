// A small deployment on loopback addresses for the scripts of this review: a store, upstreams and entries as processes.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..')
export const HOST = 'ficu95.example'
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

const startedAt = performance.now()
/** Seconds since the script began. */
export const now = () => (performance.now() - startedAt) / 1000

/** Finds a free port of an address outside the range from which the operating system assigns ports. */
let nextPort = 20_000 + (process.pid % 100) * 100
export async function findFreePort (address = '127.0.0.1') {
  for (;;) {
    const port = nextPort++
    const server = createServer()
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false))
      server.listen(port, address, () => resolve(true))
    })
    if (isFree) {
      await new Promise((resolve) => server.close(resolve))
      return port
    }
  }
}

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
export function createRecord (folder) {
  const file = path.join(folder, 'record.txt')
  writeFileSync(file, '')
  return (text) => appendFileSync(file, `${now().toFixed(3)} ${text}\n`)
}

/** Encodes a record of a keyed topic, without its length. */
function encodeKeyed (key, value) {
  return Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value ?? '')])
}

/** The platform's store, as far as entries call it: the log of keyed topics with one partition. */
export async function startStore ({ address = '127.0.0.1' } = {}) {
  const topics = new Map()
  const state = { era: 1, fault: undefined }
  const getTopic = (name) => {
    if (!topics.has(name)) topics.set(name, { records: [] })
    return topics.get(name)
  }
  const listNewest = (topic) => {
    const newest = new Map()
    topic.records.forEach((data, offset) => {
      const keyLength = data[0]
      const key = data.subarray(1, 1 + keyLength).toString()
      const value = data.subarray(1 + keyLength)
      if (value.length > 0) newest.set(key, { key, value: value.toString('base64'), offset })
      else newest.delete(key)
    })
    return [...newest.values()].sort((a, b) => a.key < b.key ? -1 : 1)
  }
  const sendJson = (outgoing, status, body) => outgoing.writeHead(status, { 'content-type': 'application/json', 'store-era': String(state.era) }).end(JSON.stringify(body))
  const handle = async (incoming, outgoing) => {
    const url = new URL(incoming.url, 'http://store')
    const query = url.searchParams
    const name = query.get('topic') ?? ''
    const chunks = []
    for await (const chunk of incoming) chunks.push(chunk)
    if (state.fault && await state.fault(incoming, outgoing, url)) return
    if (url.pathname === '/log-append') {
      if (name === 'keyed.op' || name === 'keyed.servers') return sendJson(outgoing, 403, {})
      const body = Buffer.concat(chunks)
      const topic = getTopic(name)
      const offset = topic.records.length
      for (let at = 0; at + 4 <= body.length;) {
        const length = body.readUInt32BE(at)
        topic.records.push(body.subarray(at + 4, at + 4 + length))
        at += 4 + length
      }
      return sendJson(outgoing, 200, { offset, end: topic.records.length })
    }
    if (url.pathname === '/log-read') {
      const from = Number(query.get('from'))
      const untilMs = performance.now() + Number(query.get('waitMs') ?? 0)
      while (getTopic(name).records.length <= from && performance.now() < untilMs) await sleep(2)
      const { records } = getTopic(name)
      if (from > records.length) return sendJson(outgoing, 410, { first: 0 })
      const head = Buffer.alloc(16)
      head.writeBigUInt64BE(BigInt(records.length), 0)
      const parts = records.slice(from).flatMap((data) => {
        const length = Buffer.alloc(4)
        length.writeUInt32BE(data.length)
        return [length, data]
      })
      outgoing.writeHead(200, { 'store-era': String(state.era) }).end(Buffer.concat([head, ...parts]))
      return
    }
    if (url.pathname === '/log-newest') {
      const after = query.get('after')
      const topic = getTopic(name)
      const rest = listNewest(topic).filter(({ key }) => after === null || key > after)
      return sendJson(outgoing, 200, { items: rest.slice(0, 500), more: rest.length > 500, end: topic.records.length })
    }
    sendJson(outgoing, 404, {})
  }
  const server = createHttpServer((incoming, outgoing) => { handle(incoming, outgoing).catch(() => outgoing.destroy()) })
  await new Promise((resolve) => server.listen(0, address, resolve))
  return {
    address,
    port: server.address().port,
    state,
    /** Writes a record as the operator and the upstreams do; without a value it removes the key. */
    put (topic, key, value) { getTopic(topic).records.push(encodeKeyed(key, value === undefined ? undefined : JSON.stringify(value))) },
    count: (topic) => getTopic(topic).records.length,
    /** Returns a copy of all topics. */
    snapshot: () => [...topics].map(([name, { records }]) => [name, { records: [...records] }]),
    /** Goes back to a copy, as in a drill: what was written since is gone, and the era rises by one. */
    restore (copy) {
      topics.clear()
      for (const [name, { records }] of copy) topics.set(name, { records: [...records] })
      state.era += 1
    },
    close () {
      server.close()
      server.closeAllConnections()
    }
  }
}

/** A configuration as the operator writes it. `routes`: rows of [name, pathPrefix, kind, service, options]. */
export function buildConfig (version, routes, { maxBodyBytes = 67_108_864, idleTimeout = '15000ms' } = {}) {
  const columns = ['name', 'host', 'pathPrefix', 'kind', 'timeout', 'targetLatency', 'priority', 'split', 'maxAttempts', 'service']
  const rows = routes.map(([name, pathPrefix, kind, service, { timeout = '1500ms', targetLatency = '600ms', maxAttempts = 2 } = {}]) =>
    [name, HOST, pathPrefix, kind, timeout, targetLatency, 1, null, maxAttempts, service])
  const services = [...new Set(routes.map(([, , , service]) => service))]
  return {
    version,
    routes: { columns, rows },
    services: { columns: ['name', 'healthPath', 'maxConnections', 'protocol', 'tls'], rows: services.map((name) => [name, '/health', 260, 'h1', false]) },
    limits: { maxHeaderBytes: 16_384, maxBodyBytes, headerTimeout: '3000ms', idleTimeout }
  }
}

/** What an upstream writes about itself to the store. */
export function buildBeat ({ address, port, service, zone = 'kyu-a', state = 'ready', sequence = 1, born = 1_700_000_000_000, slots = 4 }) {
  return { address: `${address}:${port}`, born, info: { service, version: 'v1', zone, slots }, status: { state, sequence, warmupLeft: '0ms' } }
}

/** The processes that run, each with its temporary folder; whatever ends the script ends them. */
const children = new Map()
process.on('exit', () => {
  for (const [child, folder] of children) {
    child.kill('SIGKILL')
    rmSync(folder, { recursive: true, force: true })
  }
})
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2))
process.on('uncaughtException', (cause) => {
  console.error(cause)
  process.exit(2)
})

/** Starts an entry as the deploy file says and waits until it is ready. */
export async function startEntry (store, { node, zone = 'kyu-a', address = '127.0.0.1', grace = '6s', memoryMb = 740, bootstrap = false, peerPort, ports, zones = ['kyu-a', 'kyu-b', 'kyu-c', 'kyu-d'], extra = '' }) {
  const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-review-'))
  const front = ports?.front ?? await findFreePort(address)
  const ready = ports?.ready ?? await findFreePort(address)
  const directory = ports?.directory ?? await findFreePort(address)
  const internal = peerPort ?? await findFreePort(address)
  const bootFile = path.join(folder, 'boot.conf')
  writeFileSync(bootFile, [
    `node=${node}`, 'role=entry', 'machineClass=front', 'serves=front,directory', `ip=${address}`, `zone=${zone}`, 'region=kyushu',
    ...zones.map((name) => `zones.${name}=kyushu`),
    `listen.front=${address}:${front}`, `listen.ready=${address}:${ready}`, `listen.directory=${address}:${directory}`,
    `internalPorts=${internal},${internal + 15}`, `bootstrap=${bootstrap}`, 'inTolerance=false', 'limits.cpuShare=0.675', 'limits.cores=2',
    `limits.memoryMb=${memoryMb}`, 'limits.maxFds=10250', 'limits.linkMbps=2500.0', 'limits.diskMb=0', 'discovery=platform', 'entry=directory',
    'heartbeat=1500ms', 'contracts=base,drain,config,cost,retry,recover,health,platform', 'tolerate.machines=2', 'tolerate.zones=0', 'tolerate.regions=0',
    'bounds.seedLag=3s', 'bounds.reuseAfter=2s', 'bounds.stableWindow=3000ms', 'bounds.ack=4000ms', 'bounds.catchUp=4s', 'bounds.drain=2000ms',
    `bounds.grace=${grace}`, 'bounds.lossSlack=200ms', 'bounds.configApply=2000ms', 'bounds.rollbackSlack=250ms', 'bounds.maxStretch=5000ms',
    'bounds.budgetRatio=0.2', 'bounds.budgetWindow=10s', 'bounds.budgetSlack=62', 'bounds.recovery=15s', 'bounds.ttl_max=5s', 'bounds.probesPerS=60',
    `platform.address=${store.address}:${store.port}`, 'platform.form=log', 'platform.writesPerS=400', 'platform.readsPerS=2000', 'platform.parts=12',
    'platform.append=2ms', 'platform.partMbPerS=20.0', 'platform.readMbPerS=80.0', 'platform.recordBytes=262144', 'platform.callBytes=2097152',
    'platform.keep=300s', 'platform.partMb=200', 'platform.ttlMin=1000ms', extra, ''
  ].join('\n'))
  const child = spawn(process.execPath, ['--max-old-space-size=256', 'target/start.cjs'], { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, MEDLARCOVE_BOOT: bootFile }, stdio: ['ignore', 'pipe', 'pipe'] })
  const entry = { child, node, zone, address, port: front, readyPort: ready, directoryPort: directory, peerPort: internal, bootFile, output: '', exit: undefined }
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk) => { entry.output += chunk })
  children.set(child, folder)
  entry.exited = new Promise((resolve) => child.once('exit', (code, signal) => {
    children.delete(child)
    entry.exit = { code, signal, at: now() }
    rmSync(folder, { recursive: true, force: true })
    resolve(entry.exit)
  }))
  entry.isReady = () => fetch(`http://${address}:${ready}/ready`).then(({ status }) => status === 200, () => false)
  for (const endAt = now() + 10; !await entry.isReady();) {
    if (entry.exit || now() > endAt) throw new Error(`entry ${node} did not become ready: ${entry.output.slice(-2_000)}`)
    await sleep(30)
  }
  return entry
}

/** Reads one HTTP message from a socket's bytes; returns undefined while it is not complete. */
export function parseMessage (bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [first, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = {}
  for (const line of lines) {
    const at = line.indexOf(':')
    headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim()
  }
  const bodyAt = headEnd + 4
  if (headers['transfer-encoding'] === 'chunked') {
    const parts = []
    for (let at = bodyAt; ;) {
      const lineEnd = bytes.indexOf('\r\n', at)
      if (lineEnd < 0) return { first, headers, partial: Buffer.concat(parts) }
      const size = parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16)
      if (size === 0) return bytes.length >= lineEnd + 4 ? { first, headers, body: Buffer.concat(parts), size: lineEnd + 4 } : { first, headers, partial: Buffer.concat(parts) }
      if (bytes.length < lineEnd + 2 + size + 2) return { first, headers, partial: Buffer.concat([...parts, bytes.subarray(lineEnd + 2)]) }
      parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size))
      at = lineEnd + 2 + size + 2
    }
  }
  const length = Number(headers['content-length'] ?? 0)
  if (bytes.length < bodyAt + length) return { first, headers, partial: bytes.subarray(bodyAt) }
  return { first, headers, body: bytes.subarray(bodyAt, bodyAt + length), size: bodyAt + length }
}

/** A client connection that sends one request at a time. */
export function openConnection (port, address = '127.0.0.1', timeoutMs = 10_000) {
  const socket = connect({ host: address, port })
  socket.setNoDelay(true)
  let bytes = Buffer.alloc(0)
  let isClosed = false
  let wake = () => undefined
  socket.on('data', (chunk) => { bytes = Buffer.concat([bytes, chunk]); wake() })
  socket.on('error', () => undefined)
  for (const event of ['end', 'close']) socket.on(event, () => { isClosed = true; wake() })
  const read = (limitMs) => new Promise((resolve) => {
    const timer = setTimeout(() => finish({ kind: 'timeout', partial: bytes }), limitMs)
    const finish = (result) => {
      clearTimeout(timer)
      wake = () => undefined
      resolve(result)
    }
    wake = () => {
      const message = parseMessage(bytes)
      if (message?.body) {
        bytes = bytes.subarray(message.size)
        finish({ kind: 'answer', status: Number(message.first.split(' ')[1]), headers: message.headers, body: message.body })
      } else if (isClosed) finish({ kind: 'closed', head: message?.first, headers: message?.headers, partial: message?.partial ?? bytes })
    }
    wake()
  })
  return {
    socket,
    get isClosed () { return isClosed },
    get unreadBytes () { return bytes },
    async request ({ method = 'GET', path: target, id, deadlineMs = 1_500, body, headers = {}, limitMs = timeoutMs }) {
      const lines = [`${method} ${target} HTTP/1.1`, `Host: ${HOST}`, `Medlarcove-Attempt-Id: ${id}`, `Medlarcove-Deadline-Ms: ${deadlineMs}`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ...(body === undefined ? [] : [`Content-Length: ${body.length}`])]
      socket.write(Buffer.concat([Buffer.from(lines.join('\r\n') + '\r\n\r\n'), body ?? Buffer.alloc(0)]))
      return read(limitMs)
    },
    read,
    close: () => socket.destroy()
  }
}

/** Sends one request on a new connection. */
export async function send (port, request, address) {
  const connection = openConnection(port, address)
  const result = await connection.request(request)
  connection.close()
  return result
}

/** Requests that an upstream queues beyond its slots. */
const QUEUE_LENGTH = 8

/**
 * An upstream on raw sockets. `handle(request, reply)` gets each request other than a health probe; without it each is answered.
 * `probe(request, reply)` may answer a health probe otherwise, by returning true.
 */
export async function startUpstream ({ id, address = '127.0.0.1', port = 0, slots = 4, tellsLoad = true, handle, probe, service, record = () => undefined }) {
  const upstream = { id, address, port: 0, service, active: 0, runs: [], probes: 0, sockets: new Set(), handle, probe, extraHeaders: {}, tellsLoad }
  const describeLoad = () => upstream.tellsLoad ? { 'Medlarcove-Upstream-Load': `${Math.min(slots, upstream.active)},${Math.max(0, upstream.active - slots)},${slots},100` } : {}
  const serve = async (socket, request) => {
    const reply = {
      socket,
      raw: (bytes) => { if (!socket.destroyed) socket.write(bytes) },
      ok: (body = `run by ${id}`, headers = {}) => reply.answer('200 OK', body, headers),
      /** Answers with what an upstream says of a request that it has run. */
      answer (status, body = '', headers = {}) {
        const all = { 'Medlarcove-Attempt-Id': request.headers['medlarcove-attempt-id'], 'Medlarcove-Response-Signature': `sig.${id}.${request.headers['medlarcove-attempt-id']}`, ...describeLoad(), ...upstream.extraHeaders, ...headers }
        reply.raw(Buffer.concat([Buffer.from(`HTTP/1.1 ${status}\r\n${Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('')}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n`), Buffer.from(body)]))
      }
    }
    if (request.first.startsWith('GET /health ')) {
      upstream.probes += 1
      if (upstream.probe && await upstream.probe(request, reply)) return
      const extra = Object.entries({ ...describeLoad(), ...upstream.extraHeaders }).map(([name, value]) => `${name}: ${value}\r\n`).join('')
      reply.raw(`HTTP/1.1 ${upstream.isLeaving ? '503 Leaving' : '200 OK'}\r\nMedlarcove-Instance-Id: ${id}\r\n${extra}Content-Length: 0\r\n\r\n`)
      return
    }
    const expected = request.headers['medlarcove-target-instance']
    if (expected !== undefined && expected !== id) {
      reply.raw(`HTTP/1.1 421 Misdirected Request\r\nMedlarcove-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    const attempt = request.headers['medlarcove-attempt-id']
    if (upstream.active >= slots + QUEUE_LENGTH) {
      record(`upstream ${id} rejects ${attempt} unrun, since it is full`)
      reply.raw(`HTTP/1.1 503 Full\r\nMedlarcove-Attempt-Id: ${attempt}\r\nMedlarcove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    upstream.runs.push({ attempt, at: now(), first: request.first, body: request.body, deadlineMs: Number(request.headers['medlarcove-deadline-ms']) })
    record(`upstream ${id} runs ${attempt} ${request.first}`)
    upstream.active += 1
    try {
      if (upstream.handle) await upstream.handle(request, reply)
      else reply.ok()
    } finally {
      upstream.active -= 1
    }
  }
  const server = createServer((socket) => {
    upstream.sockets.add(socket)
    socket.setNoDelay(true)
    let bytes = Buffer.alloc(0)
    let isServing = false
    const pump = async () => {
      if (isServing) return
      isServing = true
      for (;;) {
        const request = parseMessage(bytes)
        if (!request?.body) break
        bytes = bytes.subarray(request.size)
        await serve(socket, request)
      }
      isServing = false
    }
    socket.on('data', (chunk) => { bytes = Buffer.concat([bytes, chunk]); pump().catch(() => socket.destroy()) })
    socket.on('error', () => undefined)
    socket.on('end', () => socket.end())
    socket.on('close', () => upstream.sockets.delete(socket))
  })
  await new Promise((resolve) => server.listen(port, address, resolve))
  upstream.port = server.address().port
  upstream.server = server
  upstream.close = () => {
    server.close()
    for (const socket of upstream.sockets) socket.destroy()
  }
  return upstream
}

/** Ends the processes that a script started, and exits. */
export async function finish (code, entries, ...others) {
  for (const { child, exit } of entries) if (!exit) child.kill('SIGKILL')
  await Promise.all(entries.map(({ exited }) => exited))
  for (const other of others) other.close()
  process.exit(code)
}

/** Starts the entries of a small deployment, each on its own loopback address. */
export async function startEntries (store, zones, options = {}) {
  const entries = []
  for (const [index, zone] of zones.entries()) {
    entries.push(await startEntry(store, { node: `front-${zone}-1`, zone, address: `127.0.1.${index + 1}`, ...options }))
  }
  return entries
}

/** Whether the script plays the disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

/**
 * Runs a case: `play` starts its parts, pushes the entries to `entries` and the others to `parts`, and resolves with the number of
 * times that the rule was broken. Ends with 1 if it was broken, 0 if it held, and 2 if the case could not run.
 */
export async function runCase (play) {
  const entries = []
  const parts = []
  const limit = setTimeout(() => {
    console.error('the case took too long')
    finish(2, entries, ...parts)
  }, 110_000)
  try {
    const broken = await play({ entries, parts })
    clearTimeout(limit)
    await finish(broken > 0 ? 1 : 0, entries, ...parts)
  } catch (cause) {
    console.error(cause)
    await finish(2, entries, ...parts)
  }
}
