/**
 * Collects the figures that the parts of an entry count, for the metrics.
 */
import type { EntryParts } from './entry.ts'
import type { PeerState } from './membership/peer-mesh.ts'
import type { ProcessFigures } from './metrics.ts'

/** Counts how often each value occurs in a list. */
function countValues (values: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1
  return counts
}

/** Reads the current figures of all parts. */
export async function readProcessFigures (parts: EntryParts): Promise<ProcessFigures> {
  const { services, mesh, callers, requests, claims, audit } = parts
  const noPeers: Record<PeerState, number> = { live: 0, suspect: 0, leaving: 0, gone: 0 }
  return {
    services: services.listServices().map(({ customer, serviceId, targets, listPools }) => ({
      customer,
      service: serviceId,
      connections: listPools().reduce((sum, pool) => sum + pool.countConnections().open, 0),
      targets: countValues(targets.listTargets().map(({ state }) => state)),
      ...targets.report()
    })),
    peers: { ...noPeers, ...countValues(mesh.listPeers().map(({ state }) => state)) },
    callers: { connections: await callers.countConnections(), inProgress: requests.countInProgress() },
    claims: claims.report(),
    audit: audit.report()
  }
}
