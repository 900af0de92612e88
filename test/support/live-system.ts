import path from 'node:path'
import { request } from 'undici'
import { createCaller } from '../../replay/caller.ts'
import type { CallerAnswer } from '../../replay/caller.ts'
import { createDeployment } from '../../replay/deployment.ts'
import type { DeploymentOptions } from '../../replay/deployment.ts'
import { startSystem } from '../../replay/system.ts'
import type { System } from '../../replay/system.ts'
import { getLoopbackAddress } from './addresses.ts'

/** Runs of keyed requests on all targets, by key. */
export type Runs = Map<string, number>

export interface LiveSystemOptions {
  entryCount: number
  targetCount: number
  workMs?: number
  changeContract?: DeploymentOptions['changeContract']
}

/** Starts a system whose contract has short lifetimes, publishes the contract and waits until it is in force. */
export async function startLiveSystem (options: LiveSystemOptions): Promise<System> {
  const deployment = createDeployment({
    sample: 'kyushu',
    root: '.',
    network: getLoopbackAddress(0).split('.').slice(0, 3).join('.'),
    entryCount: options.entryCount,
    targetCount: options.targetCount,
    changeContract (contract) {
      contract.entries.addressLifetimeMs = 300
      contract.limits = { requestsPerSecond: 100_000, concurrentRequests: 10_000 }
      options.changeContract?.(contract)
    }
  })
  const system = await startSystem({ deployment, files: { dist: path.resolve('dist') }, workMs: options.workMs ?? 5 })
  try {
    await system.startEntries()
    await system.publishContract()
  } catch (cause) {
    await system.stop()
    throw cause
  }
  return system
}

/** Creates a caller that asks the system for addresses. */
export function createLiveCaller (system: System, id: string, onlyEntry?: string, timeoutMs?: number) {
  const { customer, entries } = system.deployment
  return createCaller({ id, customer, entries, onlyEntry, timeoutMs })
}

/** Sends requests one after another until `stop` aborts; returns all answers. */
export async function sendUntil (stop: AbortSignal, sendOne: (round: number) => Promise<CallerAnswer>): Promise<CallerAnswer[]> {
  const answers: CallerAnswer[] = []
  for (let round = 0; !stop.aborted; round++) answers.push(await sendOne(round))
  return answers
}

/** Reads from every target's book how often each key ran. */
export async function readRuns (system: System): Promise<Runs> {
  const runs: Runs = new Map()
  for (const { address, port } of system.deployment.targets) {
    const answer = await request(`http://${address}:${port}/ledger-of-runs`)
    const book = await answer.body.json() as { runs: { key?: string }[] }
    for (const { key } of book.runs) if (key) runs.set(key, (runs.get(key) ?? 0) + 1)
  }
  return runs
}

/** Lists attempts that were not answered. */
export function listUnanswered (answers: readonly CallerAnswer[]): string[] {
  return answers.flatMap(({ attempts }) => attempts.flatMap((attempt) => attempt.kind === 'answered' ? [] : [`${attempt.kind}: ${attempt.reason}`]))
}

export function chargeSlot (key: string) {
  return { service: 'booking', method: 'POST', path: '/slots/1/charge', headers: { 'idempotency-key': key } }
}

export const READ_STATUS = { service: 'booking', method: 'GET', path: '/slots/1' }
