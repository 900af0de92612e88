// Upstreams in trouble send bytes without end in the body of some answers, until the caller closes.
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { buildBeat, buildConfig, createRecord, HAS_TROUBLE, now, openConnection, runCase, sleep, startEntries, startStore, startUpstream } from '../lib-2/system.mjs'

const FOLDER = path.dirname(fileURLToPath(import.meta.url))
const UPSTREAMS = 6
const TROUBLED_UPSTREAMS = 3
/** Of the answers of an upstream in trouble, one in this number has no end. */
const ANSWERS_PER_ENDLESS = 20
const WORK_MS = 150
const CHUNK = 'x'.repeat(512)
const CHUNK_GAP_MS = 40
const TIMEOUT_MS = 1_200
const DEADLINE_MS = 2_000
const BOOKINGS = 900
const BOOKING_GAP_MS = 15
/** What the rule allows beyond the timeout of the route, and from how many requests on. */
const SLACK_MS = 500
const MIN_COUNT = 8
const MIN_SHARE = 0.25

const record = createRecord(FOLDER)
let endlessCount = 0

async function sendWithoutEnd (id, attempt, reply) {
  endlessCount += 1
  record(`upstream ${id} answers ${attempt} with a body without end`)
  reply.raw(`HTTP/1.1 200 OK\r\nMedlarcove-Attempt-Id: ${attempt}\r\nMedlarcove-Response-Signature: sig.${id}.${attempt}\r\nTransfer-Encoding: chunked\r\n\r\n`)
  while (!reply.socket.destroyed) {
    reply.raw(`${CHUNK.length.toString(16)}\r\n${CHUNK}\r\n`)
    await sleep(CHUNK_GAP_MS)
  }
  record(`the connection of ${attempt} at upstream ${id} is closed`)
}

async function startDesk (index) {
  const id = `i-${index}`
  let answerCount = 0
  return startUpstream({
    id,
    record,
    async handle (request, reply) {
      const attempt = request.headers['medlarcove-attempt-id']
      await sleep(WORK_MS)
      answerCount += 1
      const isEndless = HAS_TROUBLE && index < TROUBLED_UPSTREAMS && answerCount % ANSWERS_PER_ENDLESS === 0
      if (isEndless) await sendWithoutEnd(id, attempt, reply)
      else reply.ok('booked')
    }
  })
}

/** Sends one booking; returns how long it took until its answer was complete or its connection closed, or until its client left, in ms. */
async function sendBooking (entry, index) {
  const id = `b${index}`
  const connection = openConnection(entry.port, entry.address)
  const sentAt = now()
  const answer = await connection.request({ method: 'POST', path: `/booking/${index}`, id, deadlineMs: DEADLINE_MS, body: Buffer.from('slot'), limitMs: DEADLINE_MS })
  connection.close()
  const tookMs = (now() - sentAt) * 1_000
  record(`client got ${answer.kind} ${answer.status ?? ''} for ${id} from ${entry.node} after ${Math.round(tookMs)} ms`)
  return { id, tookMs }
}

await runCase(async ({ entries, parts }) => {
  const store = await startStore()
  const upstreams = await Promise.all(Array.from({ length: UPSTREAMS }, (_, index) => startDesk(index)))
  parts.push(store, ...upstreams)
  store.put('keyed.op', 'config', buildConfig(1, [['booking', '/booking/', 'unsafe', 'desk', { timeout: `${TIMEOUT_MS}ms`, targetLatency: '800ms' }]]))
  for (const upstream of upstreams) store.put('keyed.servers', upstream.id, buildBeat({ ...upstream, service: 'desk' }))
  entries.push(...await startEntries(store, ['kyu-a', 'kyu-b', 'kyu-c']))
  await sleep(1_500)
  const bookings = []
  for (let index = 0; index < BOOKINGS; index++) {
    bookings.push(sendBooking(entries[index % entries.length], index))
    await sleep(BOOKING_GAP_MS)
  }
  const results = await Promise.all(bookings)
  const long = results.filter(({ tookMs }) => tookMs > TIMEOUT_MS)
  const late = long.filter(({ tookMs }) => tookMs > TIMEOUT_MS + SLACK_MS)
  const summary = `${results.length} bookings, ${endlessCount} bodies without end; lasted longer than the timeout of ${TIMEOUT_MS} ms: ${long.length}; of these without a final answer ${SLACK_MS} ms later: ${late.length}`
  record(summary)
  console.log(summary)
  return late.length >= MIN_COUNT && late.length > long.length * MIN_SHARE ? late.length : 0
})
