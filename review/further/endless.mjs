// CONFIG: a request whose upstream sends bytes without end in a body has no final answer long after its route's timeout.
import { connect } from 'node:net'
import { describeConfiguration, formatAnswerHead, HOST, now, parseAnswer, runCase, sendAnswer, startDeployment, startUpstream, wait } from '../lib/deployment.mjs'

const UPSTREAMS = 7
const WORK_MS = 40
const TIMEOUT_MS = 1_200
/** The client's own deadline, at which it closes its connection. */
const DEADLINE_MS = 2_000
const FINAL_ANSWER_WITHIN_MS = 500
/** The trouble: these upstreams spoil this share of their answers, for this long. */
const TROUBLED_UPSTREAMS = 4
const SPOILT_SHARE = 0.03
const TROUBLE_MS = 5_000
const REQUESTS_PER_TICK = 3
const TICK_MS = 10
const TRAFFIC_MS = 6_000
const CHUNK_INTERVAL_MS = 20

/** Sends the head of a success and then bytes until the caller closes the connection. */
async function sendEndlessAnswer ({ socket, ...request }) {
  socket.write(`${formatAnswerHead(request)}\r\n`)
  while (!socket.destroyed) {
    socket.write('x'.repeat(1_000))
    await wait(CHUNK_INTERVAL_MS)
  }
}

/** Sends a request; resolves when its answer is complete, when the entry closes the connection, or at the client's deadline. */
function sendLookup (entry, id) {
  const socket = connect({ host: entry.address, port: entry.ports.front })
  const sentAtMs = now()
  socket.write(`GET /safe/slots HTTP/1.1\r\nHost: ${HOST}\r\nMedlarcove-Attempt-Id: ${id}\r\nMedlarcove-Deadline-Ms: ${DEADLINE_MS}\r\nConnection: close\r\n\r\n`)
  return new Promise((resolve) => {
    let bytes = Buffer.alloc(0)
    const finish = (end) => {
      clearTimeout(timer)
      socket.destroy()
      resolve({ id, end, tookMs: now() - sentAtMs, byteCount: bytes.length })
    }
    const timer = setTimeout(() => finish('none until the client\'s deadline'), DEADLINE_MS)
    socket.on('error', () => undefined)
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk])
      const answer = parseAnswer(bytes)
      if (answer) finish(`answer ${answer.status}`)
    })
    socket.on('close', () => finish('the entry closed the connection'))
  })
}

runCase(import.meta.dirname, async ({ write, hasTrouble }) => {
  let isTroubled = false
  const upstreams = await Promise.all(Array.from({ length: UPSTREAMS }, (_, index) => startUpstream(`i-${index + 1}`, async (request) => {
    await wait(WORK_MS)
    if (isTroubled && index < TROUBLED_UPSTREAMS && Math.random() < SPOILT_SHARE) await sendEndlessAnswer(request)
    else sendAnswer(request)
  })))
  const { entries: [entry] } = await startDeployment({ entryCount: 2, upstreams, configuration: describeConfiguration(1, { timeout: `${TIMEOUT_MS}ms` }), write })
  const sent = []
  const startedAtMs = now()
  isTroubled = hasTrouble
  if (hasTrouble) write(`${TROUBLED_UPSTREAMS} of ${UPSTREAMS} upstreams send bodies without end in ${SPOILT_SHARE} of their answers for ${TROUBLE_MS} ms`)
  while (now() - startedAtMs < TRAFFIC_MS) {
    for (let count = 0; count < REQUESTS_PER_TICK; count++) sent.push(sendLookup(entry, `lookup-${sent.length + 1}`))
    await wait(TICK_MS)
    if (now() - startedAtMs > TROUBLE_MS) isTroubled = false
  }
  const results = await Promise.all(sent)
  const long = results.filter(({ tookMs }) => tookMs > TIMEOUT_MS)
  const late = long.filter(({ tookMs }) => tookMs > TIMEOUT_MS + FINAL_ANSWER_WITHIN_MS)
  for (const { id, end, tookMs, byteCount } of late) write(`${id}: ${end}, after ${Math.round(tookMs)} ms and ${byteCount} bytes`)
  write(`${results.length} requests; ${long.length} lasted longer than the route's timeout (${TIMEOUT_MS} ms); ${late.length} of these had no final answer ${FINAL_ANSWER_WITHIN_MS} ms after it`)
  return !(late.length >= 8 && late.length > long.length / 4)
})
