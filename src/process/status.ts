/**
 * Collects the content of the status page.
 */
import type { EntryParts } from './entry.ts'

/** Reads the state of all parts of an entry; the field names are those of the status page. */
export async function readEntryStatus (parts: EntryParts): Promise<object> {
  const { contracts, mesh, services, limiter, claims, audit, callers, requests, settings, incarnation } = parts
  return {
    entry: settings.entry,
    incarnation,
    contracts: contracts.listContracts().map(({ newest, versionInEffect }) => ({
      customer: newest.contract.customer,
      accepted: newest.contract.version,
      inForce: versionInEffect,
      effectiveAt: newest.contract.effectiveAt,
      offset: newest.offset,
      operator: newest.operator
    })),
    contractOffset: contracts.getNextOffset(),
    peers: mesh.listPeers().map((peer) => peer.isSelf ? { ...peer, contractOffset: contracts.getNextOffset() } : peer),
    services: services.listServices().map((service) => ({
      customer: service.customer,
      service: service.serviceId,
      targets: service.targets.listTargets(),
      budgets: service.targets.report(),
      connections: service.listPools().reduce((sum, pool) => sum + pool.countConnections().open, 0)
    })),
    limits: limiter.report(),
    grants: limiter.reportGrants(),
    claims: claims.report(),
    audit: audit.report(),
    log: parts.log.report(),
    callers: { connections: await callers.countConnections(), inProgress: requests.countInProgress() }
  }
}
