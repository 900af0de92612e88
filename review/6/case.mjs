// One upstream of six fails a part of the bookings that it has run, with 503 and without Medlarcove-Not-Executed.
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { buildBeat, buildConfig, createRecord, HAS_TROUBLE, runCase, send, sleep, startEntries, startStore, startUpstream } from '../lib-2/system.mjs'

const FOLDER = path.dirname(fileURLToPath(import.meta.url))
const UPSTREAMS = 7
const BOOKINGS = 1_000
const WORK_MS = 150
const DEADLINE_MS = 2_000
/** Of nine bookings that the upstream in trouble has run, four fail. */
const FAILED_OF_NINE = 4
/** What these statuses promise to a client: the request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503])

const record = createRecord(FOLDER)
/** Runs of each client attempt, and of each booking over all attempts of its client. */
const runsOfAttempt = new Map()
const runsOfBooking = new Map()

function count (map, key) {
  map.set(key, (map.get(key) ?? 0) + 1)
}

async function startBookingUpstream (index) {
  let runCount = 0
  const id = `i-${index}`
  return startUpstream({
    id,
    record,
    async handle (request, reply) {
      const attempt = request.headers['medlarcove-attempt-id']
      const booking = request.first.split(' ')[1]
      // The slot is booked here, whatever is answered afterwards.
      count(runsOfAttempt, attempt)
      count(runsOfBooking, booking)
      await sleep(WORK_MS)
      const isFailed = HAS_TROUBLE && index === 0 && runCount++ % 9 < FAILED_OF_NINE
      if (!isFailed) {
        reply.ok('booked')
        return
      }
      record(`upstream ${id} has run ${attempt} and answers 503, without Medlarcove-Not-Executed`)
      reply.answer('503 Service Unavailable')
    }
  })
}

/** Sends one booking as a client does: once more, on a new connection with a new attempt id, if a status promises that it has not run. */
async function sendBooking (entries, index) {
  for (let attempt = 0; attempt < 2; attempt++) {
    const id = `b${index}-${attempt}`
    const entry = entries[(index + attempt) % entries.length]
    const answer = await send(entry.port, { method: 'POST', path: `/booking/${index}`, id, deadlineMs: DEADLINE_MS, body: Buffer.from('slot') }, entry.address)
    record(`client got ${answer.kind} ${answer.status ?? ''} for ${id} from ${entry.node}, signature ${answer.headers?.['medlarcove-response-signature'] ?? 'none'}`)
    answers.set(id, answer)
    if (!PROMISES.has(answer.status)) return
    await sleep(Number(answer.headers['retry-after'] ?? 0.05) * 1_000)
  }
}

const answers = new Map()

await runCase(async ({ entries, parts }) => {
  const store = await startStore()
  parts.push(store)
  const upstreams = await Promise.all(Array.from({ length: UPSTREAMS }, (_, index) => startBookingUpstream(index)))
  parts.push(...upstreams)
  store.put('keyed.op', 'config', buildConfig(1, [['booking', '/booking/', 'unsafe', 'desk', { timeout: '1200ms', targetLatency: '800ms' }]]))
  for (const upstream of upstreams) store.put('keyed.servers', upstream.id, buildBeat({ ...upstream, service: 'desk' }))
  entries.push(...await startEntries(store, ['kyu-a', 'kyu-b', 'kyu-c']))
  await sleep(1_500)
  const bookings = []
  for (let index = 0; index < BOOKINGS; index++) {
    bookings.push(sendBooking(entries, index))
    await sleep(10)
  }
  await Promise.all(bookings)
  const broken = [...answers].filter(([id, { status }]) => PROMISES.has(status) && runsOfAttempt.has(id))
  const twice = [...runsOfBooking.values()].filter((runs) => runs > 1).length
  const summary = `${answers.size} attempts of ${BOOKINGS} bookings; answered 503, 429, 408 or 421 although the attempt had run: ${broken.length}; bookings that ran twice since the client believed that: ${twice}`
  record(summary)
  console.log(summary)
  return broken.length
})
