/**
 * The services of the contracts in effect, with their targets and the connections to them.
 */
import type { Clock } from '../clock.ts'
import { sendHealthProbe } from '../connection/send-health-probe.ts'
import { createTargetPool } from '../connection/target-pool.ts'
import type { TargetPool } from '../connection/target-pool.ts'
import type { ServiceLinks } from '../request/call.ts'
import type { CustomerId, EntryId, ServiceId, TargetId } from '../types.ts'
import type { Contract, ContractTarget, ServiceContract } from '../version/contract.ts'
import type { AuditTrail } from './audit/audit-trail.ts'
import type { ListedHost } from './host-list-client.ts'
import { createTargetSet } from './targets/local-target-set.ts'
import type { LeavingSource } from './targets/target-set.ts'

/** Options of the service directory. */
export interface ServiceDirectoryOptions {
  self: EntryId
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  /** Returns the live entries. */
  listLiveEntries(): readonly EntryId[]
  /** Called when this process itself detects that a target is leaving. */
  notifyLeaving(customer: CustomerId, service: ServiceId, target: TargetId): void
}

/** One service of a contract in effect, with its targets and connection pools. */
export interface LinkedService extends ServiceLinks {
  customer: CustomerId
  serviceId: ServiceId
  listPools(): TargetPool[]
}

/** The services of all customers. */
export interface ServiceDirectory {
  /** Returns a service, or undefined when no contract in effect lists it. */
  getLinks(customer: CustomerId, service: ServiceId): LinkedService | undefined
  listServices(): LinkedService[]
  /** Applies a contract that came into effect: opens, updates and closes services. */
  updateContract(contract: Contract): void
  updateEntries(entries: readonly EntryId[]): void
  updateHosts(hosts: readonly ListedHost[]): void
  markLeaving(customer: CustomerId, service: ServiceId, target: TargetId, source: LeavingSource): void
  close(): void
}

interface OpenService extends LinkedService {
  updateContract(contract: Contract, service: ServiceContract): void
  close(): void
}

/** Returns the maximum number of connections that this process may open to one target: its share among the entries, at least 1. */
function computeMaxConnections (contract: Contract, service: ServiceContract): number {
  return Math.max(1, Math.floor(service.connectionsPerTarget / contract.entries.largestCount))
}

function openService (options: ServiceDirectoryOptions, contract: Contract, serviceId: ServiceId, service: ServiceContract): OpenService {
  const { clock, audit, self } = options
  const { customer } = contract
  const targets = createTargetSet({
    customer,
    serviceId,
    service,
    self,
    entries: options.listLiveEntries(),
    maxEntries: contract.entries.largestCount,
    clock,
    audit,
    sendProbe: sendHealthProbe,
    notifyLeaving: (target) => options.notifyLeaving(customer, serviceId, target)
  })
  const pools = new Map<TargetId, { target: ContractTarget, pool: TargetPool }>()
  let maxConnections = computeMaxConnections(contract, service)

  const getPool = (target: ContractTarget): TargetPool => {
    const known = pools.get(target.id)
    if (known && known.target.address === target.address && known.target.port === target.port) return known.pool
    known?.pool.close()
    const pool = createTargetPool({ target, maxConnections, clock })
    pools.set(target.id, { target, pool })
    return pool
  }
  const dropUnlisted = (current: ServiceContract): void => {
    const listed = new Set(current.targets.map((target) => target.id))
    for (const [id, { pool }] of pools) {
      if (listed.has(id)) continue
      pool.close()
      pools.delete(id)
    }
  }
  return {
    customer,
    serviceId,
    targets,
    getPool,
    listPools: () => [...pools.values()].map(({ pool }) => pool),
    updateContract (next, nextService) {
      maxConnections = computeMaxConnections(next, nextService)
      targets.updateContract(nextService, next.entries.largestCount)
      dropUnlisted(nextService)
    },
    close () {
      targets.close()
      for (const { pool } of pools.values()) pool.close()
    }
  }
}

/** Creates the directory. It is empty until the first contract comes into effect. */
export function createServiceDirectory (options: ServiceDirectoryOptions): ServiceDirectory {
  const services = new Map<string, OpenService>()
  const toKey = (customer: CustomerId, service: ServiceId): string => `${customer}/${service}`

  const closeRemoved = (contract: Contract): void => {
    for (const [name, service] of services) {
      if (service.customer !== contract.customer || contract.services[service.serviceId]) continue
      service.close()
      services.delete(name)
    }
  }
  return {
    getLinks: (customer, service) => services.get(toKey(customer, service)),
    listServices: () => [...services.values()],
    updateContract (contract) {
      for (const [id, service] of Object.entries(contract.services)) {
        const serviceId = id as ServiceId
        const name = toKey(contract.customer, serviceId)
        const known = services.get(name)
        if (known) known.updateContract(contract, service)
        else services.set(name, openService(options, contract, serviceId, service))
      }
      closeRemoved(contract)
    },
    updateEntries (entries) {
      for (const service of services.values()) service.targets.updateEntries(entries)
    },
    updateHosts (hosts) {
      const targets = hosts.filter((host) => host.role === 'target')
      for (const service of services.values()) service.targets.updateHosts(targets)
    },
    markLeaving: (customer, service, target, source) => services.get(toKey(customer, service))?.targets.markLeaving(target, source),
    close () {
      for (const service of services.values()) service.close()
      services.clear()
    }
  }
}
