// LOST: at the end of the grace period the entry closes the connections of requests that it has read and still keeps in its
// queue, without an answer.
import { describeConfiguration, now, runCase, sendAnswer, sendRequest, startDeployment, startUpstream, wait } from '../lib/deployment.mjs'

const SLOTS = 2
const WORK_MS = 3_500
const REQUESTS = 12
const TIMEOUT_MS = 15_000
const TERM_AFTER_MS = 1_000
const GRACE_MS = 6_000

/** Starts an upstream that processes as many requests at once as it has slots and queues the others. */
async function startBusyUpstream (id) {
  const waiting = []
  let running = 0
  const describeLoad = () => { upstream.load = `${running},${waiting.length},${SLOTS}` }
  const startNext = () => {
    const request = running < SLOTS ? waiting.shift() : undefined
    if (request) process(request)
    describeLoad()
  }
  const process = async (request) => {
    running += 1
    await wait(WORK_MS)
    running -= 1
    startNext()
    if (!request.socket.destroyed) sendAnswer(request)
  }
  const upstream = await startUpstream(id, (request) => {
    waiting.push(request)
    startNext()
  }, { load: `0,0,${SLOTS}` })
  upstream.registration.slots = SLOTS
  return upstream
}

runCase(import.meta.dirname, async ({ write, hasTrouble }) => {
  const upstreams = await Promise.all(['i-1', 'i-2'].map((id) => startBusyUpstream(id)))
  const configuration = describeConfiguration(1, { timeout: `${TIMEOUT_MS}ms`, targetLatency: `${TIMEOUT_MS}ms` })
  const { entries } = await startDeployment({ entryCount: 2, upstreams, configuration, write })
  const [stopped] = entries
  const sent = Array.from({ length: REQUESTS }, (_, index) => sendRequest(stopped, { id: `booking-${index + 1}`, method: 'POST', path: '/unsafe/slot', body: 'one slot', deadlineMs: TIMEOUT_MS }))
  write(`${REQUESTS} bookings are sent to ${stopped.name}, with a deadline of ${TIMEOUT_MS} ms; the upstreams have ${2 * SLOTS} slots, and a booking takes ${WORK_MS} ms`)
  await wait(TERM_AFTER_MS)
  const termAtMs = now()
  if (hasTrouble) {
    stopped.child.kill('SIGTERM')
    write(`${stopped.name}: SIGTERM; grace is ${GRACE_MS} ms`)
  }
  const results = await Promise.all(sent)
  await wait(500)
  let lost = 0
  for (const { id, answer, isClosed, sentAtMs, endedAtMs } of results) {
    const run = upstreams.flatMap(({ id: upstream, runs }) => runs.map((each) => ({ ...each, upstream }))).find((each) => each.id === id)
    // A request that an upstream has begun is excused here: it may still be at work at the end of the grace period.
    const isLost = run === undefined && !answer && isClosed
    if (isLost) lost += 1
    const end = answer ? `answer ${answer.status}` : isClosed ? 'the connection is closed without an answer' : 'no answer'
    const since = hasTrouble ? `, ${Math.round(endedAtMs - termAtMs)} ms after SIGTERM` : ''
    write(`${id}: ${run ? `runs at ${run.upstream} from ${(run.atMs / 1000).toFixed(3)} s` : 'was sent to no upstream'}; ${end} after ${Math.round(endedAtMs - sentAtMs)} ms${since}`)
  }
  write(`${lost} of ${REQUESTS} requests were read whole, sent to no upstream, and lost their connection before their deadline`)
  return lost === 0
})
