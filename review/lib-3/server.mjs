// A stand-in of an upstream: it registers in the store with heartbeats, checks whom a request is meant for, and records what it runs.
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1_500

/** Starts an upstream on a free port. `work` answers a request that is run; by default with a signed success. */
export async function startServer ({ id, service, zone, address, store, slots = 4, work, log, hasLoad = true }) {
  const born = Date.now()
  const state = { id, runs: [], load: 0, sequence: 0, current: 'ready', isRegistered: false }
  const sockets = new Set()
  /** What all answers say: the load, if the service tells it, and that the upstream is leaving. */
  const describeSelf = () => ({
    ...(hasLoad ? { 'Medlarcove-Upstream-Load': `${Math.min(state.load, slots)},${Math.max(0, state.load - slots)},${slots},100` } : {}),
    ...(state.current === 'leaving' ? { 'Server-Leaving': '1', Connection: 'close' } : {})
  })
  state.headers = (incoming) => ({ 'Medlarcove-Attempt-Id': incoming.headers['medlarcove-attempt-id'], 'Medlarcove-Response-Signature': `${id}.${state.runs.length}`, ...describeSelf() })
  const answer = work ?? ((incoming, outgoing, body) => outgoing.writeHead(200, state.headers(incoming)).end(`${service} ${incoming.headers['medlarcove-attempt-id']}`))
  const server = createServer((incoming, outgoing) => {
    if (incoming.url === '/health') {
      outgoing.writeHead(state.current === 'ready' ? 200 : 503, { 'Medlarcove-Instance-Id': id, ...describeSelf() }).end()
      return
    }
    const attempt = incoming.headers['medlarcove-attempt-id']
    const meant = incoming.headers['medlarcove-target-instance']
    const chunks = []
    incoming.on('data', (chunk) => chunks.push(chunk))
    incoming.on('error', () => undefined)
    incoming.on('end', () => {
      if (attempt === undefined) {
        outgoing.writeHead(400, { 'Medlarcove-Not-Executed': '1' }).end()
        return
      }
      if (meant !== undefined && meant !== id) {
        outgoing.writeHead(421, { 'Medlarcove-Attempt-Id': attempt, 'Medlarcove-Not-Executed': '1', 'Medlarcove-Instance-Id': id }).end()
        return
      }
      state.load += 1
      outgoing.once('close', () => { state.load -= 1 })
      const run = { atMs: performance.now(), attempt, method: incoming.method, path: incoming.url, tenant: incoming.headers['medlarcove-tenant'], body: Buffer.concat(chunks) }
      state.runs.push(run)
      log?.(`run ${id} ${attempt} ${incoming.method} ${incoming.url}${run.tenant ? ` tenant=${run.tenant}` : ''}`)
      answer(incoming, outgoing, run, state)
    })
  })
  server.keepAliveTimeout = 10_000
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.once('close', () => sockets.delete(socket))
  })
  await new Promise((resolve) => server.listen(0, address, resolve))
  state.address = `${address}:${server.address().port}`
  const describe = () => ({ address: state.address, born, info: { service, zone, version: 'v1', slots }, status: { state: state.current, sequence: state.sequence, warmupLeft: '0ms' } })
  /** Writes the own record; called by a heartbeat too. */
  state.report = () => {
    state.sequence += 1
    store.put('keyed.servers', id, describe())
  }
  const timer = setInterval(() => { if (state.isRegistered) state.report() }, HEARTBEAT_MS)
  state.register = () => {
    state.isRegistered = true
    state.report()
  }
  /** Leaves without reporting `draining`: the record is removed, and all answers say that it leaves. */
  state.leave = () => {
    state.isRegistered = false
    state.current = 'leaving'
    state.remove()
  }
  state.remove = () => store.put('keyed.servers', id)
  state.close = () => {
    clearInterval(timer)
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  return state
}
