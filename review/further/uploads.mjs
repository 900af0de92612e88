// LOST: some uploads within `maxBodyBytes` take an entry beyond its memory; the platform kills it, with the requests of others.
import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import { describeConfiguration, HOST, now, runCase, sendAnswer, sendRequest, startDeployment, startUpstream, wait } from '../lib/deployment.mjs'

/** As in the settings of DEPLOY.md: `limits.memoryMb`, and the link of a machine, `limits.linkMbps`. */
const MEMORY_MB = 740
const LINK_MBPS = 2_500
/** As in the messages that `fleetbench wire` prints for the site. */
const MAX_BODY_BYTES = 67_108_864
const UPLOADS = 12
const UPLOAD_BYTES = 60_000_000
const UPLOAD_DEADLINE_MS = 8_000
const PART_BYTES = 1_000_000
const BOOKINGS_AT_ONCE = 12
const BOOKING_WORK_MS = 300
const BOOKING_DEADLINE_MS = 2_000
const RUN_MS = 8_000
const MEMORY_CHECK_MS = 10
const KB_PER_MB = 1_024
const MAX_LOST = 3

/** Returns the memory of a process that is its own, without files that it has mapped, in MB; undefined when it has ended. */
function readMemoryMb (pid) {
  try {
    return Number(/RssAnon:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'latin1'))[1]) / KB_PER_MB
  } catch {
    return undefined
  }
}

/** Does what the platform does: "A process that exceeds `memoryMb` is killed." Returns the peak so far. */
function watchMemory ({ name, child }, write) {
  const watch = { peakMb: 0, isKilled: false }
  const timer = setInterval(() => {
    const memoryMb = readMemoryMb(child.pid)
    if (memoryMb === undefined) {
      clearInterval(timer)
      return
    }
    watch.peakMb = Math.max(watch.peakMb, memoryMb)
    if (memoryMb <= MEMORY_MB || watch.isKilled) return
    watch.isKilled = true
    child.kill('SIGKILL')
    write(`${name} uses ${Math.round(memoryMb)} MB; the platform kills it, as memoryMb is ${MEMORY_MB}`)
  }, MEMORY_CHECK_MS)
  return watch
}

/** Uploads bodies side by side, together no faster than the link of the machine; resolves when all are sent. */
async function sendUploads (entry) {
  const sockets = Array.from({ length: UPLOADS }, (_, index) => {
    const socket = connect({ host: entry.address, port: entry.ports.front })
    socket.on('error', () => undefined)
    socket.resume()
    socket.write(`POST /unsafe/ledger HTTP/1.1\r\nHost: ${HOST}\r\nMedlarcove-Attempt-Id: upload-${index + 1}\r\nMedlarcove-Deadline-Ms: ${UPLOAD_DEADLINE_MS}\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\n`)
    return socket
  })
  const part = Buffer.alloc(PART_BYTES, 'x')
  const startedAtMs = now()
  let sentBytes = 0
  for (let at = 0; at < UPLOAD_BYTES; at += PART_BYTES) {
    for (const socket of sockets) if (!socket.destroyed) socket.write(part)
    sentBytes += PART_BYTES * UPLOADS
    const dueAtMs = startedAtMs + sentBytes * 8 / (LINK_MBPS * 1_000)
    await wait(Math.max(0, dueAtMs - now()))
  }
  return now() - startedAtMs
}

runCase(import.meta.dirname, async ({ write, hasTrouble }) => {
  const upstreams = await Promise.all(Array.from({ length: 8 }, (_, index) => startUpstream(`i-${index + 1}`, async (request) => {
    await wait(BOOKING_WORK_MS)
    if (!request.socket.destroyed) sendAnswer(request)
  })))
  const configuration = describeConfiguration(1, { timeout: '10000ms' })
  configuration.limits.maxBodyBytes = MAX_BODY_BYTES
  const { entries } = await startDeployment({ entryCount: 2, upstreams, configuration, write })
  const [entry] = entries
  const memory = watchMemory(entry, write)

  const results = []
  const startedAtMs = now()
  const book = async (client) => {
    let socket = connect({ host: entry.address, port: entry.ports.front })
    socket.setMaxListeners(0)
    for (let count = 1; now() - startedAtMs < RUN_MS && !entry.isGone; count++) {
      const result = await sendRequest(entry, { id: `booking-${client}-${count}`, method: 'POST', path: '/unsafe/slot', body: 'one slot', deadlineMs: BOOKING_DEADLINE_MS, socket })
      results.push(result)
      if (!result.answer || result.answer.headers.connection === 'close') {
        socket.destroy()
        socket = connect({ host: entry.address, port: entry.ports.front })
        socket.on('error', () => undefined)
      }
    }
    socket.destroy()
  }
  const bookings = Promise.all(Array.from({ length: BOOKINGS_AT_ONCE }, (_, index) => book(index + 1)))
  await wait(1_000)
  if (hasTrouble) {
    write(`${UPLOADS} clients upload ${UPLOAD_BYTES} bytes each to ${entry.name}, within maxBodyBytes (${MAX_BODY_BYTES}), together at ${LINK_MBPS} Mbit/s`)
    const tookMs = await sendUploads(entry)
    write(`the uploads were sent in ${Math.round(tookMs)} ms`)
  }
  await bookings
  const runs = new Set(upstreams.flatMap((upstream) => upstream.runs.map(({ id }) => id)))
  const lost = results.filter(({ id, answer, isClosed }) => runs.has(id) && !answer && isClosed)
  for (const { id, sentAtMs, endedAtMs } of lost) write(`${id}: passed on to an upstream; the kept connection is closed without an answer after ${Math.round(endedAtMs - sentAtMs)} ms`)
  write(`${entry.name}: ${Math.round(memory.peakMb)} MB at most`)
  write(`${results.length} bookings on kept connections; ${lost.length} were passed on to a sound upstream and got no answer; ${MAX_LOST} are allowed`)
  return lost.length <= MAX_LOST
})
