import { expect, test } from 'vitest'
import type { System } from '../replay/system.ts'
import { buildChargeRequest, createLiveCaller, listFailedAttempts, STATUS_REQUEST, readRuns, sendUntil, startLiveSystem } from './support/live-system.ts'

// For more restarts: ROLLING_STOPS=20 npx vitest run test/planned-stop.test.ts
const STOP_COUNT = Number(process.env.ROLLING_STOPS ?? 3)
const ENTRY_COUNT = STOP_COUNT > 6 ? 6 : 3
const LEDGER_BYTES = 2_000_000
const SLOW_BYTES_PER_SECOND = 400_000
const RUN_TIMEOUT_MS = 600_000

async function stopAndStart (system: System, id: string): Promise<number | null> {
  const exitCode = await system.getProgram(id)!.stop()
  await system.startEntry(id)
  return exitCode
}

test('rolling restarts of entries interrupt no request and no download, and no charge runs twice', async () => {
  const system = await startLiveSystem({ entryCount: ENTRY_COUNT, targetCount: 2 })
  const callers = Array.from({ length: 6 }, (_, index) => createLiveCaller(system, `caller-${index}`))
  try {
    for (const target of system.deployment.targets.filter(({ service }) => service === 'collection')) {
      await system.setFaults(target, { downloadBytesPerSecond: SLOW_BYTES_PER_SECOND })
    }
    const stop = new AbortController()
    const ledger = { service: 'collection', method: 'GET', path: `/ledgers/co-op-1/2026?bytes=${LEDGER_BYTES}` }
    const work = Promise.all([
      sendUntil(stop.signal, () => callers[0]!.send(STATUS_REQUEST)),
      sendUntil(stop.signal, () => callers[1]!.send(STATUS_REQUEST)),
      sendUntil(stop.signal, (round) => callers[2]!.send(buildChargeRequest(`two-${round}`))),
      sendUntil(stop.signal, (round) => callers[3]!.send(buildChargeRequest(`three-${round}`))),
      sendUntil(stop.signal, () => callers[4]!.send(ledger)),
      sendUntil(stop.signal, () => callers[5]!.send(ledger))
    ])
    const exitCodes: (number | null)[] = []
    for (let count = 0; count < STOP_COUNT; count++) exitCodes.push(await stopAndStart(system, `entry-${count % ENTRY_COUNT + 1}`))
    stop.abort()
    const [firstReads, secondReads, firstCharges, secondCharges, firstLedgers, secondLedgers] = await work
    const ledgers = [...firstLedgers, ...secondLedgers]
    const charges = [...firstCharges, ...secondCharges]
    const all = [...firstReads, ...secondReads, ...charges, ...ledgers]

    console.log(`${STOP_COUNT} stops: ${all.length} requests, ${charges.length} charges, ${ledgers.length} downloads, ${listFailedAttempts(all).length} attempts without a complete response`)
    expect(exitCodes).toEqual(exitCodes.map(() => 0))
    expect(listFailedAttempts(all)).toEqual([])
    expect(all.filter(({ status }) => status !== 200).map(({ status, text }) => `${status} ${text}`)).toEqual([])
    expect(new Set(ledgers.map(({ bytes, sha256 }) => `${bytes} ${sha256}`)).size).toBe(1)
    expect(ledgers[0]!.bytes).toBe(LEDGER_BYTES)
    const runs = await readRuns(system)
    expect(runs.size).toBe(charges.length)
    expect([...runs].filter(([, count]) => count !== 1)).toEqual([])
  } finally {
    for (const caller of callers) await caller.close()
    await system.stop()
  }
}, RUN_TIMEOUT_MS)

test('an entry that gets SIGTERM twice while the log and the host list are unavailable exits with code 0 and interrupts no request', async () => {
  const system = await startLiveSystem({ entryCount: 2, targetCount: 1 })
  const callers = [1, 2, 3, 4].map((index) => createLiveCaller(system, `caller-${index}`))
  try {
    await system.setFaults('log', { outage: 'hang' })
    await system.setFaults('host-list', { isDown: true })
    const stop = new AbortController()
    const work = Promise.all(callers.map((caller) => sendUntil(stop.signal, () => caller.send(STATUS_REQUEST))))
    const program = system.getProgram('entry-1')!
    program.sendSignal('SIGTERM')
    program.sendSignal('SIGTERM')
    const exitCode = await program.waitForExit()
    stop.abort()
    const results = (await work).flat()
    expect(exitCode).toBe(0)
    expect(listFailedAttempts(results)).toEqual([])
    expect(results.filter(({ status }) => status !== 200)).toEqual([])
  } finally {
    for (const caller of callers) await caller.close()
    await system.stop()
  }
})
