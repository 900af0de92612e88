import { expect, test } from 'vitest'
import { buildChargeRequest, createLiveCaller, listFailedAttempts, STATUS_REQUEST, readRuns, sendUntil, startLiveSystem } from './support/live-system.ts'

const LEDGER_BYTES = 3_000_000
const CALLER_TIMEOUT_MS = 3_000

test.each(['SIGKILL', 'SIGSTOP'] as const)('when an entry gets %s, callers use the other entries, every execution status is true and no charge runs twice', async (signal) => {
  const system = await startLiveSystem({ entryCount: 3, targetCount: 2 })
  const callers = Array.from({ length: 9 }, (_, index) => createLiveCaller(system, `caller-${index}`, undefined, CALLER_TIMEOUT_MS))
  try {
    for (const target of system.deployment.targets.filter(({ service }) => service === 'collection')) {
      await system.setFaults(target, { downloadBytesPerSecond: LEDGER_BYTES })
    }
    const stop = new AbortController()
    const ledger = { service: 'collection', method: 'GET', path: `/ledgers/co-op-1/2026?bytes=${LEDGER_BYTES}` }
    const work = Promise.all(callers.map((caller, index) => sendUntil(stop.signal, (round) => {
      if (index % 3 === 0) return caller.send(STATUS_REQUEST)
      return caller.send(index % 3 === 1 ? buildChargeRequest(`${index}-${round}`) : ledger)
    })))
    await new Promise((resolve) => setTimeout(resolve, 1_000))
    system.getProgram('entry-1')!.sendSignal(signal)
    await new Promise((resolve) => setTimeout(resolve, 2 * CALLER_TIMEOUT_MS))
    stop.abort()
    const results = await work
    const [reads, charges, ledgers] = [0, 1, 2].map((group) => results.filter((_, index) => index % 3 === group).flat())
    if (signal === 'SIGSTOP') system.getProgram('entry-1')!.sendSignal('SIGCONT')

    console.log(`${signal}: ${results.flat().length} requests, ${listFailedAttempts(results.flat()).length} attempts without a complete response`)
    expect(reads!.filter(({ status }) => status !== 200)).toEqual([])
    for (const { status, bytes } of ledgers!) if (status === 200) expect(bytes).toBe(LEDGER_BYTES)
    const runs = await readRuns(system)
    expect([...runs].filter(([, count]) => count !== 1)).toEqual([])
    const keys = callers.flatMap((_, index) => index % 3 === 1 ? results[index]!.map((result, round) => ({ key: `${index}-${round}`, result })) : [])
    expect(keys.filter(({ key, result }) => result.executionStatus === 'ran' && !runs.has(key))).toEqual([])
    expect(keys.filter(({ key, result }) => result.executionStatus === 'not-run' && runs.has(key))).toEqual([])
    expect(charges!.at(-1)!.status).toBe(200)
  } finally {
    system.getProgram('entry-1')!.sendSignal('SIGKILL')
    for (const caller of callers) await caller.close()
    await system.stop()
  }
})
