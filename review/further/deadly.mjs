// BUDGET: a request that crashes the upstreams that run it is forgotten when all entries are killed at once, and then ends
// further upstreams, with the work of others that they run.
import { describeConfiguration, now, runCase, sendAnswer, sendRequest, startDeployment, startUpstream, wait } from '../lib/deployment.mjs'

const UPSTREAMS = 12
const WORK_MS = 400
/** An upstream that has crashed is back after this time, in ms. */
const BACK_AFTER_MS = 3_000
const STABLE_WINDOW_MS = 3_000
const MAX_LATE_RETRIES = 3
/** The deadly request comes again after this time, in ms. */
const AGAIN_AFTER_MS = 900
const DEADLY_TRIES = 4
const HERD_KILLS = 6
const DEADLY = { method: 'GET', path: '/safe/deadly', headers: 'Authorization: caller-1\r\nConnection: close\r\n' }
const BOOKING_INTERVAL_MS = 40

runCase(import.meta.dirname, async ({ write, hasTrouble }) => {
  const crashes = []
  const startVictim = async (id) => {
    const upstream = await startUpstream(id, async (request) => {
      if (request.path === DEADLY.path) {
        crash(request)
        return
      }
      await wait(WORK_MS)
      if (!request.socket.destroyed) sendAnswer(request)
    })
    const crash = ({ id: attempt }) => {
      crashes.push({ attempt, upstream: id, atMs: now() })
      upstream.server.close()
      for (const socket of upstream.sockets) socket.destroy()
      setTimeout(() => {
        upstream.born += BACK_AFTER_MS
        upstream.server.listen(upstream.port, upstream.address)
      }, BACK_AFTER_MS)
    }
    upstream.born = 1_700_000_000_000
    return upstream
  }
  const upstreams = await Promise.all(Array.from({ length: UPSTREAMS }, (_, index) => startVictim(`i-${index + 1}`)))
  const deployment = await startDeployment({ entryCount: 2, upstreams, configuration: describeConfiguration(1), write })
  const startedAtMs = deployment.entries.map(() => now())

  const bookingEnd = new AbortController()
  const bookings = []
  const book = async () => {
    while (!bookingEnd.signal.aborted) {
      const entry = deployment.entries[bookings.length % 2]
      if (entry && !entry.isGone) bookings.push(sendRequest(entry, { id: `booking-${bookings.length + 1}`, method: 'POST', path: '/unsafe/slot', body: 'one slot', deadlineMs: 1_500, headers: 'Connection: close\r\n' }))
      await wait(BOOKING_INTERVAL_MS)
    }
  }
  const booking = book()
  let tries = 0
  const sendDeadly = async () => {
    for (let count = 0; count < DEADLY_TRIES; count++) {
      tries += 1
      const { answer } = await sendRequest(deployment.entries[tries % 2], { ...DEADLY, id: `deadly-${tries}`, deadlineMs: 1_500 })
      write(`deadly-${tries}: ${answer?.status ?? 'the connection is closed'}${answer?.headers['retry-after'] ? `, Retry-After ${answer.headers['retry-after']}` : ''}`)
      await wait(AGAIN_AFTER_MS)
    }
  }
  const killAll = async () => {
    write('all entries are killed, and start again')
    const killed = deployment.entries.map(({ child, exited }) => {
      child.kill('SIGKILL')
      return exited
    })
    await Promise.all(killed)
    await Promise.all(deployment.entries.map((_, index) => deployment.startEntry(index)))
    startedAtMs.fill(now())
  }
  await wait(STABLE_WINDOW_MS + 500)
  await sendDeadly()
  for (let count = 0; count < HERD_KILLS; count++) {
    if (hasTrouble) await killAll()
    await wait(STABLE_WINDOW_MS + 500)
    await sendDeadly()
  }
  bookingEnd.abort()
  await booking
  const results = await Promise.all(bookings)

  for (const { attempt, upstream, atMs } of crashes) write(`${attempt} crashes ${upstream} at ${(atMs / 1000).toFixed(3)} s`)
  const third = crashes[2]
  // The entries have been up for longer than stableWindow whenever the deadly request comes, so they are in touch.
  const late = new Set(third ? crashes.filter(({ atMs }) => atMs > third.atMs + STABLE_WINDOW_MS).map(({ attempt }) => attempt) : [])
  const runs = new Set(upstreams.flatMap((upstream) => upstream.runs.map(({ id }) => id)))
  const lost = results.filter(({ id, answer }) => runs.has(id) && answer?.status !== 200)
  write(`${bookings.length} bookings; ${lost.length} of those that ran were lost with their upstream or entry`)
  write(`${crashes.length} upstreams crashed; ${late.size} attempts of the client reached upstreams later than ${STABLE_WINDOW_MS} ms after the third crash; ${MAX_LATE_RETRIES} are allowed`)
  return late.size <= MAX_LATE_RETRIES
})
