import { request } from 'undici'
import { expect, test } from 'vitest'
import { waitFor } from '../replay/programs.ts'
import { chargeSlot, createLiveCaller, READ_STATUS, readRuns, sendUntil, startLiveSystem } from './support/live-system.ts'

// OUTAGE_MS=60000 npx vitest run test/platform-outage.test.ts
const OUTAGE_MS = Number(process.env.OUTAGE_MS ?? 3_000)
const READY_TIMEOUT_MS = 30_000
const RUN_TIMEOUT_MS = 300_000

test('while log and host list are out a blank entry takes the contract from its peers, repeatable work is never refused and keyed work is told not-run', async () => {
  const system = await startLiveSystem({ entryCount: 3, targetCount: 2 })
  const callers = [1, 2, 3, 4].map((index) => createLiveCaller(system, `caller-${index}`))
  const charger = createLiveCaller(system, 'charger')
  const blank = system.deployment.entries[2]!
  try {
    system.getProgram(blank.id)!.sendSignal('SIGKILL')
    await system.getProgram(blank.id)!.waitForEnd()
    await system.switchFaults('log', { outage: 'hang' })
    await system.startEntry(blank.id)
    const version = await waitFor('the blank entry serves', READY_TIMEOUT_MS, async () => {
      const answer = await request(`http://${blank.address}:${blank.callerPort}/kyushu/booking/slots/1`)
      await answer.body.dump()
      return answer.statusCode === 200 ? answer.headers['x-medlarcove-version'] : undefined
    })
    expect(version).toBe('1')
    await system.switchFaults('host-list', { isDown: true })
    const stop = new AbortController()
    const work = Promise.all(callers.map((caller) => sendUntil(stop.signal, () => caller.send(READ_STATUS))))
    const charging = sendUntil(stop.signal, async (round) => {
      await new Promise((resolve) => setTimeout(resolve, 50))
      return charger.send(chargeSlot(`outage-${round}`))
    })
    await new Promise((resolve) => setTimeout(resolve, OUTAGE_MS))
    stop.abort()
    const answers = (await work).flat()
    const charges = await charging
    console.log(`${answers.length} requests in ${OUTAGE_MS} ms of outage, ${answers.filter(({ status }) => status !== 200).length} refused; ${charges.length} charges`)
    expect(charges.filter(({ fate }) => fate !== 'not-run')).toEqual([])
    expect(await readRuns(system)).toEqual(new Map())
    expect(answers.filter(({ status }) => status !== 200)).toEqual([])
    expect(answers.length).toBeGreaterThan(0)
    await system.switchFaults('log', { outage: 'none' })
    await waitFor('charges run again', READY_TIMEOUT_MS, async () => (await charger.send(chargeSlot('after'))).status === 200 ? true : undefined)
    expect(await readRuns(system)).toEqual(new Map([['after', 1]]))
  } finally {
    for (const caller of [...callers, charger]) await caller.close()
    await system.switchFaults('log', { outage: 'none' })
    await system.stop()
  }
}, RUN_TIMEOUT_MS)
