import { afterEach, expect, test } from 'vitest'
import { startPlatformTarget } from '../stand-ins/platform-target.ts'
import { listAddresses, sendTo, startGatewayFleet } from './support/gateway-fleet.ts'
import type { GatewayFleet } from './support/gateway-fleet.ts'
import { waitFor } from './support/gateway-system.ts'
import { startPartitionedGateway } from './support/partitioned-gateway.ts'
import type { PartitionedGateway } from './support/partitioned-gateway.ts'

const cleanups: (() => Promise<void>)[] = []

afterEach(async () => { for (const cleanup of cleanups.splice(0).reverse()) await cleanup() })

/** Two entries that reach the targets, and a third one whose paths to them can be cut. */
async function startSystem (targetCount: number): Promise<{ fleet: GatewayFleet, cutEntry: PartitionedGateway }> {
  const targets = await Promise.all(Array.from({ length: targetCount }, (_, index) => startPlatformTarget(`i-${index}`)))
  const fleet = await startGatewayFleet(targets, 2)
  cleanups.push(fleet.close)
  const cutEntry = await startPartitionedGateway(fleet.store, targets)
  cleanups.push(cutEntry.close)
  await waitFor(async () => (await listAddresses(fleet.entries[0]!)).length === 3)
  return { fleet, cutEntry }
}

/** Sends requests to all entries until each directory of the sound entries names this number of addresses. */
async function sendUntilListed ({ fleet, cutEntry }: { fleet: GatewayFleet, cutEntry: PartitionedGateway }, count: number): Promise<void> {
  await waitFor(async () => {
    await Promise.all([...fleet.entries, cutEntry].map((entry) => sendTo(entry, { path: '/safe/a' })))
    const listed = await Promise.all(fleet.entries.map(listAddresses))
    return listed.every((addresses) => addresses.length === count)
  })
}

// Guards against an entry that keeps taking callers while it reaches none of a small service's targets (review/10).
test.each([
  { targetCount: 3, newConnections: 'hang' },
  { targetCount: 3, newConnections: 'close' },
  { targetCount: 1, newConnections: 'hang' }
] as const)('an entry partitioned from all $targetCount targets of a service, where new connections $newConnections, leaves the addresses, rejects at once, and comes back', async ({ targetCount, newConnections }) => {
  const system = await startSystem(targetCount)
  const { fleet, cutEntry } = system
  await sendUntilListed(system, 3)
  cutEntry.cut(newConnections)
  await sendUntilListed(system, 2)
  for (const entry of fleet.entries) {
    expect(await listAddresses(entry)).not.toContain(`127.0.0.1:${cutEntry.settings.listen.front.port}`)
    expect((await sendTo(entry, { path: '/safe/a' })).status).toBe(200)
  }
  const rejected = await sendTo(cutEntry, { path: '/unsafe/a', method: 'POST', deadlineMs: 60_000 })
  expect(rejected.status).toBe(503)
  expect(rejected.text).toContain('use another entry')
  cutEntry.heal()
  // Nobody sends to it any more, so that it has to find out by itself.
  await waitFor(async () => (await listAddresses(fleet.entries[0]!)).length === 3)
  expect((await sendTo(cutEntry, { path: '/safe/a' })).status).toBe(200)
})
