// One entry of four is partitioned from all upstreams, three of one service, while clients, the store and the other entries reach it.
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { createPaths } from '../lib-2/path.mjs'
import { buildBeat, buildConfig, createRecord, HAS_TROUBLE, now, runCase, send, sleep, startEntries, startStore, startUpstream } from '../lib-2/system.mjs'

const FOLDER = path.dirname(fileURLToPath(import.meta.url))
const UPSTREAMS = Number(process.env.UPSTREAMS ?? 3)
const SLOTS = 8
const WORK_MS = 80
const CLIENTS = 48
const REQUEST_GAP_MS = 250
const DEADLINE_MS = 1_500
const CUT_S = 12
const STABLE_WINDOW_S = 3
/** What the rule allows: two thirds of the others' share, and this many failed first tries. */
const MIN_SHARE_OF_OTHERS = 2 / 3
const ALLOWED_FAILURES = 10
const ALLOWED_FAILED_SHARE = 1 / 50

const record = createRecord(FOLDER)

/** Keeps the addresses that a directory has told, for their time to live. */
function createAddresses (entries, index) {
  let addresses = []
  let failed = new Set()
  let untilS = 0
  const ask = async () => {
    const entry = entries[index++ % entries.length]
    const response = await fetch(`http://${entry.address}:${entry.directoryPort}/resolve?name=ficu95.example&region=kyushu&zone=${entry.zone}`)
    const body = await response.json()
    addresses = body.addresses.map((address) => entries.find((each) => `${each.address}:${each.port}` === address))
    failed = new Set()
    untilS = now() + parseFloat(body.ttl) / (body.ttl.endsWith('ms') ? 1_000 : 1)
  }
  return {
    /** Picks an address at random, without those that have failed since the answer of the directory. */
    async pick () {
      if (now() > untilS) await ask()
      const usable = addresses.filter((entry) => !failed.has(entry))
      const choice = usable.length > 0 ? usable : addresses
      return choice[Math.floor(Math.random() * choice.length)]
    },
    recordFailure: (entry) => failed.add(entry)
  }
}

/** Plays one client until the end: each request has a first try, and one more after a failure that allows it. */
async function playClient (entries, index, endS, tries) {
  const addresses = createAddresses(entries, index)
  const isBooking = index % 3 === 0
  await sleep(index * REQUEST_GAP_MS / CLIENTS)
  for (let count = 0; now() < endS; count++) {
    for (let attempt = 0; attempt < 2; attempt++) {
      const entry = await addresses.pick()
      const sentAt = now()
      const id = `c${index}x${count}-${attempt}`
      const answer = await send(entry.port, { id, path: isBooking ? '/booking/1' : '/lookup/1', method: isBooking ? 'POST' : 'GET', body: isBooking ? Buffer.from('slot') : undefined, deadlineMs: DEADLINE_MS, limitMs: DEADLINE_MS }, entry.address)
      const isServed = answer.status === 200
      const outcome = `${answer.kind} ${answer.status ?? ''}`.trim()
      if (attempt === 0) tries.push({ entry, sentAt, isServed, outcome })
      record(`client got ${outcome} for ${id} from ${entry.node}`)
      if (isServed) break
      addresses.recordFailure(entry)
      if (isBooking && answer.status !== 503) break
    }
    await sleep(REQUEST_GAP_MS)
  }
}

function count (tries) {
  const served = tries.filter(({ isServed }) => isServed).length
  const outcomes = {}
  for (const { outcome } of tries) outcomes[outcome] = (outcomes[outcome] ?? 0) + 1
  return { total: tries.length, failed: tries.length - served, share: tries.length > 0 ? served / tries.length : 1, outcomes }
}

await runCase(async ({ entries, parts }) => {
  const store = await startStore()
  const paths = createPaths()
  parts.push(store, paths)
  store.put('keyed.op', 'config', buildConfig(1, [['lookup', '/lookup/', 'safe', 'desk'], ['booking', '/booking/', 'unsafe', 'desk', { timeout: '1200ms', targetLatency: '800ms' }]]))
  for (let index = 0; index < UPSTREAMS; index++) {
    const upstream = await startUpstream({ id: `i-${index}`, slots: SLOTS, record, handle: (_, reply) => sleep(WORK_MS).then(() => reply.ok()) })
    parts.push(upstream)
    store.put('keyed.servers', upstream.id, buildBeat({ ...upstream, port: await paths.add(upstream), service: 'desk', slots: SLOTS }))
  }
  entries.push(...await startEntries(store, ['kyu-a', 'kyu-b', 'kyu-c', 'kyu-d']))
  const [cutEntry] = entries
  await sleep(1_500)
  const tries = []
  const endS = now() + 3 + CUT_S + 2
  const clients = Promise.all(Array.from({ length: CLIENTS }, (_, index) => playClient(entries, index, endS, tries)))
  await sleep(3_000)
  const cutAt = now()
  if (HAS_TROUBLE) await paths.cut(cutEntry.child.pid)
  record(`${cutEntry.node} is ${HAS_TROUBLE ? 'partitioned from all upstreams' : 'left alone'}`)
  await sleep(CUT_S * 1_000)
  const healedAt = now()
  paths.heal()
  record('the partition is over')
  await clients
  const counted = tries.filter(({ sentAt }) => sentAt > cutAt + STABLE_WINDOW_S && sentAt < healedAt)
  const atCut = count(counted.filter(({ entry }) => entry === cutEntry))
  const atOthers = count(counted.filter(({ entry }) => entry !== cutEntry))
  const allowed = ALLOWED_FAILURES + counted.length * ALLOWED_FAILED_SHARE
  const summary = `first tries from 3 s after the cut: at the partitioned entry ${atCut.total}, served ${(atCut.share * 100).toFixed(0)}%, ${JSON.stringify(atCut.outcomes)}; at the others ${atOthers.total}, served ${(atOthers.share * 100).toFixed(0)}%, ${JSON.stringify(atOthers.outcomes)}; failed there ${atCut.failed}, allowed ${allowed.toFixed(0)}`
  record(summary)
  console.log(summary)
  return atCut.share < atOthers.share * MIN_SHARE_OF_OTHERS && atCut.failed > allowed ? atCut.failed : 0
})
