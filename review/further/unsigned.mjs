// MIXED: a spoilt answer of an upstream, a 200 without its signature, reaches the client as a success.
import { describeConfiguration, now, runCase, sendAnswer, sendRequest, startDeployment, startUpstream, wait } from '../lib/deployment.mjs'

const UPSTREAMS = 7
const WORK_MS = 40
/** The trouble: these upstreams spoil this share of their answers, for this long. */
const TROUBLED_UPSTREAMS = 4
const SPOILT_SHARE = 0.03
const TROUBLE_MS = 5_000
const REQUESTS_PER_TICK = 3
const TICK_MS = 10
const TRAFFIC_MS = 6_000
const KINDS = [{ method: 'GET', path: '/safe/slots' }, { method: 'POST', path: '/unsafe/slot', body: 'one slot' }]

/** Sends an answer of which the line with the signature and the body are spoilt. */
function sendSpoiltAnswer ({ socket, id }) {
  socket.write(`HTTP/1.1 200 OK\r\nMedlarcove-Attempt-Id: ${id}\r\nMedlarcove-Respoose-Sygnature: zzzz\r\nContent-Length: 12\r\n\r\n${'\xff\xfe'.repeat(6)}`, 'latin1')
}

runCase(import.meta.dirname, async ({ write, hasTrouble }) => {
  let isTroubled = false
  const spoiltIds = new Set()
  const upstreams = await Promise.all(Array.from({ length: UPSTREAMS }, (_, index) => startUpstream(`i-${index + 1}`, async (request) => {
    await wait(WORK_MS)
    if (isTroubled && index < TROUBLED_UPSTREAMS && Math.random() < SPOILT_SHARE) {
      spoiltIds.add(request.id)
      sendSpoiltAnswer(request)
    } else sendAnswer(request)
  })))
  const { entries: [entry] } = await startDeployment({ entryCount: 2, upstreams, configuration: describeConfiguration(1), write })
  const sent = []
  const startedAtMs = now()
  isTroubled = hasTrouble
  if (hasTrouble) write(`${TROUBLED_UPSTREAMS} of ${UPSTREAMS} upstreams spoil ${SPOILT_SHARE} of their answers for ${TROUBLE_MS} ms`)
  while (now() - startedAtMs < TRAFFIC_MS) {
    for (let count = 0; count < REQUESTS_PER_TICK; count++) sent.push(sendRequest(entry, { ...KINDS[sent.length % KINDS.length], id: `request-${sent.length + 1}`, deadlineMs: 1_500, headers: 'Connection: close\r\n' }))
    await wait(TICK_MS)
    if (now() - startedAtMs > TROUBLE_MS) isTroubled = false
  }
  const results = await Promise.all(sent)
  const unsigned = results.filter(({ answer }) => answer?.status === 200 && !answer.headers['medlarcove-response-signature'])
  for (const { id, answer } of unsigned) write(`${id}: the client gets ${answer.status} without a signature, headers ${JSON.stringify(Object.keys(answer.headers))}, body ${answer.body.toString('hex')}`)
  write(`${results.length} requests; ${spoiltIds.size} had a spoilt answer; ${unsigned.length} clients got a success without the upstream's signature`)
  return unsigned.length === 0
})
