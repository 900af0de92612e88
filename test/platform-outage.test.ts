import { request } from 'undici'
import { expect, test } from 'vitest'
import { waitFor } from '../replay/programs.ts'
import { buildChargeRequest, createLiveCaller, STATUS_REQUEST, readRuns, sendUntil, startLiveSystem } from './support/live-system.ts'

// OUTAGE_MS=60000 npx vitest run test/platform-outage.test.ts
const OUTAGE_MS = Number(process.env.OUTAGE_MS ?? 3_000)
const READY_TIMEOUT_MS = 30_000
const RUN_TIMEOUT_MS = 300_000

test('while the log and the host list are unavailable, an entry without a contract takes it from its peers, idempotent requests succeed and keyed requests get the execution status not-run', async () => {
  const system = await startLiveSystem({ entryCount: 3, targetCount: 2 })
  const callers = [1, 2, 3, 4].map((index) => createLiveCaller(system, `caller-${index}`))
  const charger = createLiveCaller(system, 'charger')
  const emptyEntry = system.deployment.entries[2]!
  try {
    system.getProgram(emptyEntry.id)!.sendSignal('SIGKILL')
    await system.getProgram(emptyEntry.id)!.waitForExit()
    await system.setFaults('log', { outage: 'hang' })
    await system.startEntry(emptyEntry.id)
    const version = await waitFor('the entry without a contract serves', READY_TIMEOUT_MS, async () => {
      const response = await request(`http://${emptyEntry.address}:${emptyEntry.callerPort}/kyushu/booking/slots/1`)
      await response.body.dump()
      return response.statusCode === 200 ? response.headers['x-medlarcove-version'] : undefined
    })
    expect(version).toBe('1')
    await system.setFaults('host-list', { isDown: true })
    const stop = new AbortController()
    const reading = Promise.all(callers.map((caller) => sendUntil(stop.signal, () => caller.send(STATUS_REQUEST))))
    const charging = sendUntil(stop.signal, async (round) => {
      await new Promise((resolve) => setTimeout(resolve, 50))
      return charger.send(buildChargeRequest(`outage-${round}`))
    })
    await new Promise((resolve) => setTimeout(resolve, OUTAGE_MS))
    stop.abort()
    const responses = (await reading).flat()
    const charges = await charging
    console.log(`${responses.length} requests in ${OUTAGE_MS} ms of outage, ${responses.filter(({ status }) => status !== 200).length} without status 200; ${charges.length} charges`)
    expect(charges.filter(({ executionStatus }) => executionStatus !== 'not-run')).toEqual([])
    expect(await readRuns(system)).toEqual(new Map())
    expect(responses.filter(({ status }) => status !== 200)).toEqual([])
    expect(responses.length).toBeGreaterThan(0)
    await system.setFaults('log', { outage: 'none' })
    await waitFor('charges run after the outage', READY_TIMEOUT_MS, async () => (await charger.send(buildChargeRequest('after'))).status === 200 ? true : undefined)
    expect(await readRuns(system)).toEqual(new Map([['after', 1]]))
  } finally {
    for (const caller of [...callers, charger]) await caller.close()
    await system.setFaults('log', { outage: 'none' })
    await system.stop()
  }
}, RUN_TIMEOUT_MS)
