import path from 'node:path'
import { request } from 'undici'
import { createCaller } from '../../replay/caller.ts'
import type { CallerResponse } from '../../replay/caller.ts'
import { createDeployment } from '../../replay/deployment.ts'
import type { DeploymentOptions } from '../../replay/deployment.ts'
import { startSystem } from '../../replay/system.ts'
import type { System } from '../../replay/system.ts'
import { getLoopbackAddress } from './addresses.ts'

/** How often the requests with each idempotency key ran, over all targets. */
export type RunCounts = Map<string, number>

/** Options of `startLiveSystem`. */
export interface LiveSystemOptions {
  entryCount: number
  targetCount: number
  /** How long the targets work on a request, in ms; 5 by default. */
  workMs?: number
  changeContract?: DeploymentOptions['changeContract']
}

/**
 * Starts a system of real processes, publishes a contract with a short address lifetime and limits that the tests do not
 * reach, and waits until it is in effect.
 */
export async function startLiveSystem (options: LiveSystemOptions): Promise<System> {
  const deployment = createDeployment({
    sample: 'kyushu',
    root: '.',
    network: getLoopbackAddress(0).split('.').slice(0, 3).join('.'),
    entryCount: options.entryCount,
    maxTargetsPerService: options.targetCount,
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

/** Creates a caller that gets its addresses from the entries, or uses only `onlyEntry`. */
export function createLiveCaller (system: System, id: string, onlyEntry?: string, timeoutMs?: number) {
  const { customer, entries } = system.deployment
  return createCaller({ id, customer, entries, onlyEntry, timeoutMs })
}

/** Sends requests one after another until `stop` aborts; returns all results. */
export async function sendUntil (stop: AbortSignal, sendOne: (round: number) => Promise<CallerResponse>): Promise<CallerResponse[]> {
  const results: CallerResponse[] = []
  for (let round = 0; !stop.aborted; round++) results.push(await sendOne(round))
  return results
}

/** Reads from every target's ledger of runs how often each idempotency key ran. */
export async function readRuns (system: System): Promise<RunCounts> {
  const runs: RunCounts = new Map()
  for (const { address, port } of system.deployment.targets) {
    const response = await request(`http://${address}:${port}/ledger-of-runs`)
    const ledger = await response.body.json() as { runs: { key?: string }[] }
    for (const { key } of ledger.runs) if (key) runs.set(key, (runs.get(key) ?? 0) + 1)
  }
  return runs
}

/** Lists the attempts without a complete response, each with the reason. */
export function listFailedAttempts (results: readonly CallerResponse[]): string[] {
  return results.flatMap(({ attempts }) => attempts.flatMap((attempt) => attempt.kind === 'answered' ? [] : [`${attempt.kind}: ${attempt.reason}`]))
}

/** Builds a non-idempotent request with an idempotency key. */
export function buildChargeRequest (key: string) {
  return { service: 'booking', method: 'POST', path: '/slots/1/charge', headers: { 'idempotency-key': key } }
}

/** An idempotent request. */
export const STATUS_REQUEST = { service: 'booking', method: 'GET', path: '/slots/1' }
