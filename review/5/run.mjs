// CONFIG: an entry that is partitioned from the store for a short time tells the others, when the last answer before the cut
// arrives, that it knows the store's present state; they then stay with an old configuration for longer than `configApply`.
import { describeConfiguration, HOST, now, runCase, sendAnswer, sendRequest, startDeployment, startUpstream, wait } from '../lib/deployment.mjs'
import { startStoreProxy } from '../lib/store-proxy.mjs'

const WORK_MS = 20
const CONFIG_APPLY_MS = 2_000
/** The cut begins this long after the reader has sent its call for the configuration, in ms. */
const CUT_AFTER_CALL_MS = 30
/** From the cut to the moment from which the store's answers reach the entry again, in ms. */
const CUT_MS = 1_150
/** From then on only the calls of the entry are lost, for this long, in ms. */
const ONE_WAY_CUT_MS = 4_000
/** The two versions are sent this long after each other, in ms. */
const VERSIONS_APART_MS = 40
const REQUEST_INTERVAL_MS = 20
const REQUESTS_UNTIL_MS = 3_500

/** Version 2 changes the timeout of the routes; version 3 moves them to another service. */
const VERSION_2 = describeConfiguration(2, { timeout: '1400ms' })
const VERSION_3 = describeConfiguration(3, { timeout: '1400ms', service: 'newdesk' })

runCase(import.meta.dirname, async ({ write, hasTrouble }) => {
  const start = async (id, service) => {
    const upstream = await startUpstream(id, async (request) => {
      await wait(WORK_MS)
      sendAnswer(request)
    })
    upstream.registration.service = service
    return upstream
  }
  const upstreams = await Promise.all([['i-1', 'desk'], ['i-2', 'desk'], ['i-3', 'newdesk'], ['i-4', 'newdesk']].map(([id, service]) => start(id, service)))
  let proxy
  const { entries, store } = await startDeployment({
    entryCount: 3,
    upstreams,
    write,
    wrapStore: async (storePort, { children }) => {
      proxy = await startStoreProxy(storePort, () => children.map(({ pid }) => pid))
      return proxy.port
    }
  })
  const [cutOff, , calm] = entries
  const { pid } = cutOff.child
  await wait(5_000)

  await new Promise((resolve) => proxy.watchCalls((caller, line) => { if (caller === pid && line.includes('/log-read?topic=keyed.op')) resolve() }))
  proxy.watchCalls(() => undefined)
  await wait(CUT_AFTER_CALL_MS)
  if (hasTrouble) {
    proxy.cut(pid)
    write(`${cutOff.name} is partitioned from the store`)
    setTimeout(() => {
      proxy.heal(pid, ['fromStore'])
      write(`the store's answers reach ${cutOff.name} again; its calls do not`)
    }, CUT_MS)
    setTimeout(() => {
      proxy.heal(pid)
      write(`${cutOff.name} reaches the store again`)
    }, CUT_MS + ONE_WAY_CUT_MS)
  }
  await wait(10)
  store.put('keyed.op', 'config', VERSION_2)
  await wait(VERSIONS_APART_MS)
  store.put('keyed.op', 'config', VERSION_3)
  const acknowledgedAtMs = now()
  write(`version 3, which moves all routes of ${HOST} from desk to newdesk, is acknowledged, ${VERSIONS_APART_MS} ms after version 2`)
  const sent = []
  while (now() - acknowledgedAtMs < REQUESTS_UNTIL_MS) {
    sent.push(sendRequest(calm, { id: `request-${sent.length + 1}`, method: 'POST', path: '/unsafe/slot', body: 'one slot', deadlineMs: 1_500, headers: 'Connection: close\r\n' }))
    await wait(REQUEST_INTERVAL_MS)
  }
  const results = await Promise.all(sent)
  const oldRuns = new Map(upstreams.filter(({ registration }) => registration.service === 'desk').flatMap(({ id: upstream, runs }) => runs.map(({ id }) => [id, upstream])))
  const late = results.filter(({ id, sentAtMs }) => oldRuns.has(id) && sentAtMs > acknowledgedAtMs + CONFIG_APPLY_MS)
  for (const { id, sentAtMs } of late) write(`${id}, sent to ${calm.name} ${Math.round(sentAtMs - acknowledgedAtMs)} ms after the acknowledgement, is run by ${oldRuns.get(id)} of desk`)
  const last = results.findLast(({ id }) => oldRuns.has(id))
  write(`${results.length} requests; the last one run by the old service was sent ${last ? Math.round(last.sentAtMs - acknowledgedAtMs) : 0} ms after the acknowledgement; ${late.length} were sent later than configApply (${CONFIG_APPLY_MS} ms)`)
  return late.length === 0
})
