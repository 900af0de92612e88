import { afterEach, expect, test } from 'vitest'
import { sendCompleteResponse, startPlatformTarget } from '../stand-ins/platform-target.ts'
import type { PlatformTarget } from '../stand-ins/platform-target.ts'
import { sendTo, startGatewayFleet } from './support/gateway-fleet.ts'
import type { FleetEntry, GatewayFleet } from './support/gateway-fleet.ts'

const RUN_MS = 30

const fleets: GatewayFleet[] = []

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

/** Ends a target as a crash of its process does: all connections close, and new ones are refused. */
function destroyTarget ({ server }: PlatformTarget): void {
  server.close()
  server.closeAllConnections()
}

function countCrashed (targets: readonly PlatformTarget[]): number {
  return targets.filter(({ server }) => !server.listening).length
}

/** Starts targets that crash when they have run a request whose path ends with `deadly` for a while. */
async function startFragileTargets (count: number): Promise<PlatformTarget[]> {
  return await Promise.all(Array.from({ length: count }, (_, index) => startPlatformTarget(`i-${index}`, (self, incoming, outgoing) => {
    setTimeout(() => {
      if (incoming.url?.endsWith('deadly')) destroyTarget(self)
      else sendCompleteResponse(self, incoming, outgoing)
    }, RUN_MS)
  })))
}

async function startFleet (targets: readonly PlatformTarget[], entryCount: number): Promise<GatewayFleet> {
  const fleet = await startGatewayFleet(targets, entryCount)
  fleets.push(fleet)
  return fleet
}

function select (entries: readonly FleetEntry[], index: number): FleetEntry {
  return entries[index % entries.length]!
}

for (const kind of ['safe', 'unsafe']) {
  test(`a request that crashes each target that runs it ends at most four of them, over all entries (${kind})`, async () => {
    const targets = await startFragileTargets(12)
    const { entries } = await startFleet(targets, 3)
    const statuses: number[] = []
    for (let index = 0; index < 12; index++) {
      statuses.push((await sendTo(select(entries, index), { path: `/${kind}/deadly`, method: kind === 'safe' ? 'GET' : 'POST' })).status)
    }
    expect(countCrashed(targets)).toBeLessThanOrEqual(4)
    expect(statuses.at(-1)).toBe(503)
  })
}
